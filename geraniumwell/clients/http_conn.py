"""Non-blocking HTTP connection, for an actor that waits for many of them."""

from dataclasses import dataclass
from errno import EINPROGRESS
from os import strerror
from socket import (
    AF_INET,
    IPPROTO_TCP,
    MSG_PEEK,
    SO_ERROR,
    SOCK_STREAM,
    SOL_SOCKET,
    TCP_NODELAY,
    inet_pton,
    socket,
)

from httptools import HttpParserError, HttpResponseParser

from geraniumwell.exceptions import GeraniumwellError

READ_BYTES = 65_536
# Responses of workers list at most 500 ends, so they are much smaller than this.
BODY_LIMIT_BYTES = 8_388_608


class HttpConnError(GeraniumwellError):
    """A connection has failed; its last request may have taken effect."""

    code = "http_conn_failed"


@dataclass(slots=True, frozen=True)
class HttpRequest:
    """A POST request with a body.

    Parameters
    ----------
    headers : tuple of (str, str)
        Headers besides ``Host`` and ``Content-Length``.
    """

    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes


@dataclass(slots=True, frozen=True)
class HttpAnswer:
    """Status and body of a complete response."""

    status: int
    body: bytes


def _connect(address: str) -> socket:
    """Return a socket that is connecting or connected to ``ip:port``."""
    host, _, port = address.rpartition(":")
    # Only IP addresses are accepted, because resolving a name would block.
    inet_pton(AF_INET, host)
    sock = socket(AF_INET, SOCK_STREAM)
    try:
        sock.setblocking(False)
        sock.setsockopt(IPPROTO_TCP, TCP_NODELAY, 1)
        status = sock.connect_ex((host, int(port)))
        if status not in (0, EINPROGRESS):
            raise OSError(status, strerror(status))
    except BaseException:
        sock.close()
        raise
    return sock


class HttpConn:
    """Connection to ``ip:port`` that handles one request at a time.

    The caller waits until `sock` is writable (if `is_writing`) or readable, and then
    calls `write` or `read`. After a response, `is_reusable` is whether the server keeps
    the connection open.

    Raises
    ------
    HttpConnError
        If the connection can't be opened.
    """

    __slots__ = (
        "_address",
        "_body",
        "_has_length",
        "_is_complete",
        "_is_head_read",
        "_send_buffer",
        "_parser",
        "_body_size",
        "is_connected",
        "is_reusable",
        "sock",
    )

    def __init__(self, address: str) -> None:
        self._address = address
        self._send_buffer = b""
        self._parser = HttpResponseParser(self)
        self.is_connected = False
        self.is_reusable = True
        self._reset_response()
        try:
            self.sock = _connect(address)
        except (OSError, ValueError, OverflowError) as exc:
            raise HttpConnError(f"{address}: {exc}") from exc

    @property
    def is_writing(self) -> bool:
        """Whether the next step requires the socket to be writable."""
        return not self.is_connected or bool(self._send_buffer)

    def is_idle(self) -> bool:
        """Return whether the connection is open and has no unexpected data."""
        try:
            self.sock.recv(1, MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    def send(self, req: HttpRequest) -> None:
        """Send a request, as far as the socket accepts it without blocking."""
        if any(not value.isprintable() for _, value in req.headers):
            raise HttpConnError(f"{self._address}: control characters in a header")
        lines = [
            f"POST {req.path} HTTP/1.1",
            f"Host: {self._address}",
            f"Content-Length: {len(req.body)}",
            *(f"{name}: {value}" for name, value in req.headers),
        ]
        self._reset_response()
        self._send_buffer = "\r\n".join(lines).encode() + b"\r\n\r\n" + req.body
        if self.is_connected:
            self.write()

    def write(self) -> None:
        """Complete the connection, and send more of the request."""
        try:
            if not self.is_connected:
                status = self.sock.getsockopt(SOL_SOCKET, SO_ERROR)
                if status:
                    raise HttpConnError(f"{self._address}: {strerror(status)}")
                self.is_connected = True
            if self._send_buffer:
                self._send_buffer = self._send_buffer[
                    self.sock.send(self._send_buffer) :
                ]
        except BlockingIOError:
            return
        except OSError as exc:
            raise HttpConnError(f"{self._address}: {exc}") from exc

    def read(self) -> HttpAnswer | None:
        """Read available data; return the response once it is complete."""
        try:
            data = self.sock.recv(READ_BYTES)
        except BlockingIOError:
            return None
        except OSError as exc:
            raise HttpConnError(f"{self._address}: {exc}") from exc
        if data:
            self._parse(data)
        elif not self._is_head_read or self._has_length:
            raise HttpConnError(f"{self._address}: connection closed by the server")
        else:
            # A response without a length ends when the connection is closed.
            self._is_complete = True
            self.is_reusable = False
        if not self._is_complete:
            return None
        return HttpAnswer(self._parser.get_status_code(), b"".join(self._body))

    def close(self) -> None:
        """Close the connection."""
        self.sock.close()

    def _reset_response(self) -> None:
        self._body: list[bytes] = []
        self._body_size = 0
        self._has_length = False
        self._is_head_read = False
        self._is_complete = False

    def _parse(self, data: bytes) -> None:
        try:
            self._parser.feed_data(data)
        except HttpParserError as exc:
            raise HttpConnError(f"{self._address}: {exc}") from exc
        if self._body_size > BODY_LIMIT_BYTES:
            raise HttpConnError(f"{self._address}: the response is too large")

    def on_header(self, name: bytes, value: bytes) -> None:
        """Check a header for the length of the body; called by the parser."""
        if name.lower() in (b"content-length", b"transfer-encoding"):
            self._has_length = True

    def on_headers_complete(self) -> None:
        """Record the end of the headers; called by the parser."""
        self._is_head_read = True

    def on_body(self, data: bytes) -> None:
        """Append a chunk of the body; called by the parser."""
        self._body.append(data)
        self._body_size += len(data)

    def on_message_complete(self) -> None:
        """Record the end of the response; called by the parser."""
        self._is_complete = True
        self.is_reusable = self._parser.should_keep_alive()
