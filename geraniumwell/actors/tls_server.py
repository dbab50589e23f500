"""HTTPS server based on the standard library, because waitress has no TLS.

waitress works on plain non-blocking sockets and can't do a TLS handshake, so a WSGI
application with TLS is served by ``wsgiref`` on sockets of the ``ssl`` module. Each
connection has one request and a thread of its own. Fewer of them may call the
application, which reads a body only after it has checked the token.
"""

from collections.abc import Callable, Iterable
from concurrent.futures import ThreadPoolExecutor
from io import BufferedReader, RawIOBase
from socket import socket
from ssl import PROTOCOL_TLS_SERVER, SSLContext, SSLSocket, TLSVersion
from threading import BoundedSemaphore
from typing import Any
from wsgiref.simple_server import WSGIRequestHandler, WSGIServer

from loguru import logger

from geraniumwell.actors.intake.server import IntakeOptions
from geraniumwell.helpers.intake_metrics import INTAKE_REFUSALS
from geraniumwell.model.intake import IntakeLimits, RefusalReason
from geraniumwell.model.settings import Tls
from geraniumwell.util.clock import monotonic_seconds

# Shorter than the time of a request, because a client needs no token to reach this
# point. The ``ssl`` module applies it to the whole handshake.
HANDSHAKE_SECONDS = 5.0


class RequestReader(RawIOBase):
    """Bytes of one request, which have to arrive in a time and are bounded.

    Parameters
    ----------
    conn : SSLSocket
        Connection to read from.
    limits : IntakeLimits
        Times and size of a request.
    now : float
        Time at which the request begins.
    """

    def __init__(self, conn: SSLSocket, limits: IntakeLimits, now: float) -> None:
        super().__init__()
        self._conn = conn
        self._deadline = now + limits.request_seconds
        self._left = limits.head_bytes
        self._response_seconds = limits.response_seconds

    def allow(self, size: int) -> None:
        """Allow more bytes, once the head is complete."""
        self._left += size

    def readable(self) -> bool:
        """Return that data can be read."""
        return True

    def readinto(self, buffer: Any) -> int:
        """Read what has arrived, or wait until the request is over its time."""
        seconds = self._deadline - monotonic_seconds()
        if seconds <= 0:
            INTAKE_REFUSALS.labels(RefusalReason.REQUEST_TIME.value).inc()
            raise TimeoutError("the request was not complete in time")
        if self._left <= 0:
            INTAKE_REFUSALS.labels(RefusalReason.BODY_SIZE.value).inc()
            raise OSError("the request is too large")
        self._conn.settimeout(seconds)
        try:
            size = self._conn.recv_into(memoryview(buffer)[: self._left])
        finally:
            # The response is sent on the same socket and has its own time.
            self._conn.settimeout(self._response_seconds)
        self._left -= size
        return size


class QuietHandler(WSGIRequestHandler):
    """Handler of one request without an access log."""

    def setup(self) -> None:
        """Bound the time and the size of the request."""
        super().setup()
        limits = self.server.options.limits
        self.connection.settimeout(limits.response_seconds)
        reader = RequestReader(self.connection, limits, monotonic_seconds())
        self.rfile = BufferedReader(reader)

    def parse_request(self) -> bool:
        """Read the head; the body may follow if it is valid."""
        is_valid = super().parse_request()
        self.rfile.raw.allow(self.server.options.limits.body_bytes)
        return is_valid

    def log_message(self, format: str, *args: Any) -> None:
        """Write no access log."""


def make_server_context(tls: Tls) -> SSLContext:
    """Return the TLS context of a server with its certificate."""
    context = SSLContext(PROTOCOL_TLS_SERVER)
    context.minimum_version = TLSVersion.TLSv1_2
    context.load_cert_chain(tls.certificate, tls.private_key)
    return context


class TlsServer(WSGIServer):
    """Serves a WSGI application over TLS with a bounded number of threads.

    Parameters
    ----------
    address : str
        ``ip:port`` on which to listen.
    tls : Tls
        Certificate and key.
    app : callable
        WSGI application.
    options : IntakeOptions
        Limits of requests, and the number of calls of the application at a time.
    """

    # As that of waitress: connections beyond it look open to clients but are not.
    request_queue_size = 1_024

    def __init__(
        self, address: str, tls: Tls, app: Callable[..., Any], options: IntakeOptions
    ) -> None:
        host, _, port = address.rpartition(":")
        self._context = make_server_context(tls)
        self.options = options
        self._app = app
        self._calls = BoundedSemaphore(options.threads)
        places = options.limits.connections
        self._pool = ThreadPoolExecutor(places, "operators-tls")
        self._places = BoundedSemaphore(places)
        super().__init__((host, int(port)), QuietHandler)
        self.set_app(self._call)

    @property
    def effective_port(self) -> int:
        """Port on which the server listens."""
        return self.server_address[1]

    def run(self) -> None:
        """Serve until ``request_drain`` is called."""
        self.serve_forever()

    def request_drain(self) -> None:
        """Stop accepting connections."""
        self.shutdown()
        self.server_close()
        self._pool.shutdown(wait=False, cancel_futures=True)

    def process_request(self, request: Any, client_address: Any) -> None:
        """Serve a connection in a thread of the pool, unless all are in use."""
        if not self._places.acquire(blocking=False):
            INTAKE_REFUSALS.labels(RefusalReason.CONNECTIONS.value).inc()
            request.close()
            return
        future = self._pool.submit(self._serve, request, client_address)
        future.add_done_callback(lambda _: self._places.release())

    def _call(self, environ: dict[str, Any], start_response: Any) -> Iterable[bytes]:
        with self._calls:
            return self._app(environ, start_response)

    def _serve(self, request: socket, client_address: Any) -> None:
        # The handshake blocks on the client, so it must not run in the accept loop.
        try:
            request.settimeout(HANDSHAKE_SECONDS)
            with self._context.wrap_socket(request, server_side=True) as conn:
                QuietHandler(conn, client_address, self)
        except OSError as exc:
            logger.debug("connection of {} ended: {}", client_address, exc)
        finally:
            request.close()
