"""Interface of the platform's table store, in this project's words."""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Protocol

from geraniumwell.exceptions import GeraniumwellError


class StoreError(GeraniumwellError):
    """The store did not do what it was asked to do."""

    code = "store_error"


class StoreRefusedError(StoreError):
    """The store refused a call and did nothing."""

    code = "store_refused"


class StoreOutcomeUnknownError(StoreError):
    """No answer came; the call may have been carried out or may be later."""

    code = "store_unknown"


class HistoryCompactedError(StoreError):
    """The store no longer has the changes after the wanted version."""

    code = "store_history_lost"


@dataclass(slots=True, frozen=True)
class StoredRow:
    """A row of the store; ``is_deleted`` marks a row that was removed."""

    table: str
    key: str
    value: bytes
    version: int
    is_deleted: bool = False


@dataclass(slots=True, frozen=True)
class Condition:
    """Version that a row must have; 0 if there must be none."""

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
    """Changes in one part of the store that are all made or none."""

    conditions: tuple[Condition, ...] = ()
    writes: tuple[RowWrite, ...] = ()
    removals: tuple[RowRemoval, ...] = ()
    part: str = ""


@dataclass(slots=True, frozen=True)
class Committed:
    """The transaction was carried out as this version."""

    version: int


@dataclass(slots=True, frozen=True)
class Conflict:
    """A condition did not hold; ``rows`` are the present rows of the conditions."""

    rows: tuple[StoredRow, ...]


@dataclass(slots=True, frozen=True)
class RowRange:
    """Rows at one version of the store; ``is_partial`` if there are more."""

    rows: tuple[StoredRow, ...]
    version: int
    is_partial: bool = False


@dataclass(slots=True, frozen=True)
class TablePartition:
    """One part of a table."""

    table: str
    part: str


class TableClient(Protocol):
    """Calls of the table store; each raises a StoreError."""

    def commit(self, transaction: TableTransaction) -> Committed | Conflict:
        """Carry a transaction out."""

    def read(
        self, table: str, first: str = "", limit: int = 0, part: str = ""
    ) -> RowRange:
        """Return rows of a part in the order of their keys, from ``first`` on."""

    def watch(self, table: str, after: int, seconds: float) -> RowRange:
        """Return the rows of all parts changed after a version, once there are any."""

    def close(self) -> None:
        """Close the connection."""


def find_row(client: TableClient, table: str, key: str, part: str) -> StoredRow | None:
    """Return one row, or None if it is not there."""
    rows = client.read(table, key, limit=1, part=part).rows
    return next((row for row in rows if row.key == key), None)


def read_parts(client: TableClient, table: str, parts: Iterable[str]) -> RowRange:
    """Return all rows of a table's parts, with the earliest version of a reading."""
    return merge_ranges(read_all(client, table, part) for part in parts)


def merge_ranges(ranges: Iterable[RowRange]) -> RowRange:
    """Return the rows of several readings, with the earliest version of them."""
    found = list(ranges)
    rows = tuple(row for item in found for row in item.rows)
    return RowRange(rows, min(item.version for item in found))


def read_all(client: TableClient, table: str, part: str = "") -> RowRange:
    """Return all rows of a part of a table, page by page.

    The version is that of the first page, so that a watch from there misses nothing.
    """
    page = client.read(table, part=part)
    rows = list(page.rows)
    version = page.version
    while page.is_partial:
        # No key contains a blank, which sorts before all characters that keys have.
        page = client.read(table, rows[-1].key + " ", part=part)
        rows.extend(page.rows)
    return RowRange(tuple(rows), version)
