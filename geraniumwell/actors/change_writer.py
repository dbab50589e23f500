"""Queue of submitted configuration changes and the results sent to their authors.

Part of the state of the configuration manager; does no I/O.
"""

from collections import deque
from dataclasses import dataclass

from geraniumwell.clients.platform import Transaction
from geraniumwell.codec.config import make_change_transaction
from geraniumwell.commands.config.apply import build_inverse_change
from geraniumwell.commands.config.compact import keep_recent
from geraniumwell.commands.config.validate import validate_change
from geraniumwell.const import CONFIG_SUBMIT_SECONDS
from geraniumwell.exceptions import ChangeError
from geraniumwell.messages.operators import (
    ChangeApplied,
    ChangeConflict,
    ChangeOutcomeUnknown,
    ChangeRefused,
    ChangeResult,
    SubmitChange,
)
from geraniumwell.model.change import ChangeRecord
from geraniumwell.model.config import Configuration

MAX_ATTEMPTS = 3


@dataclass(slots=True)
class PendingChange:
    """A submitted change; ``base_version`` is the version its author could see."""

    msg: SubmitChange
    base_version: int | None
    deadline: float
    attempts: int = 0


class ChangeWriter:
    """Records one change at a time, conditional on the head row of the table."""

    __slots__ = ("_queue", "_current", "_record", "_in_doubt", "_head_row", "_commands")

    def __init__(self) -> None:
        self._queue: deque[PendingChange] = deque()
        self._current: PendingChange | None = None
        self._record: ChangeRecord | None = None
        self._in_doubt = False
        self._head_row: int | None = None
        self._commands: dict[str, int] = {}

    @property
    def in_doubt(self) -> bool:
        """Whether the last transaction was refused or its response was lost."""
        return self._in_doubt

    @property
    def needs_head(self) -> bool:
        """Whether a change waits for the row version of the head row."""
        return bool(self._queue) and self._current is None and self._head_row is None

    def set_head(self, head_row: int) -> None:
        """Set the row version of the head row that shows the version in force."""
        self._head_row = head_row

    def clear_head(self) -> None:
        """Require that the head row is read before the next change."""
        self._head_row = None

    def add_commands(self, commands: dict[str, int]) -> None:
        """Add recorded command ids with their versions."""
        self._commands = keep_recent(self._commands | commands)

    def enqueue(self, msg: SubmitChange, version: int, now: float) -> None:
        """Add a change; ``version`` is the one in force, ``now`` is monotonic."""
        # Before the first read of the table this daemon has shown no version to anyone.
        base = version if version or self._head_row is not None else None
        self._queue.append(PendingChange(msg, base, now + CONFIG_SUBMIT_SECONDS))

    def take_next(
        self,
        cfg: Configuration,
        records: tuple[ChangeRecord, ...],
        now: float,
        vms: frozenset[str],
        fault: str | None,
    ) -> Transaction | None:
        """Return the transaction for the next change that can be recorded, or None.

        Parameters
        ----------
        cfg : Configuration
            The configuration in force.
        records : tuple of ChangeRecord
            The last changes.
        now : float
            Unix seconds.
        vms : frozenset of str
            The entry VMs.
        fault : str or None
            Code of the fault that prevents changes at the moment.
        """
        while self._queue and self._current is None:
            pending = self._queue[0]
            answer = self._answer_early(pending, cfg, records, fault)
            if answer is None and self._head_row is None:
                return None
            answer = answer or _validate(pending, cfg, now, vms)
            self._queue.popleft()
            if answer is not None:
                pending.msg.reply.set(answer)
                continue
            return self._begin(pending, cfg, now)
        return None

    def _answer_early(
        self,
        pending: PendingChange,
        cfg: Configuration,
        records: tuple[ChangeRecord, ...],
        fault: str | None,
    ) -> ChangeResult | None:
        version = self._commands.get(pending.msg.command_id)
        if version is not None:
            return _answer_repeated(pending, version, records)
        if fault is not None:
            return _answer_unrecorded(pending, fault)
        if self._head_row is None:
            return None
        if pending.base_version is None:
            pending.base_version = cfg.version
        if pending.base_version != cfg.version:
            return _make_conflict(pending.base_version, cfg.version, records)
        return None

    def _begin(
        self, pending: PendingChange, cfg: Configuration, now: float
    ) -> Transaction:
        assert self._head_row is not None
        msg = pending.msg
        replaced = build_inverse_change(cfg, msg.change)
        self._record = ChangeRecord(
            cfg.version + 1,
            msg.change,
            msg.author,
            now,
            msg.reason,
            msg.command_id,
            replaced,
        )
        self._current = pending
        pending.attempts += 1
        return make_change_transaction(
            cfg, self._record, self._head_row, self._commands
        )

    def finish_recorded(self) -> ChangeRecord:
        """Answer the author of the change that was recorded; return its record."""
        assert self._record is not None
        record = self._record
        self.add_commands({record.command_id: record.version})
        self._finish(ChangeApplied(record.version))
        return record

    def mark_in_doubt(self) -> None:
        """Record that the transaction may or may not have taken effect."""
        self._in_doubt = self._current is not None
        self.clear_head()

    def resolve_doubt(self, version: int, records: tuple[ChangeRecord, ...]) -> None:
        """Determine from a read of the table whether a change in doubt took effect.

        Parameters
        ----------
        version : int
            The version in the table.
        records : tuple of ChangeRecord
            The last changes.
        """
        if not self._in_doubt or self._current is None or self._record is None:
            return
        command_id = self._record.command_id
        base = self._record.version - 1
        if command_id in self._commands:
            self._finish(ChangeApplied(self._commands[command_id]))
        elif version != base:
            self._finish(_make_conflict(base, version, records))
        elif self._current.attempts >= MAX_ATTEMPTS:
            self._finish(ChangeOutcomeUnknown(command_id))
        else:
            # If the first write arrives late, the condition on the head row lets only
            # one of the two writes take effect.
            self._queue.appendleft(self._current)
            self._clear()

    def expire(self, now: float) -> bool:
        """Answer changes past their deadline; return whether one was in doubt."""
        while self._queue and self._queue[0].deadline <= now:
            pending = self._queue.popleft()
            pending.msg.reply.set(_answer_unrecorded(pending, "platform_unavailable"))
        if not self._in_doubt or self._current is None:
            return False
        if self._current.deadline > now:
            return False
        self._finish(ChangeOutcomeUnknown(self._current.msg.command_id))
        return True

    def _finish(self, result: ChangeResult) -> None:
        assert self._current is not None
        self._current.msg.reply.set(result)
        self.clear_head()
        self._clear()

    def _clear(self) -> None:
        self._current = None
        self._record = None
        self._in_doubt = False


def _validate(
    pending: PendingChange, cfg: Configuration, now: float, vms: frozenset[str]
) -> ChangeResult | None:
    try:
        validate_change(cfg, pending.msg.change, now, vms)
    except ChangeError as exc:
        return ChangeRefused(exc.code, str(exc))
    return None


def _answer_repeated(
    pending: PendingChange, version: int, records: tuple[ChangeRecord, ...]
) -> ChangeResult:
    record = next((r for r in records if r.version == version), None)
    if record is not None and record.change != pending.msg.change:
        reason = f"the command id was used for another change, version {version}"
        return ChangeRefused("command_id_reused", reason)
    return ChangeApplied(version)


def _answer_unrecorded(pending: PendingChange, fault: str) -> ChangeResult:
    if pending.attempts:
        return ChangeOutcomeUnknown(pending.msg.command_id)
    reason = "no change can be recorded on the platform at present; nothing changed"
    return ChangeRefused(fault, reason)


def _make_conflict(
    base: int, version: int, records: tuple[ChangeRecord, ...]
) -> ChangeConflict:
    between = tuple(r for r in records if base < r.version <= version)
    return ChangeConflict(base, version, between)
