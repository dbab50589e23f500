"""Client of the platform's table store over HTTP."""

from base64 import b64decode, b64encode
from typing import Any, Final
from urllib.parse import urlencode

from msgspec.json import encode
from prometheus_client import Counter, Histogram
from urllib3 import HTTPConnectionPool, HTTPResponse, Timeout
from urllib3.exceptions import ConnectTimeoutError, HTTPError, NewConnectionError

from geraniumwell.clients.http import make_pool
from geraniumwell.clients.table import (
    Committed,
    Condition,
    Conflict,
    HistoryCompactedError,
    RowRange,
    StoredRow,
    StoreOutcomeUnknownError,
    StoreRefusedError,
    TableTransaction,
)
from geraniumwell.clients.timeout_estimator import LONGEST_SECONDS, TimeoutEstimator
from geraniumwell.codec.json import CodecError
from geraniumwell.platform.wire import WireRow, WireRows, decode_wire
from geraniumwell.util.clock import monotonic_seconds

HEADERS: Final = {"Content-Type": "application/json"}
# A connection is made within some milliseconds; a lost first packet is sent again
# after a second, which a new attempt does not wait for.
CONNECT_SECONDS: Final = 0.5
CALLS = Counter(
    "geraniumwell_store_calls", "Calls to the store.", ("operation", "result")
)
SECONDS = Histogram(
    "geraniumwell_store_call_seconds",
    "Time of a call to the store; watches are left out.",
    ("operation",),
    buckets=(0.005, 0.01, 0.02, 0.05, 0.1, 0.3, 1.0),
)


class HttpTableClient:
    """One connection to the store; not for several threads.

    Parameters
    ----------
    address : str
        ``ip:port`` of the store.
    timer : TimeoutEstimator
        Estimates the time limit of a call; shared by all clients of the store.
    read_seconds : float or None
        Time limit of a call that goes before the estimate. A watch waits besides.
    """

    __slots__ = ("_pool", "_read_seconds", "_timer")

    def __init__(
        self, address: str, timer: TimeoutEstimator, read_seconds: float | None = None
    ) -> None:
        self._pool: HTTPConnectionPool = make_pool(
            address, CONNECT_SECONDS, LONGEST_SECONDS
        )
        self._timer = timer
        self._read_seconds = read_seconds

    def commit(self, transaction: TableTransaction) -> Committed | Conflict:
        """Carry a transaction out."""
        part = transaction.part
        body = {
            "Expected": [
                _name_row(item.table, part, item.key) | {"Ver": item.version}
                for item in transaction.conditions
            ],
            "Writes": [
                _name_row(item.table, part, item.key)
                | {"Value": b64encode(item.value).decode()}
                for item in transaction.writes
            ],
            "Remove": [_name_row(r.table, part, r.key) for r in transaction.removals],
        }
        resp = self._call("commit", "POST", "/rows-tx", encode(body))
        wire = _decode_rows(resp)
        if resp.status == 412:
            rows = tuple(_make_row(row) for row in wire.rows)
            return Conflict(_fill_missing(rows, transaction.conditions))
        return Committed(wire.ver)

    def read(
        self, table: str, first: str = "", limit: int = 0, part: str = ""
    ) -> RowRange:
        """Return rows of a part in the order of their keys, from ``first`` on."""
        args: dict[str, Any] = {"Table": table, "part": part}
        if first:
            args["From"] = first
        if limit:
            args["Limit"] = limit
        wire = _decode_rows(self._call("read", "GET", f"/rows-get?{urlencode(args)}"))
        rows = tuple(_make_row(row) for row in wire.rows)
        return RowRange(rows, wire.ver, wire.truncated)

    def watch(self, table: str, after: int, seconds: float) -> RowRange:
        """Return the rows changed after a version, once there are any."""
        args = {"Table": table, "After": after, "WaitMs": int(seconds * 1000)}
        path = f"/rows-feed?{urlencode(args)}"
        wire = _decode_rows(self._call("watch", "GET", path, wait_seconds=seconds))
        return RowRange(tuple(_make_row(row) for row in wire.rows), wire.ver)

    def close(self) -> None:
        """Close the connection."""
        self._pool.close()

    def _call(
        self,
        operation: str,
        method: str,
        path: str,
        body: bytes | None = None,
        wait_seconds: float = 0.0,
    ) -> HTTPResponse:
        begin = monotonic_seconds()
        limit = self._read_seconds or self._timer.timeout_seconds
        try:
            resp = self._pool.request(
                method,
                path,
                body=body,
                headers=HEADERS,
                timeout=Timeout(connect=CONNECT_SECONDS, read=limit + wait_seconds),
            )
        except (ConnectTimeoutError, NewConnectionError) as exc:
            CALLS.labels(operation, "unreachable").inc()
            raise StoreRefusedError(f"store {operation}: {exc}") from exc
        except HTTPError as exc:
            CALLS.labels(operation, "no_answer").inc()
            self._timer.record_timeout()
            raise StoreOutcomeUnknownError(f"store {operation}: {exc}") from exc
        CALLS.labels(operation, str(resp.status)).inc()
        if not wait_seconds:
            seconds = monotonic_seconds() - begin
            SECONDS.labels(operation).observe(seconds)
            self._timer.record_answer(seconds)
        if resp.status == 410:
            raise HistoryCompactedError("the store has dropped the wanted changes")
        if resp.status not in (200, 412):
            raise StoreRefusedError(f"store {operation}: status {resp.status}")
        return resp


def _name_row(table: str, part: str, key: str) -> dict[str, Any]:
    return {"Table": table, "part": part, "Key": key}


def _decode_rows(resp: HTTPResponse) -> WireRows:
    try:
        return decode_wire(resp.data, WireRows)
    except CodecError as exc:
        raise StoreOutcomeUnknownError(
            f"the store's answer can't be read: {exc}"
        ) from exc


def _make_row(row: WireRow) -> StoredRow:
    try:
        value = b64decode(row.value)
    except ValueError:
        # Another writer's row; what reads it finds that it holds nothing.
        value = b""
    return StoredRow(row.table, row.key, value, row.ver, row.tombstone)


def _fill_missing(
    rows: tuple[StoredRow, ...], conditions: tuple[Condition, ...]
) -> tuple[StoredRow, ...]:
    """Return the rows of all conditions; one that is not there has version 0."""
    found = {(row.table, row.key): row for row in rows}
    return tuple(
        found.get((c.table, c.key), StoredRow(c.table, c.key, b"", 0, True))
        for c in conditions
    )
