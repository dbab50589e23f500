"""HTTP server of the simulated systems."""

import json
import sys
from collections.abc import Callable
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any

Handle = Callable[[BaseHTTPRequestHandler, bytes], None]


class StandInServer(ThreadingHTTPServer):
    """Threaded server with daemon threads and a large backlog."""

    daemon_threads = True
    request_queue_size = 256

    def handle_error(self, request: Any, client_address: Any) -> None:
        """Report all errors except those of clients that were killed."""
        if not isinstance(sys.exc_info()[1], ConnectionError):
            super().handle_error(request, client_address)


def make_handler(handle: Handle) -> type[BaseHTTPRequestHandler]:
    """Return a handler class that reads the body and calls ``handle``."""

    class Handler(BaseHTTPRequestHandler):
        """Passes each request and its body to the handler function."""

        protocol_version = "HTTP/1.1"
        # Otherwise small writes of header and body wait for delayed ACKs.
        disable_nagle_algorithm = True
        wbufsize = -1

        def do_any(self) -> None:
            """Handle one request."""
            size = int(self.headers.get("Content-Length") or 0)
            handle(self, self.rfile.read(size))

        do_GET = do_POST = do_PUT = do_any

        def log_message(self, format: str, *args: Any) -> None:
            """Write no access log."""

    return Handler


def send(
    handler: BaseHTTPRequestHandler,
    status: int,
    body: bytes = b"",
    headers: dict[str, str] | None = None,
) -> None:
    """Send a complete response."""
    handler.send_response(status)
    for name, value in (headers or {}).items():
        handler.send_header(name, value)
    handler.send_header("Content-Length", str(len(body)))
    handler.end_headers()
    handler.wfile.write(body)


def send_json(handler: BaseHTTPRequestHandler, status: int, value: Any) -> None:
    """Send a JSON response."""
    headers = {"Content-Type": "application/json"}
    send(handler, status, json.dumps(value).encode(), headers)


def run_server(port: int, handle: Handle) -> None:
    """Serve on a port of the loopback address; print the port, then never return."""
    server = StandInServer(("127.0.0.1", port), make_handler(handle))
    print(server.server_address[1], flush=True)
    server.serve_forever()
