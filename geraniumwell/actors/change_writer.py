"""Order in which submitted changes are recorded, and what their authors are told.

This is state of the ConfigKeeper actor; it does no I/O.
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
class Pending:
    """A submitted change; ``base_version`` is what its author could have seen."""

    msg: SubmitChange
    base_version: int | None
    deadline: float
    attempts: int = 0


class ChangeWriter:
    """Records one change at a time, each conditional on the head of the table."""

    __slots__ = ("_queue", "_current", "_record", "_in_doubt", "_head_row", "_commands")

    def __init__(self) -> None:
        self._queue: deque[Pending] = deque()
        self._current: Pending | None = None
        self._record: ChangeRecord | None = None
        self._in_doubt = False
        self._head_row: int | None = None
        self._commands: dict[str, int] = {}

    @property
    def in_doubt(self) -> bool:
        """Whether the answer to the last transaction was lost or a refusal."""
        return self._in_doubt

    @property
    def needs_head(self) -> bool:
        """Whether a change waits for the row version of the head."""
        return bool(self._queue) and self._current is None and self._head_row is None

    def learn_head(self, head_row: int) -> None:
        """Take the row version of the head that matches the version in force."""
        self._head_row = head_row

    def forget_head(self) -> None:
        """Require that the head is read before the next change."""
        self._head_row = None

    def learn_commands(self, commands: dict[str, int]) -> None:
        """Remember recorded command ids."""
        self._commands = keep_recent(self._commands | commands)

    def enqueue(self, msg: SubmitChange, version: int, now: float) -> None:
        """Take a change; ``version`` is the one in force, ``now`` is monotonic."""
        # Until the first read of the table nobody has seen a version here.
        base = version if version or self._head_row is not None else None
        self._queue.append(Pending(msg, base, now + CONFIG_SUBMIT_SECONDS))

    def take_next(
        self,
        cfg: Configuration,
        records: tuple[ChangeRecord, ...],
        now: float,
        vms: frozenset[str],
        fault: str | None,
    ) -> Transaction | None:
        """Return the transaction of the next change that can be recorded, or None.

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
            What keeps changes from being recorded at present.
        """
        while self._queue and self._current is None:
            pending = self._queue[0]
            answer = self._answer_early(pending, cfg, records, fault)
            if answer is None and self._head_row is None:
                return None
            answer = answer or _check(pending, cfg, now, vms)
            self._queue.popleft()
            if answer is not None:
                pending.msg.reply.set(answer)
                continue
            return self._begin(pending, cfg, now)
        return None

    def _answer_early(
        self,
        pending: Pending,
        cfg: Configuration,
        records: tuple[ChangeRecord, ...],
        fault: str | None,
    ) -> ChangeResult | None:
        version = self._commands.get(pending.msg.command_id)
        if version is not None:
            return _answer_repeated(pending, version, records)
        if fault is not None:
            return _give_up(pending, fault)
        if self._head_row is None:
            return None
        if pending.base_version is None:
            pending.base_version = cfg.version
        if pending.base_version != cfg.version:
            return _make_conflict(pending.base_version, cfg.version, records)
        return None

    def _begin(self, pending: Pending, cfg: Configuration, now: float) -> Transaction:
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
        self.learn_commands({record.command_id: record.version})
        self._finish(ChangeApplied(record.version))
        return record

    def doubt(self) -> None:
        """Take note that the transaction may or may not have taken effect."""
        self._in_doubt = self._current is not None
        self.forget_head()

    def settle(self, version: int, records: tuple[ChangeRecord, ...]) -> None:
        """Decide, after a read of the table, what became of a change in doubt.

        Parameters
        ----------
        version : int
            The version that the table shows.
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
            # The condition on the head lets only one of both transactions take effect.
            self._queue.appendleft(self._current)
            self._clear()

    def expire(self, now: float) -> bool:
        """Answer the changes whose time is over; tell whether one was in doubt."""
        while self._queue and self._queue[0].deadline <= now:
            pending = self._queue.popleft()
            pending.msg.reply.set(_give_up(pending, "platform_unavailable"))
        if not self._in_doubt or self._current is None:
            return False
        if self._current.deadline > now:
            return False
        self._finish(ChangeOutcomeUnknown(self._current.msg.command_id))
        return True

    def _finish(self, result: ChangeResult) -> None:
        assert self._current is not None
        self._current.msg.reply.set(result)
        self.forget_head()
        self._clear()

    def _clear(self) -> None:
        self._current = None
        self._record = None
        self._in_doubt = False


def _check(
    pending: Pending, cfg: Configuration, now: float, vms: frozenset[str]
) -> ChangeResult | None:
    try:
        validate_change(cfg, pending.msg.change, now, vms)
    except ChangeError as exc:
        return ChangeRefused(exc.code, str(exc))
    return None


def _answer_repeated(
    pending: Pending, version: int, records: tuple[ChangeRecord, ...]
) -> ChangeResult:
    record = next((r for r in records if r.version == version), None)
    if record is not None and record.change != pending.msg.change:
        reason = f"the command id was used for another change, version {version}"
        return ChangeRefused("command_id_reused", reason)
    return ChangeApplied(version)


def _give_up(pending: Pending, fault: str) -> ChangeResult:
    if pending.attempts:
        return ChangeOutcomeUnknown(pending.msg.command_id)
    reason = "no change can be recorded on the platform at present; nothing changed"
    return ChangeRefused(fault, reason)


def _make_conflict(
    base: int, version: int, records: tuple[ChangeRecord, ...]
) -> ChangeConflict:
    between = tuple(r for r in records if base < r.version <= version)
    return ChangeConflict(base, version, between)
