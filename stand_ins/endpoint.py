"""Simulated endpoint: executes requests and counts every execution.

``POST /faults`` with ``{"mode": m, "seconds": s}`` changes how later requests behave;
``s`` is the run time of each request. Modes:

- ``up``: answers;
- ``failing``: answers 500 without executing the request;
- ``refusing``: answers 503 with ``Not-Run: true``;
- ``leaving``: as ``refusing``, with ``Endpoint-State: leaving``;
- ``silent``: executes, then neither answers nor closes the connection;
- ``crossed``: executes, then sends the response of another attempt;
- ``large``: executes, then sends a response of 6 MiB;
- ``cut``: executes, then closes the connection in the middle of the body;
- ``dribble``: executes, then sends one byte of the body every ``s`` seconds.

``{"mix": {mode: share}, "seed": n}`` chooses a mode for each request at random.
``GET /executions`` returns how often each request id was executed, the maximum number
of concurrent requests and the number of requests that are running.
"""

import json
import sys
from http.server import BaseHTTPRequestHandler
from random import Random
from threading import Event, Lock

from stand_ins.server import run_server, send, send_json

NOT_RUN = {"Not-Run": "true"}
LEAVING = {"Endpoint-State": "leaving"}

# More than gRPC's default limit of 4 MiB for one message.
LARGE_RESPONSE_BYTES = 6 * 1024 * 1024


class Endpoint:
    """State of the endpoint and its current fault."""

    __slots__ = (
        "_lock",
        "_executions",
        "_running",
        "_max_running",
        "_mode",
        "_run_seconds",
        "_mode_mix",
    )

    def __init__(self) -> None:
        self._lock = Lock()
        self._executions: dict[str, int] = {}
        self._running = 0
        self._max_running = 0
        self._mode = "up"
        self._run_seconds = 0.0
        self._mode_mix: tuple[Random, list[str], list[float]] | None = None

    def handle(self, handler: BaseHTTPRequestHandler, body: bytes) -> None:
        """Answer one call."""
        if handler.path == "/faults":
            self._set_fault(json.loads(body))
            send_json(handler, 200, {})
        elif handler.path == "/executions":
            with self._lock:
                counts = {"most": self._max_running, "running": self._running}
                send_json(handler, 200, {"runs": self._executions, **counts})
        else:
            self._run(handler, body)

    def _set_fault(self, fault: dict) -> None:
        self._mode = fault.get("mode", "up")
        self._run_seconds = float(fault.get("seconds", 0.0))
        shares = fault.get("mix")
        self._mode_mix = None
        if shares:
            rng = Random(fault.get("seed", 0))
            self._mode_mix = rng, list(shares), list(shares.values())

    def _choose_mode(self) -> str:
        if self._mode_mix is None:
            return self._mode
        rng, modes, weights = self._mode_mix
        with self._lock:
            return rng.choices(modes, weights)[0]

    def _run(self, handler: BaseHTTPRequestHandler, body: bytes) -> None:
        headers = {
            "Request-Id": handler.headers["Request-Id"],
            "Attempt-Id": handler.headers["Attempt-Id"],
            "Content-Type": handler.headers["Content-Type"],
        }
        mode = self._choose_mode()
        if mode in ("leaving", "refusing"):
            state = LEAVING if mode == "leaving" else {}
            send(handler, 503, b"", headers | NOT_RUN | state)
            return
        if mode == "failing":
            send(handler, 500, b"", headers)
            return
        self._execute(headers["Request-Id"])
        if mode == "silent":
            Event().wait(600)
        if mode == "crossed":
            headers["Attempt-Id"] = "other"
            body = b"answer of another attempt"
        if mode == "large":
            body = bytes(LARGE_RESPONSE_BYTES)
        if mode in ("cut", "dribble"):
            self._send_partly(handler, body, headers, mode)
            return
        send(handler, 200, body, headers)

    def _send_partly(
        self,
        handler: BaseHTTPRequestHandler,
        body: bytes,
        headers: dict[str, str],
        mode: str,
    ) -> None:
        handler.send_response(200)
        for name, value in headers.items():
            handler.send_header(name, value)
        handler.send_header("Content-Length", str(len(body)))
        handler.end_headers()
        handler.close_connection = True
        if mode == "cut":
            handler.wfile.write(body[: len(body) // 2])
            return
        for index in range(len(body)):
            handler.wfile.write(body[index : index + 1])
            handler.wfile.flush()
            Event().wait(self._run_seconds)

    def _execute(self, request_id: str) -> None:
        with self._lock:
            self._executions[request_id] = self._executions.get(request_id, 0) + 1
            self._running += 1
            self._max_running = max(self._max_running, self._running)
        Event().wait(self._run_seconds)
        with self._lock:
            self._running -= 1


if __name__ == "__main__":
    run_server(int(sys.argv[1]) if len(sys.argv) > 1 else 0, Endpoint().handle)
