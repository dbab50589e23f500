"""HTTP server and client of the stand-ins."""

import json
from collections.abc import Callable
from http.client import HTTPConnection, HTTPException
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any

# Status and JSON body of a response; None closes the connection without one.
Answer = tuple[int, Any] | None
Handle = Callable[[str, str, bytes, Any], Answer]


class Server(ThreadingHTTPServer):
    """Threaded server on a loopback port that the system chooses."""

    daemon_threads = True
    request_queue_size = 256

    def __init__(self, handle: Handle, port: int = 0) -> None:
        super().__init__(("127.0.0.1", port), make_handler(handle))

    @property
    def address(self) -> str:
        """The address as ``ip:port``."""
        return f"127.0.0.1:{self.server_address[1]}"

    def handle_error(self, request: Any, client_address: Any) -> None:
        """Ignore connections that the other side has broken."""


def make_handler(handle: Handle) -> type[BaseHTTPRequestHandler]:
    """Return a handler class that reads the body and calls ``handle``."""

    class Handler(BaseHTTPRequestHandler):
        """Answers each request with what the function returns."""

        protocol_version = "HTTP/1.1"
        disable_nagle_algorithm = True
        wbufsize = -1

        def do_any(self) -> None:
            """Handle one request."""
            size = int(self.headers.get("Content-Length") or 0)
            body = self.rfile.read(size)
            answer = handle(self.command, self.path, body, self.headers)
            if answer is None:
                self.close_connection = True
                return
            data = json.dumps(answer[1]).encode()
            self.send_response(answer[0])
            self.send_header("Content-Type", "application/json")
            self.send_header("Content-Length", str(len(data)))
            self.end_headers()
            self.wfile.write(data)

        do_GET = do_POST = do_PUT = do_DELETE = do_any

        def log_message(self, format: str, *args: Any) -> None:
            """Write no access log."""

    return Handler


def call(
    method: str,
    address: str,
    path: str,
    body: Any = None,
    headers: dict[str, str] | None = None,
    seconds: float = 3.0,
) -> tuple[int, Any]:
    """Return status and JSON body of a response; status 0 if there is none."""
    conn = HTTPConnection(*address.split(":"), timeout=seconds)
    try:
        data = None if body is None else json.dumps(body).encode()
        sent = {"Content-Type": "application/json", **(headers or {})}
        conn.request(method, path, data, sent)
        resp = conn.getresponse()
        text = resp.read()
        return resp.status, json.loads(text) if text[:1] in (b"{", b"[") else text
    except (OSError, HTTPException, ValueError):
        return 0, None
    finally:
        conn.close()
