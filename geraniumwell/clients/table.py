"""Interface of the platform's table store, independent of its wire format."""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Protocol

from geraniumwell.exceptions import GeraniumwellError


class StoreError(GeraniumwellError):
    """A call to the store has failed."""

    code = "store_error"


class StoreRefusedError(StoreError):
    """The store refused a call, which has had no effect."""

    code = "store_refused"


class StoreOutcomeUnknownError(StoreError):
    """No response arrived; the call may have taken effect or may still do so."""

    code = "store_unknown"


class HistoryCompactedError(StoreError):
    """The store no longer has the changes after the requested version."""

    code = "store_history_lost"


@dataclass(slots=True, frozen=True)
class StoredRow:
    """A row of the store; ``is_deleted`` marks a removed row."""

    table: str
    key: str
    value: bytes
    version: int
    is_deleted: bool = False


@dataclass(slots=True, frozen=True)
class Condition:
    """Version that a row must have; 0 if it must not exist."""

    table: str
    key: str
    version: int


@dataclass(slots=True, frozen=True)
class RowWrite:
    """A row to write."""

    table: str
    key: str
    value: bytes


@dataclass(slots=True, frozen=True)
class RowRemoval:
    """A row to remove."""

    table: str
    key: str


@dataclass(slots=True, frozen=True)
class TableTransaction:
    """Changes in one partition of the store, which are applied all or none."""

    conditions: tuple[Condition, ...] = ()
    writes: tuple[RowWrite, ...] = ()
    removals: tuple[RowRemoval, ...] = ()
    part: str = ""


@dataclass(slots=True, frozen=True)
class Committed:
    """The transaction was committed with this version."""

    version: int


@dataclass(slots=True, frozen=True)
class Conflict:
    """A condition was not met; ``rows`` are the current rows of all conditions."""

    rows: tuple[StoredRow, ...]


@dataclass(slots=True, frozen=True)
class RowRange:
    """Rows at a version of the store; ``is_partial`` means that there are more."""

    rows: tuple[StoredRow, ...]
    version: int
    is_partial: bool = False


@dataclass(slots=True, frozen=True)
class TablePartition:
    """A partition of a table."""

    table: str
    part: str


class TableClient(Protocol):
    """Client of the table store; each call may raise a StoreError."""

    def commit(self, transaction: TableTransaction) -> Committed | Conflict:
        """Commit a transaction."""

    def read(
        self, table: str, first: str = "", limit: int = 0, part: str = ""
    ) -> RowRange:
        """Return rows of a partition, sorted by key, from ``first`` on."""

    def watch(self, table: str, after: int, seconds: float) -> RowRange:
        """Wait for changes in any partition after a version; return the changed rows.

        The result is empty if there is no change within ``seconds``.
        """

    def close(self) -> None:
        """Close the connection."""


def find_row(client: TableClient, table: str, key: str, part: str) -> StoredRow | None:
    """Return one row, or None if it does not exist."""
    rows = client.read(table, key, limit=1, part=part).rows
    return next((row for row in rows if row.key == key), None)


def read_partitions(
    client: TableClient, table: str, partitions: Iterable[str]
) -> RowRange:
    """Return all rows of some partitions, with the earliest version of the reads."""
    return merge_ranges(read_all(client, table, part) for part in partitions)


def merge_ranges(ranges: Iterable[RowRange]) -> RowRange:
    """Return the rows of several reads, with the earliest of their versions."""
    found = list(ranges)
    rows = tuple(row for item in found for row in item.rows)
    return RowRange(rows, min(item.version for item in found))


def read_all(client: TableClient, table: str, part: str = "") -> RowRange:
    """Return all rows of a partition, read page by page.

    The version is that of the first page, so that a watch from it misses no change.
    """
    page = client.read(table, part=part)
    rows = list(page.rows)
    version = page.version
    while page.is_partial:
        # Keys contain no space, and a space sorts before all characters in keys.
        page = client.read(table, rows[-1].key + " ", part=part)
        rows.extend(page.rows)
    return RowRange(tuple(rows), version)
