"""Encoding of the configuration and its history as rows of the platform's table."""

from urllib.parse import quote

from msgspec import to_builtins

from geraniumwell.clients.platform import Condition, Put, Row, Transaction
from geraniumwell.codec.json import CodecError, decode_json, encode_json
from geraniumwell.commands.config.apply import apply_change, find_change_name
from geraniumwell.commands.config.compact import find_expired_versions, keep_recent
from geraniumwell.const import CONFIG_SNAPSHOT_INTERVAL
from geraniumwell.model.change import (
    ChangeRecord,
    Head,
    RecentCommands,
    StoredConfiguration,
)
from geraniumwell.model.config import Configuration

CONFIG_PREFIX = "config/"
HEAD_KEY = "config/head"
LOG_PREFIX = "config/log/"
SNAPSHOT_KEY = "config/snapshot"
HISTORY_PREFIX = "history/all/"
HISTORY_OF_PREFIX = "history/of/"


def make_version_key(prefix: str, version: int) -> str:
    """Return a row key that sorts by version number."""
    return f"{prefix}{version:012d}"


def make_history_prefix(name: str) -> str:
    """Return the prefix of the history rows of one name."""
    return f"{HISTORY_OF_PREFIX}{quote(name, safe='')}/"


def make_change_transaction(
    cfg: Configuration,
    record: ChangeRecord,
    head_row: int,
    recent_commands: dict[str, int],
) -> Transaction:
    """Return the transaction that records a change.

    Parameters
    ----------
    cfg : Configuration
        The configuration before the change.
    record : ChangeRecord
        The change, one version higher.
    head_row : int
        Row version that the head row must still have.
    recent_commands : dict
        Versions by command id before the change.
    """
    value = encode_json(record).decode()
    version = record.version
    name_prefix = make_history_prefix(find_change_name(record.change))
    puts = [
        Put(HEAD_KEY, encode_json(Head(version)).decode()),
        Put(make_version_key(LOG_PREFIX, version), value),
        # The log is compacted; the history is kept for later look-ups of reasons.
        Put(make_version_key(HISTORY_PREFIX, version), value),
        Put(make_version_key(name_prefix, version), value),
    ]
    deletes: tuple[str, ...] = ()
    if version % CONFIG_SNAPSHOT_INTERVAL == 0:
        recent = keep_recent(recent_commands | {record.command_id: version})
        after = apply_change(cfg, record.change)
        puts.append(Put(SNAPSHOT_KEY, encode_snapshot(after, recent)))
        expired = find_expired_versions(version)
        deletes = tuple(make_version_key(LOG_PREFIX, v) for v in expired)
    return Transaction((Condition(HEAD_KEY, head_row),), tuple(puts), deletes)


def encode_snapshot(cfg: Configuration, recent_commands: dict[str, int]) -> str:
    """Return the snapshot row with a configuration and the recent commands."""
    fields = to_builtins(cfg) | to_builtins(RecentCommands(recent_commands))
    return encode_json(fields).decode()


def decode_records(rows: tuple[Row, ...], prefix: str) -> tuple[ChangeRecord, ...]:
    """Return the change records of the rows with a prefix, in the order of the rows."""
    return tuple(
        decode_json(row.value, ChangeRecord)
        for row in rows
        if row.key.startswith(prefix)
    )


def decode_head(rows: tuple[Row, ...]) -> tuple[int, int]:
    """Return the version in the head row and its row version; 0 if there is none."""
    for row in rows:
        if row.key == HEAD_KEY:
            return decode_json(row.value, Head).version, row.version
    return 0, 0


def decode_stored(rows: tuple[Row, ...]) -> StoredConfiguration:
    """Return the configuration and the recent changes from all configuration rows.

    Raises
    ------
    CodecError
        If a row can't be read or rows are missing.
    """
    cfg = Configuration()
    recent: dict[str, int] = {}
    for row in rows:
        if row.key == SNAPSHOT_KEY:
            cfg = decode_json(row.value, Configuration)
            recent = dict(decode_json(row.value, RecentCommands).recent_commands)
    records = decode_records(rows, LOG_PREFIX)
    for record in records:
        if record.version == cfg.version + 1:
            cfg = apply_change(cfg, record.change)
        recent[record.command_id] = record.version
    version, head_row = decode_head(rows)
    if head_row and version != cfg.version:
        raise CodecError(f"the head shows {version}, the rows lead to {cfg.version}")
    return StoredConfiguration(cfg, head_row, recent, records)
