"""Simulated table store of the platform: rows, transactions, a feed and faults.

``POST /faults`` with ``{"mode": "up" | "busy" | "silent" | "slow" | "lose_answers",
"seconds": s, "share": p, "late": s, "parts": [...], "key": k}`` changes how later calls
behave.
``slow`` delays each call by ``seconds`` and executes the transactions of a partition
one after another, each for ``seconds``. ``busy`` refuses with 503 and does nothing,
with ``parts`` only for transactions and reads of these partitions; ``silent`` never
answers and does nothing; ``lose_answers`` executes a share of the writes, or those of
the row ``key``, after ``late`` seconds and does not answer them.
``POST /compact`` drops the history of changes.
"""

import json
import random
import sys
import time
from http.server import BaseHTTPRequestHandler
from threading import Condition, Timer
from typing import Any
from urllib.parse import parse_qs, urlsplit

from stand_ins.server import run_server, send, send_json

NO_ANSWER_SECONDS = 5.0
# A partition with a longer backlog refuses further transactions.
PARTITION_BACKLOG_SECONDS = 1.0
ROWS_PER_RESPONSE = 500


class TableStore:
    """Rows by table and key, and the changes since the last compaction."""

    __slots__ = (
        "_changed",
        "_changes",
        "_fault",
        "_compacted_version",
        "_partition_free_at",
        "_random",
        "_rows",
        "_version",
    )

    def __init__(self, seed: int) -> None:
        self._changed = Condition()
        self._rows: dict[tuple[str, str, str], dict[str, Any]] = {}
        self._partition_free_at: dict[str, float] = {}
        self._changes: list[dict[str, Any]] = []
        self._compacted_version = 0
        self._version = 0
        self._fault: dict[str, Any] = {"mode": "up"}
        self._random = random.Random(seed)

    def handle(self, handler: BaseHTTPRequestHandler, body: bytes) -> None:
        """Answer one call, or apply the current fault."""
        url = urlsplit(handler.path)
        args = {key: values[0] for key, values in parse_qs(url.query).items()}
        if url.path == "/faults":
            self._fault = json.loads(body)
            send_json(handler, 200, {})
            return
        if url.path == "/compact":
            self._compact()
            send_json(handler, 200, {})
            return
        fault = dict(self._fault)
        if "parts" in fault:
            if is_in_parts(url.path, args, body, fault["parts"]):
                send_json(handler, 503, {})
                return
        elif self._apply_fault(handler, fault):
            return
        match url.path:
            case "/rows-tx":
                self._handle_commit(handler, json.loads(body), fault)
            case "/rows-get":
                send_json(handler, 200, self._read(args))
            case "/rows-feed":
                self._handle_feed(handler, args)
            case _:
                send(handler, 404)

    def _apply_fault(
        self, handler: BaseHTTPRequestHandler, fault: dict[str, Any]
    ) -> bool:
        match fault["mode"]:
            case "busy":
                send_json(handler, 503, {})
                return True
            case "silent":
                time.sleep(NO_ANSWER_SECONDS)
                handler.close_connection = True
                return True
            case "slow":
                time.sleep(fault.get("seconds", 0.3))
        return False

    def _handle_commit(
        self,
        handler: BaseHTTPRequestHandler,
        call: dict[str, Any],
        fault: dict[str, Any],
    ) -> None:
        if self._is_answer_lost(call, fault):
            late_seconds = fault.get("late", 0.0)
            if late_seconds:
                timer = Timer(late_seconds, self._commit, (call,))
                timer.daemon = True
                timer.start()
            else:
                self._commit(call)
            time.sleep(NO_ANSWER_SECONDS)
            handler.close_connection = True
            return
        if fault["mode"] == "slow" and not self._wait_for_partition(call, fault):
            send_json(handler, 429, {})
            return
        status, response = self._commit(call)
        send_json(handler, status, response)

    def _is_answer_lost(self, call: dict[str, Any], fault: dict[str, Any]) -> bool:
        if fault["mode"] != "lose_answers":
            return False
        if "key" in fault:
            return any(item["Key"] == fault["key"] for item in call.get("Writes", ()))
        return self._random.random() < fault.get("share", 1.0)

    def _wait_for_partition(self, call: dict[str, Any], fault: dict[str, Any]) -> bool:
        """Wait for the earlier transactions; return False if there are too many."""
        partition = find_partition(call)
        now = time.monotonic()
        with self._changed:
            start = max(now, self._partition_free_at.get(partition, 0.0))
            if start - now > PARTITION_BACKLOG_SECONDS:
                return False
            end = start + fault.get("seconds", 0.3)
            self._partition_free_at[partition] = end
        time.sleep(end - now)
        return True

    def _commit(self, call: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        find_partition(call)
        with self._changed:
            found_rows = []
            all_match = True
            for item in call.get("Expected", ()):
                row = self._rows.get(make_row_key(item))
                all_match &= (row["Ver"] if row else 0) == item["Ver"]
                if row:
                    found_rows.append(row)
            if not all_match:
                return 412, {"rows": found_rows, "Ver": self._version}
            self._version += 1
            for item in call.get("Writes", ()):
                self._put({**item, "Ver": self._version})
            for item in call.get("Remove", ()):
                if make_row_key(item) in self._rows:
                    self._put({**item, "Ver": self._version, "Tombstone": True})
            self._changed.notify_all()
            return 200, {"Ver": self._version}

    def _put(self, row: dict[str, Any]) -> None:
        key = make_row_key(row)
        if row.get("Tombstone"):
            del self._rows[key]
        else:
            self._rows[key] = row
        self._changes.append(row)

    def _read(self, args: dict[str, str]) -> dict[str, Any]:
        first, limit = args.get("From", ""), int(args.get("Limit", ROWS_PER_RESPONSE))
        with self._changed:
            wanted = (args["Table"], args.get("part", ""))
            keys = sorted(k for k in self._rows if k[:2] == wanted and k[2] >= first)
            rows = [self._rows[key] for key in keys[:limit]]
            is_partial = len(keys) > limit
            return {"rows": rows, "Truncated": is_partial, "Ver": self._version}

    def _handle_feed(
        self, handler: BaseHTTPRequestHandler, args: dict[str, str]
    ) -> None:
        after, table = int(args["After"]), args["Table"]
        limit = time.monotonic() + int(args.get("WaitMs", 0)) / 1000
        with self._changed:
            while True:
                if after < self._compacted_version:
                    status, response = 410, {}
                    break
                rows = [
                    row
                    for row in self._changes
                    if row["Table"] == table and row["Ver"] > after
                ]
                remaining = limit - time.monotonic()
                if rows or remaining <= 0:
                    status, response = 200, {"rows": rows, "Ver": self._version}
                    break
                self._changed.wait(remaining)
        send_json(handler, status, response)

    def _compact(self) -> None:
        with self._changed:
            self._changes.clear()
            self._compacted_version = self._version
            self._changed.notify_all()


def make_row_key(item: dict[str, Any]) -> tuple[str, str, str]:
    """Return the table, partition and key of a row."""
    return (item["Table"], item.get("part", ""), item["Key"])


def is_in_parts(path: str, args: dict[str, str], body: bytes, parts: list[str]) -> bool:
    """Return whether a transaction or read is in one of some partitions."""
    match path:
        case "/rows-tx":
            return find_partition(json.loads(body)) in parts
        case "/rows-get":
            return args.get("part", "") in parts
    return False


def find_partition(call: dict[str, Any]) -> str:
    """Return the partition of a transaction; all of its entries must be in it."""
    entries = [
        item for kind in ("Expected", "Writes", "Remove") for item in call.get(kind, ())
    ]
    partitions = {item.get("part", "") for item in entries}
    if len(partitions) > 1:
        raise ValueError(f"the transaction spans the partitions {sorted(partitions)}")
    return partitions.pop() if partitions else ""


if __name__ == "__main__":
    run_server(int(sys.argv[1]), TableStore(int(sys.argv[2])).handle)
