"""In-memory table store with conditions, tombstones, a change history and faults."""

from collections.abc import Iterable
from threading import Condition, Event

from geraniumwell.clients.table import (
    Committed,
    Conflict,
    HistoryCompactedError,
    RowRange,
    StoredRow,
    StoreOutcomeUnknownError,
    StoreRefusedError,
    TableTransaction,
)
from geraniumwell.clients.table import Condition as RowCondition

WAIT_SECONDS = 20.0
RowKey = tuple[str, str, str]


class MemoryTable:
    """Table store that clients in several threads share.

    Parameters
    ----------
    refused_parts : set of str
        Partitions whose transactions are refused.
    lossy_parts : set of str
        Partitions whose transactions are executed without a response.
    delayed_parts : set of str
        Partitions whose transactions get no response and are executed by
        ``execute_delayed``.
    commits, failed, delayed : list of TableTransaction
        Transactions that were executed, that were refused or got no response, and that
        are still to be executed.
    held_part : str
        Partition whose reads return their rows only once ``read_gate`` is set.
    """

    __slots__ = (
        "_changed",
        "_changes",
        "_compacted_version",
        "_rows",
        "_version",
        "commits",
        "delayed",
        "delayed_parts",
        "held_part",
        "held_reads",
        "lossy_parts",
        "read_gate",
        "refused_parts",
        "failed",
    )

    def __init__(self) -> None:
        self._changed = Condition()
        self._rows: dict[RowKey, StoredRow] = {}
        self._changes: list[StoredRow] = []
        self._version = 1
        self._compacted_version = 0
        self.refused_parts: set[str] = set()
        self.lossy_parts: set[str] = set()
        self.delayed_parts: set[str] = set()
        self.delayed: list[TableTransaction] = []
        self.commits: list[TableTransaction] = []
        self.failed: list[TableTransaction] = []
        self.held_part = ""
        self.held_reads = 0
        self.read_gate = Event()

    @property
    def version(self) -> int:
        """Version of the last transaction."""
        with self._changed:
            return self._version

    def put(self, table: str, part: str, key: str, value: bytes) -> int:
        """Write a row and return its version."""
        with self._changed:
            self._version += 1
            self._put((table, part, key), value)
            self._changed.notify_all()
            return self._version

    def remove(self, table: str, part: str, key: str) -> None:
        """Remove a row."""
        with self._changed:
            self._version += 1
            self._remove((table, part, key))
            self._changed.notify_all()

    def list_keys(self, table: str) -> list[str]:
        """Return the keys of all rows of a table."""
        with self._changed:
            return sorted(key for name, _, key in self._rows if name == table)

    def find(self, table: str, part: str, key: str) -> StoredRow | None:
        """Return a row, or None if it does not exist."""
        with self._changed:
            return self._rows.get((table, part, key))

    def compact(self) -> None:
        """Discard the history of changes."""
        with self._changed:
            self._version += 1
            self._changes.clear()
            self._compacted_version = self._version
            self._changed.notify_all()

    def execute_delayed(self) -> None:
        """Execute the delayed transactions whose conditions still hold."""
        delayed, self.delayed = self.delayed, []
        for transaction in delayed:
            self._execute(transaction)

    def commit(self, transaction: TableTransaction) -> Committed | Conflict:
        """Execute a transaction, or apply the fault of its partition."""
        part = transaction.part
        if part in self.refused_parts:
            self.failed.append(transaction)
            raise StoreRefusedError("injected refusal")
        if part in self.delayed_parts:
            self.failed.append(transaction)
            self.delayed.append(transaction)
            raise StoreOutcomeUnknownError("injected delay")
        result = self._execute(transaction)
        if part in self.lossy_parts:
            self.failed.append(transaction)
            raise StoreOutcomeUnknownError("injected loss of a response")
        return result

    def _execute(self, transaction: TableTransaction) -> Committed | Conflict:
        part = transaction.part
        written = {(item.table, item.key) for item in transaction.writes}
        removed = {(item.table, item.key) for item in transaction.removals}
        assert written.isdisjoint(removed), written & removed
        with self._changed:
            found = [self._find_condition(part, c) for c in transaction.conditions]
            if any(
                row.version != item.version
                for row, item in zip(found, transaction.conditions, strict=True)
            ):
                return Conflict(tuple(found))
            self._version += 1
            for write in transaction.writes:
                self._put((write.table, part, write.key), write.value)
            for removal in transaction.removals:
                self._remove((removal.table, part, removal.key))
            self.commits.append(transaction)
            self._changed.notify_all()
            return Committed(self._version)

    def read(
        self, table: str, first: str = "", limit: int = 0, part: str = ""
    ) -> RowRange:
        """Return the rows of a partition as of the start of the call."""
        with self._changed:
            keys = sorted(k for k in self._rows if k[:2] == (table, part))
            rows = [self._rows[key] for key in keys if key[2] >= first]
            found = RowRange(tuple(rows[: limit or None]), self._version)
        if part and part == self.held_part:
            self.held_reads += 1
            assert self.read_gate.wait(WAIT_SECONDS)
        return found

    def watch(self, table: str, after: int, seconds: float) -> RowRange:
        """Return the changes of a table after a version; wait for the first one."""

        def find_changes() -> tuple[StoredRow, ...]:
            return tuple(
                row
                for row in self._changes
                if row.table == table and row.version > after
            )

        def is_due() -> bool:
            return bool(find_changes()) or after < self._compacted_version

        with self._changed:
            self._changed.wait_for(is_due, seconds)
            if after < self._compacted_version:
                raise HistoryCompactedError("injected loss of the history")
            return RowRange(find_changes(), self._version)

    def close(self) -> None:
        """Do nothing."""

    def _put(self, key: RowKey, value: bytes) -> None:
        row = StoredRow(key[0], key[2], value, self._version)
        self._rows[key] = row
        self._changes.append(row)

    def _remove(self, key: RowKey) -> None:
        if self._rows.pop(key, None) is not None:
            tombstone = StoredRow(key[0], key[2], b"", self._version, True)
            self._changes.append(tombstone)

    def _find_condition(self, part: str, item: RowCondition) -> StoredRow:
        missing = StoredRow(item.table, item.key, b"", 0, True)
        return self._rows.get((item.table, part, item.key), missing)


def count_removals(
    transactions: Iterable[TableTransaction], table: str, key: str
) -> int:
    """Return how many transactions remove a row."""
    return sum(
        any(item.table == table and item.key == key for item in transaction.removals)
        for transaction in transactions
    )
