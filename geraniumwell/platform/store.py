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
from geraniumwell.clients.timeout_estimator import MAX_TIMEOUT_SECONDS, TimeoutEstimator
from geraniumwell.codec.json import CodecError
from geraniumwell.platform.wire import WireRow, WireRows, decode_wire
from geraniumwell.util.clock import monotonic_seconds

HEADERS: Final = {"Content-Type": "application/json"}
# Connecting takes a few milliseconds. A lost first packet is sent again only after a
# second, so a new attempt is faster.
CONNECT_TIMEOUT_SECONDS: Final = 0.5
CALLS = Counter(
    "geraniumwell_store_calls", "Calls to the store.", ("operation", "result")
)
CALL_SECONDS = Histogram(
    "geraniumwell_store_call_seconds",
    "Time of a call to the store; watches are left out.",
    ("operation",),
    buckets=(0.005, 0.01, 0.02, 0.05, 0.1, 0.3, 1.0),
)


class HttpTableClient:
    """One connection to the store; not thread-safe.

    Parameters
    ----------
    address : str
        ``ip:port`` of the store.
    timeout_estimator : TimeoutEstimator
        Estimates the time limit of a call; shared by all clients of the store.
    read_seconds : float or None
        Fixed time limit of a call, used instead of the estimate. The wait of a watch
        is added.
    """

    __slots__ = ("_pool", "_read_seconds", "_timeout_estimator")

    def __init__(
        self,
        address: str,
        timeout_estimator: TimeoutEstimator,
        read_seconds: float | None = None,
    ) -> None:
        self._pool: HTTPConnectionPool = make_pool(
            address, CONNECT_TIMEOUT_SECONDS, MAX_TIMEOUT_SECONDS
        )
        self._timeout_estimator = timeout_estimator
        self._read_seconds = read_seconds

    def commit(self, transaction: TableTransaction) -> Committed | Conflict:
        """Execute a transaction."""
        part = transaction.part
        body = {
            "Expected": [
                _make_row_key(item.table, part, item.key) | {"Ver": item.version}
                for item in transaction.conditions
            ],
            "Writes": [
                _make_row_key(item.table, part, item.key)
                | {"Value": b64encode(item.value).decode()}
                for item in transaction.writes
            ],
            "Remove": [
                _make_row_key(r.table, part, r.key) for r in transaction.removals
            ],
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
        """Return rows of a partition in the order of their keys, from ``first`` on."""
        args: dict[str, Any] = {"Table": table, "part": part}
        if first:
            args["From"] = first
        if limit:
            args["Limit"] = limit
        wire = _decode_rows(self._call("read", "GET", f"/rows-get?{urlencode(args)}"))
        rows = tuple(_make_row(row) for row in wire.rows)
        return RowRange(rows, wire.ver, wire.truncated)

    def watch(self, table: str, after: int, seconds: float) -> RowRange:
        """Return the rows changed after a version; wait up to ``seconds`` for one."""
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
        limit = self._read_seconds or self._timeout_estimator.timeout_seconds
        try:
            resp = self._pool.request(
                method,
                path,
                body=body,
                headers=HEADERS,
                timeout=Timeout(
                    connect=CONNECT_TIMEOUT_SECONDS, read=limit + wait_seconds
                ),
            )
        except (ConnectTimeoutError, NewConnectionError) as exc:
            CALLS.labels(operation, "unreachable").inc()
            raise StoreRefusedError(f"store {operation}: {exc}") from exc
        except HTTPError as exc:
            CALLS.labels(operation, "no_answer").inc()
            self._timeout_estimator.record_timeout()
            raise StoreOutcomeUnknownError(f"store {operation}: {exc}") from exc
        CALLS.labels(operation, str(resp.status)).inc()
        if not wait_seconds:
            seconds = monotonic_seconds() - begin
            CALL_SECONDS.labels(operation).observe(seconds)
            self._timeout_estimator.record_answer(seconds)
        if resp.status == 410:
            raise HistoryCompactedError("the store no longer has the requested changes")
        if resp.status not in (200, 412):
            raise StoreRefusedError(f"store {operation}: status {resp.status}")
        return resp


def _make_row_key(table: str, part: str, key: str) -> dict[str, Any]:
    return {"Table": table, "part": part, "Key": key}


def _decode_rows(resp: HTTPResponse) -> WireRows:
    try:
        return decode_wire(resp.data, WireRows)
    except CodecError as exc:
        raise StoreOutcomeUnknownError(f"invalid response of the store: {exc}") from exc


def _make_row(row: WireRow) -> StoredRow:
    try:
        value = b64decode(row.value)
    except ValueError:
        # A foreign row; its reader rejects the empty value.
        value = b""
    return StoredRow(row.table, row.key, value, row.ver, row.tombstone)


def _fill_missing(
    rows: tuple[StoredRow, ...], conditions: tuple[Condition, ...]
) -> tuple[StoredRow, ...]:
    """Return the rows of all conditions; a missing row has version 0."""
    found = {(row.table, row.key): row for row in rows}
    return tuple(
        found.get((c.table, c.key), StoredRow(c.table, c.key, b"", 0, True))
        for c in conditions
    )
