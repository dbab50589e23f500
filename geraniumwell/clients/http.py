"""Connection pools of HTTP clients."""

from urllib3 import HTTPConnectionPool, HTTPResponse, Retry, Timeout
from urllib3.connection import HTTPConnection

from geraniumwell.util.clock import monotonic_seconds

# Before each reuse of a connection urllib3 polls the socket to detect whether the
# server has closed it. On a small VM with many connections that takes longer than the
# rest of a call. It is skipped for this time after a response, because a server that
# has just responded keeps the connection open.
FRESH_SECONDS = 0.2


class FreshConnection(HTTPConnection):
    """Connection that is assumed to be open for a short time after a response."""

    _answered_at: float | None = None

    @property
    def is_connected(self) -> bool:
        """Whether the connection can be reused."""
        answered_at = self._answered_at
        is_fresh = (
            answered_at is not None
            and monotonic_seconds() - answered_at < FRESH_SECONDS
        )
        if self.sock is not None and is_fresh:
            return True
        return super().is_connected

    def getresponse(self) -> HTTPResponse:
        """Return the response to the last request."""
        resp = super().getresponse()
        self._answered_at = monotonic_seconds()
        return resp

    def close(self) -> None:
        """Close the connection; a new one has had no response yet."""
        self._answered_at = None
        super().close()


class FreshConnectionPool(HTTPConnectionPool):
    """Pool of connections that are not polled shortly after a response."""

    ConnectionCls = FreshConnection


def make_pool(
    address: str, connect_seconds: float, read_seconds: float
) -> HTTPConnectionPool:
    """Return a pool with a single connection and without retries.

    Parameters
    ----------
    address : str
        ``ip:port`` of the server.
    connect_seconds, read_seconds : float
        Default timeouts of one call.
    """
    host, _, port = address.rpartition(":")
    return FreshConnectionPool(
        host,
        int(port),
        maxsize=1,
        block=True,
        timeout=Timeout(connect=connect_seconds, read=read_seconds),
        # An automatic retry could run a non-idempotent request twice.
        retries=Retry(total=False, redirect=False),
    )
