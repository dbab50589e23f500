"""Stand-in of the platform's store: rows, transactions, a feed and the registry.

It follows "The platform's metadata store" and "Service discovery" of PROTOCOL.md. An
entry of a runner is removed after three check-in intervals of silence.
"""

import json
import time
from base64 import b64encode
from threading import Condition, Thread
from typing import Any
from urllib.parse import parse_qs, urlsplit

from review.support_2.web import Answer, Server

HEARTBEAT_SECONDS = 1.5
SILENT_HEARTBEATS = 3
ROWS_PER_ANSWER = 500
Key = tuple[str, str, str]


class Store:
    """Rows by table, partition and key, with the history of their changes.

    Attributes
    ----------
    down_parts : frozenset of str
        Partitions whose calls are refused with 503; nothing is done.
    are_watches_mute : bool
        Whether watches hear nothing.
    """

    def __init__(self) -> None:
        self.changed = Condition()
        self.rows: dict[Key, dict[str, Any]] = {}
        self.history: list[dict[str, Any]] = []
        self.dropped_version = 0
        self.version = 0
        self.down_parts: frozenset[str] = frozenset()
        self.are_watches_mute = False
        self.refused: list[tuple[float, str]] = []
        self.snapshot_reads: list[tuple[float, str]] = []
        self.beats: dict[str, float] = {}
        self.server = Server(self.handle)
        self.address = self.server.address
        Thread(target=self.server.serve_forever, daemon=True).start()
        Thread(target=self._expire_entries, daemon=True).start()

    def handle(self, method: str, path: str, body: bytes, headers: Any) -> Answer:
        """Answer one call."""
        url = urlsplit(path)
        args = {k: v[0] for k, v in parse_qs(url.query).items()}
        match url.path:
            case "/rows-tx":
                return self._commit(json.loads(body))
            case "/rows-get":
                return self._read(args)
            case "/rows-feed":
                return self._watch(args)
            case "/beat":
                return self._beat(json.loads(body))
        return 404, {}

    def put(self, table: str, key: str, value: Any) -> None:
        """Write a row as the operator does."""
        with self.changed:
            self.version += 1
            self._write(table, "", key, b64encode(json.dumps(value).encode()).decode())
            self.changed.notify_all()

    def drop_history(self) -> None:
        """Discard the history."""
        with self.changed:
            self.history.clear()
            self.dropped_version = self.version
            self.are_watches_mute = False
            self.changed.notify_all()

    def _write(self, table: str, part: str, key: str, value: str | None) -> None:
        at = (table, part, key)
        row = {"Table": table, "part": part, "Key": key, "Ver": self.version}
        if value is None:
            if self.rows.pop(at, None) is None:
                return
            row["Tombstone"] = True
        else:
            row["Value"] = value
            self.rows[at] = row
        self.history.append(row)

    def _commit(self, call: dict[str, Any]) -> Answer:
        expected = call.get("Expected", ())
        writes, removals = call.get("Writes", ()), call.get("Remove", ())
        parts = {item.get("part", "") for item in (*expected, *writes, *removals)}
        with self.changed:
            if parts & self.down_parts:
                keys = " ".join(item["Key"] for item in (*writes, *removals))
                self.refused.append((time.monotonic(), keys))
                return 503, {}
            if any(item["Table"] in ("op", "servers") for item in (*writes, *removals)):
                return 403, {}
            found = [self.rows.get((r["Table"], r["part"], r["Key"])) for r in expected]
            if any(
                (row["Ver"] if row else 0) != item["Ver"]
                for row, item in zip(found, expected, strict=True)
            ):
                return 412, {"rows": [r for r in found if r], "Ver": self.version}
            self.version += 1
            for item in writes:
                self._write(item["Table"], item["part"], item["Key"], item["Value"])
            for item in removals:
                self._write(item["Table"], item["part"], item["Key"], None)
            self.changed.notify_all()
            return 200, {"Ver": self.version, "NowMs": int(time.monotonic() * 1000)}

    def _read(self, args: dict[str, str]) -> Answer:
        table, part = args["Table"], args.get("part", "")
        first = args.get("From", "")
        limit = min(int(args.get("Limit", ROWS_PER_ANSWER)), ROWS_PER_ANSWER)
        with self.changed:
            if part in self.down_parts:
                return 503, {}
            if not first:
                self.snapshot_reads.append((time.monotonic(), f"{table}/{part}"))
            keys = sorted(
                k for k in self.rows if k[:2] == (table, part) and k[2] >= first
            )
            rows = [self.rows[key] for key in keys[:limit]]
            is_cut = len(keys) > limit
            return 200, {"rows": rows, "Truncated": is_cut, "Ver": self.version}

    def _watch(self, args: dict[str, str]) -> Answer:
        after, table = int(args["After"]), args["Table"]
        until = time.monotonic() + int(args.get("WaitMs", 0)) / 1000
        with self.changed:
            while True:
                if after < self.dropped_version:
                    return 410, {}
                rows = [
                    row
                    for row in self.history
                    if row["Table"] == table and row["Ver"] > after
                ]
                left = until - time.monotonic()
                if self.are_watches_mute:
                    # The watch is held without an answer until the history is gone.
                    if left < -5:
                        return None
                    self.changed.wait(0.1)
                    continue
                if rows or left <= 0:
                    return 200, {"rows": rows, "Ver": self.version}
                self.changed.wait(left)

    def _beat(self, call: dict[str, Any]) -> Answer:
        """Write the entry of a runner, or remove it after the runner has left."""
        with self.changed:
            name, entry = call["Id"], call["Entry"]
            self.version += 1
            if entry is None:
                self.beats.pop(name, None)
                self._write("servers", "", name, None)
            else:
                self.beats[name] = time.monotonic()
                value = b64encode(json.dumps(entry).encode()).decode()
                self._write("servers", "", name, value)
            self.changed.notify_all()
        return 200, {}

    def _expire_entries(self) -> None:
        while True:
            time.sleep(0.1)
            oldest = time.monotonic() - SILENT_HEARTBEATS * HEARTBEAT_SECONDS
            with self.changed:
                for name in [n for n, at in self.beats.items() if at < oldest]:
                    del self.beats[name]
                    self.version += 1
                    self._write("servers", "", name, None)
                    self.changed.notify_all()
