"""HTTPS server based on the standard library, because waitress has no TLS.

waitress works on plain non-blocking sockets and can't do a TLS handshake, so a WSGI
application with TLS is served by ``wsgiref`` on sockets of the ``ssl`` module.
"""

from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from socket import socket
from ssl import PROTOCOL_TLS_SERVER, SSLContext, TLSVersion
from typing import Any
from wsgiref.simple_server import WSGIRequestHandler, WSGIServer

from loguru import logger

from geraniumwell.model.settings import Tls

# Limits how long a client that sends nothing can occupy a thread.
SOCKET_SECONDS = 30.0
# Shorter, because a client needs no token to reach this point.
HANDSHAKE_SECONDS = 5.0


class QuietHandler(WSGIRequestHandler):
    """Handler without an access log."""

    def log_message(self, format: str, *args: Any) -> None:
        """Write no access log."""


def make_server_context(tls: Tls) -> SSLContext:
    """Return the TLS context of a server with its certificate."""
    context = SSLContext(PROTOCOL_TLS_SERVER)
    context.minimum_version = TLSVersion.TLSv1_2
    context.load_cert_chain(tls.certificate, tls.private_key)
    return context


class TlsServer(WSGIServer):
    """Serves a WSGI application over TLS with a fixed number of threads.

    Parameters
    ----------
    address : str
        ``ip:port`` on which to listen.
    tls : Tls
        Certificate and key.
    app : callable
        WSGI application.
    threads : int
        Number of threads.
    """

    request_queue_size = 64

    def __init__(
        self, address: str, tls: Tls, app: Callable[..., Any], threads: int
    ) -> None:
        host, _, port = address.rpartition(":")
        self._context = make_server_context(tls)
        self._pool = ThreadPoolExecutor(threads, "operators-tls")
        super().__init__((host, int(port)), QuietHandler)
        self.set_app(app)

    @property
    def effective_port(self) -> int:
        """Port on which the server listens."""
        return self.server_address[1]

    def run(self) -> None:
        """Serve until ``close`` is called."""
        self.serve_forever()

    def close(self) -> None:
        """Stop accepting connections."""
        self.shutdown()
        self.server_close()
        self._pool.shutdown(wait=False, cancel_futures=True)

    def process_request(self, request: Any, client_address: Any) -> None:
        """Serve a connection in a thread of the pool."""
        self._pool.submit(self._serve, request, client_address)

    def _serve(self, request: socket, client_address: Any) -> None:
        # The handshake blocks on the client, so it must not run in the accept loop.
        try:
            request.settimeout(HANDSHAKE_SECONDS)
            with self._context.wrap_socket(request, server_side=True) as conn:
                conn.settimeout(SOCKET_SECONDS)
                QuietHandler(conn, client_address, self)
        except OSError as exc:
            logger.debug("connection of {} ended: {}", client_address, exc)
        finally:
            request.close()
