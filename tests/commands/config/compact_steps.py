"""Steps for the stored rows of the configuration and their compaction."""

from behave import given, then, when
from behave.runner import Context

from geraniumwell.clients.platform import Row, Transaction
from geraniumwell.codec.config import (
    CONFIG_PREFIX,
    HISTORY_PREFIX,
    LOG_PREFIX,
    decode_head,
    decode_records,
    decode_stored,
    make_change_transaction,
    make_history_prefix,
    make_version_key,
)
from geraniumwell.codec.json import CodecError
from geraniumwell.commands.config.apply import apply_change
from geraniumwell.model.change import ChangeRecord, SetOrganisation
from geraniumwell.model.config import Configuration, Organisation


class InMemoryTable:
    """An in-memory table with transactions like those of the platform."""

    __slots__ = ("rows",)

    def __init__(self) -> None:
        self.rows: dict[str, Row] = {}

    def transact(self, transaction: Transaction) -> None:
        """Apply a transaction; fail the test unless its conditions hold."""
        for condition in transaction.conditions:
            row = self.rows.get(condition.key)
            assert (row.version if row else 0) == condition.version
        for put in transaction.puts:
            row = self.rows.get(put.key)
            version = (row.version if row else 0) + 1
            self.rows[put.key] = Row(put.key, version, put.value)
        for key in transaction.deletes:
            del self.rows[key]

    def read(self, prefix: str) -> tuple[Row, ...]:
        """Return the rows with a key prefix, ordered by key."""
        return tuple(self.rows[k] for k in sorted(self.rows) if k.startswith(prefix))


@given("a table with {count:d} changes recorded one by one")
def step_table(context: Context, count: int) -> None:
    context.store = InMemoryTable()
    cfg = Configuration()
    for number in range(1, count + 1):
        change = SetOrganisation(Organisation(f"org {number % 7}", float(number)))
        record = ChangeRecord(number, change, "ana", 1.0, "test", f"id-{number}")
        stored = decode_stored(context.store.read(CONFIG_PREFIX))
        _, head_row = decode_head(context.store.read(CONFIG_PREFIX))
        context.store.transact(
            make_change_transaction(cfg, record, head_row, stored.recent_commands)
        )
        cfg = apply_change(cfg, change)
    context.cfg = cfg


@then("a range read of the configuration returns version {version:d}")
def step_read(context: Context, version: int) -> None:
    stored = decode_stored(context.store.read(CONFIG_PREFIX))
    assert stored.cfg.version == version
    assert stored.cfg == context.cfg


@then("the table holds between {low:d} and {high:d} log rows")
def step_log_rows(context: Context, low: int, high: int) -> None:
    count = len(context.store.read(LOG_PREFIX))
    assert low <= count <= high, count


@then("the history holds {count:d} rows")
def step_history(context: Context, count: int) -> None:
    assert len(context.store.read(HISTORY_PREFIX)) == count


@then("the history of one name holds the rows of that name")
def step_history_of(context: Context) -> None:
    prefix = make_history_prefix("org 3")
    records = decode_records(context.store.read(prefix), prefix)
    assert [r.version for r in records] == list(range(3, 201, 7))


@then("a range read returns the command ids of the last {count:d} changes")
def step_commands(context: Context, count: int) -> None:
    stored = decode_stored(context.store.read(CONFIG_PREFIX))
    assert stored.recent_commands == {f"id-{n}": n for n in range(1, count + 1)}


@when("the log row of version {version:d} is deleted")
def step_delete_row(context: Context, version: int) -> None:
    del context.store.rows[make_version_key(LOG_PREFIX, version)]


@then("a range read of the configuration fails")
def step_read_refused(context: Context) -> None:
    try:
        decode_stored(context.store.read(CONFIG_PREFIX))
    except CodecError:
        return
    raise AssertionError("incomplete rows were taken for a configuration")
