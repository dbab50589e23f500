"""Simulated platform: table, object store, list of VMs and fault injection.

``POST /faults`` with ``{"mode": "up" | "down" | "slow" | "lose_answers" |
"lose_requests" | "garbled", "seconds": s, "count": n, "then": mode}`` changes how
later calls behave. Only responses and requests of writes are lost; a garbled response
is not JSON; a fault with a count ends after that many affected calls and is followed by
the mode ``then``, or "up".
"""

import json
import sys
from http.server import BaseHTTPRequestHandler
from threading import Event, Lock
from urllib.parse import parse_qs, unquote, urlsplit

from stand_ins.server import run_server, send, send_json


class Platform:
    """State of the platform and its current fault."""

    __slots__ = (
        "_lock",
        "_rows",
        "_objects",
        "_vms",
        "_mode",
        "_slow_seconds",
        "_remaining_count",
        "_next_mode",
    )

    def __init__(self) -> None:
        self._lock = Lock()
        self._rows: dict[str, tuple[int, str]] = {}
        self._objects: dict[str, bytes] = {}
        self._vms: list[dict[str, object]] = []
        self._mode = "up"
        self._slow_seconds = 0.0
        self._remaining_count: int | None = None
        self._next_mode = "up"

    def handle(self, handler: BaseHTTPRequestHandler, body: bytes) -> None:
        """Answer one call, or apply the current fault."""
        url = urlsplit(handler.path)
        if url.path == "/faults":
            self._set_fault(json.loads(body))
            send_json(handler, 200, {})
            return
        mode = self._find_call_mode(handler.command)
        if mode == "down":
            send(handler, 503)
            return
        if mode == "garbled":
            send(handler, 200, b"<html>")
            return
        if mode == "lose_requests":
            handler.close_connection = True
            return
        if mode == "slow":
            Event().wait(self._slow_seconds)
        status, response = self._apply(handler.command, url.path, url.query, body)
        if mode == "lose_answers":
            handler.close_connection = True
            return
        if isinstance(response, bytes):
            send(handler, status, response)
        else:
            send_json(handler, status, response)

    def _find_call_mode(self, method: str) -> str:
        """Return the mode of a call, and count the calls that the fault affects."""
        with self._lock:
            is_unaffected = self._mode.startswith("lose_") and method == "GET"
            if is_unaffected or self._mode == "up":
                return "up"
            mode = self._mode
            if self._remaining_count is not None:
                self._remaining_count -= 1
                if self._remaining_count == 0:
                    self._mode, self._remaining_count = self._next_mode, None
            return mode

    def _set_fault(self, fault: dict[str, object]) -> None:
        self._mode = str(fault["mode"])
        self._slow_seconds = float(str(fault.get("seconds", 0.0)))
        count = fault.get("count")
        self._remaining_count = None if count is None else int(str(count))
        self._next_mode = str(fault.get("then", "up"))

    def _apply(
        self, method: str, path: str, query: str, body: bytes
    ) -> tuple[int, object]:
        with self._lock:
            if path == "/table/rows":
                return 200, self._read(parse_qs(query, keep_blank_values=True))
            if path == "/table/transactions":
                return self._commit(json.loads(body))
            if path == "/vms":
                if method == "PUT":
                    self._vms = json.loads(body)["vms"]
                return 200, {"vms": self._vms}
            if path.startswith("/objects/"):
                return self._access_object(method, unquote(path[9:]), body)
        return 404, b""

    def _read(self, args: dict[str, list[str]]) -> object:
        prefix = args["prefix"][0]
        after = args.get("after", [""])[0]
        limit = int(args.get("limit", ["1000"])[0])
        keys = sorted(k for k in self._rows if k.startswith(prefix) and k > after)
        rows = [
            {"key": k, "version": self._rows[k][0], "value": self._rows[k][1]}
            for k in keys[:limit]
        ]
        return {"rows": rows}

    def _commit(self, transaction: dict[str, list]) -> tuple[int, object]:
        for condition in transaction["conditions"]:
            version = self._rows.get(condition["key"], (0, ""))[0]
            if version != condition["version"]:
                return 409, {"key": condition["key"]}
        for put in transaction["puts"]:
            version = self._rows.get(put["key"], (0, ""))[0]
            self._rows[put["key"]] = (version + 1, put["value"])
        for key in transaction["deletes"]:
            self._rows.pop(key, None)
        return 200, {}

    def _access_object(self, method: str, name: str, body: bytes) -> tuple[int, object]:
        if method == "PUT":
            self._objects[name] = body
            return 200, b""
        if name not in self._objects:
            return 404, b""
        return 200, self._objects[name]


if __name__ == "__main__":
    run_server(int(sys.argv[1]) if len(sys.argv) > 1 else 0, Platform().handle)
