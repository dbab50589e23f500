"""Client of the platform's transactional table, object store and list of VMs."""

from dataclasses import dataclass
from typing import Protocol
from urllib.parse import quote, urlencode

from urllib3 import HTTPConnectionPool
from urllib3.exceptions import HTTPError

from geraniumwell.clients.http import make_pool
from geraniumwell.codec.json import decode_json, encode_json
from geraniumwell.exceptions import (
    PlatformError,
    PlatformUnavailableError,
    TransactionConflictError,
)
from geraniumwell.helpers.control_metrics import CHANNEL_PLATFORM, count_call

CONNECT_TIMEOUT_SECONDS = 1.0
READ_TIMEOUT_SECONDS = 2.0
ROWS_PER_READ = 1000
# Operation names of the call metrics, by first path segment and HTTP method.
OPERATIONS = {
    ("objects", "GET"): "read_object",
    ("objects", "PUT"): "write_object",
    ("table", "GET"): "read",
    ("table", "POST"): "write",
    ("vms", "GET"): "list_vms",
}


@dataclass(slots=True, frozen=True)
class Row:
    """A row of the table; ``version`` increases with each write of the row."""

    key: str
    version: int
    value: str


@dataclass(slots=True, frozen=True)
class Condition:
    """Version that a row must have; 0 if it must not exist."""

    key: str
    version: int


@dataclass(slots=True, frozen=True)
class Put:
    """A write of the value of one row."""

    key: str
    value: str


@dataclass(slots=True, frozen=True)
class Transaction:
    """Writes that are applied together, if all conditions are met."""

    conditions: tuple[Condition, ...] = ()
    puts: tuple[Put, ...] = ()
    deletes: tuple[str, ...] = ()


@dataclass(slots=True, frozen=True)
class VmEntry:
    """A VM in the platform's list, which may be outdated."""

    name: str
    leaving: bool = False


@dataclass(slots=True, frozen=True)
class RowsPage:
    """One page of a range read."""

    rows: tuple[Row, ...]


@dataclass(slots=True, frozen=True)
class VmList:
    """The platform's list of VMs, which may be outdated."""

    vms: tuple[VmEntry, ...]


@dataclass(slots=True, frozen=True)
class Conflict:
    """Body of the response to a transaction with a failed condition."""

    key: str


class PlatformClient(Protocol):
    """Interface of a client of the platform; each call may raise PlatformError."""

    def read_rows(self, prefix: str, after: str = "") -> tuple[Row, ...]:
        """Return the rows whose key starts with ``prefix`` and is above ``after``."""

    def transact(self, transaction: Transaction) -> None:
        """Apply all writes of a transaction or none."""

    def list_vms(self) -> tuple[VmEntry, ...]:
        """Return the platform's list of VMs, which may be outdated."""

    def put_object(self, name: str, data: bytes) -> None:
        """Store an object."""

    def get_object(self, name: str) -> bytes | None:
        """Return an object, or None if it does not exist."""


class HttpPlatformClient:
    """Client of the platform over HTTP with JSON bodies; not thread-safe.

    Parameters
    ----------
    address : str
        ``ip:port`` of the platform's service.
    connect_seconds, read_seconds : float
        Timeouts of one call.
    """

    __slots__ = ("_pool",)

    def __init__(
        self,
        address: str,
        connect_seconds: float = CONNECT_TIMEOUT_SECONDS,
        read_seconds: float = READ_TIMEOUT_SECONDS,
    ) -> None:
        self._pool: HTTPConnectionPool = make_pool(
            address, connect_seconds, read_seconds
        )

    def _call(self, method: str, path: str, body: bytes | None = None) -> bytes:
        operation = OPERATIONS[path.split("/")[1].partition("?")[0], method]
        try:
            resp = self._pool.request(method, path, body=body)
        except HTTPError as exc:
            count_call(CHANNEL_PLATFORM, operation, len(body or b""), 0)
            raise PlatformUnavailableError(f"{method} {path}", str(exc)) from exc
        count_call(CHANNEL_PLATFORM, operation, len(body or b""), len(resp.data))
        if resp.status == 409:
            raise TransactionConflictError(decode_json(resp.data, Conflict).key)
        if resp.status >= 500:
            raise PlatformUnavailableError(f"{method} {path}", f"status {resp.status}")
        if resp.status >= 400 and resp.status != 404:
            raise PlatformError(
                f"platform refused {method} {path} with status {resp.status}"
            )
        return resp.data if resp.status != 404 else b""

    def read_rows(self, prefix: str, after: str = "") -> tuple[Row, ...]:
        """Return the rows whose key starts with ``prefix`` and is above ``after``."""
        rows: list[Row] = []
        while True:
            args = {"prefix": prefix, "after": after, "limit": ROWS_PER_READ}
            data = self._call("GET", f"/table/rows?{urlencode(args)}")
            page = decode_json(data, RowsPage).rows
            rows.extend(page)
            if len(page) < ROWS_PER_READ:
                return tuple(rows)
            after = page[-1].key

    def transact(self, transaction: Transaction) -> None:
        """Apply all writes of a transaction or none."""
        self._call("POST", "/table/transactions", encode_json(transaction))

    def list_vms(self) -> tuple[VmEntry, ...]:
        """Return the platform's list of VMs, which may be outdated."""
        return decode_json(self._call("GET", "/vms"), VmList).vms

    def put_object(self, name: str, data: bytes) -> None:
        """Store an object."""
        self._call("PUT", f"/objects/{quote(name, safe='')}", data)

    def get_object(self, name: str) -> bytes | None:
        """Return an object, or None if it does not exist."""
        return self._call("GET", f"/objects/{quote(name, safe='')}") or None
