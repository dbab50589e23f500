"""Connections of clients that send incomplete requests and stay open."""

from selectors import EVENT_READ, EVENT_WRITE, DefaultSelector, SelectorKey
from socket import AF_INET, SOCK_STREAM, socket
from time import monotonic

HOST_LINES = b"Host: desk.example\r\nContent-Type: application/json\r\n"
KEY_LINE = b"Api-Key: key-1\r\n"
JOB_LINE = b"POST /desk/00000000000000ff HTTP/1.1\r\n"
# Largest body of the tests' configuration.
BODY_BYTES = 262_144
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
CHUNK_BYTES = 65_536
SMALL_CHUNKS = 40_000
LONG_LINE_BYTES = 200_000
SERVE_TARGETS = {
    "callers": ("/v1/requests/booking", "desk-token"),
    "operators": ("/v1/statements", "operator-token"),
}


def make_serve_request(server: str, kind: str) -> bytes:
    """Return a request to a server of ``serve`` without its last bytes."""
    path, token = SERVE_TARGETS[server]
    head = f"POST {path} HTTP/1.1\r\nHost: x\r\n".encode()
    allowed = head + f"Authorization: Bearer {token}\r\n".encode()
    length = b"Content-Length: %d\r\n\r\n" % BODY_BYTES
    match kind:
        case "no bytes":
            return b""
        case "a whole body":
            return allowed + length + b" " * (BODY_BYTES - 1)
        case "a body without a token":
            return head + length + b" " * (BODY_BYTES - 1)
        case "a long header line":
            return allowed + b"X-Long: " + b"x" * LONG_LINE_BYTES
    raise ValueError(kind)


def make_request(kind: str) -> bytes:
    """Return a request of a kind without its last bytes."""
    head = JOB_LINE + HOST_LINES + KEY_LINE
    length = b"Content-Length: %d\r\n\r\n" % BODY_BYTES
    match kind:
        case "no bytes":
            return b""
        case "a whole body":
            return head + length + b" " * (BODY_BYTES - 1)
        case "chunks of 64 KiB":
            chunk = b"%x\r\n%b\r\n" % (CHUNK_BYTES, b" " * CHUNK_BYTES)
            return head + CHUNKED + chunk * 3 + chunk[:-2]
        case "chunks of one byte":
            return head + CHUNKED + b"1\r\n \r\n" * SMALL_CHUNKS
        case "a long header line":
            return head + b"X-Long: " + b"x" * LONG_LINE_BYTES
        case "a long trailer":
            return head + CHUNKED + b"0\r\nX-Long: " + b"x" * LONG_LINE_BYTES
        case "a body to an unknown path":
            other = b"POST /other/1 HTTP/1.1\r\n" + HOST_LINES + KEY_LINE
            return other + length + b" " * (BODY_BYTES - 1)
        case "a body without a key":
            return JOB_LINE + HOST_LINES + length + b" " * (BODY_BYTES - 1)
    raise ValueError(kind)


class ClientLoad:
    """Connections that send one request each and never end it.

    A connection counts as closed once its server has sent a response or ended it.
    """

    __slots__ = ("_rest", "_selector", "_sockets", "closed")

    def __init__(self, address: str, count: int, data: bytes) -> None:
        host, _, port = address.rpartition(":")
        self._selector = DefaultSelector()
        self._sockets: list[socket] = []
        self._rest: dict[socket, memoryview] = {}
        self.closed = 0
        for _ in range(count):
            sock = socket(AF_INET, SOCK_STREAM)
            sock.setblocking(False)
            sock.connect_ex((host, int(port)))
            self._sockets.append(sock)
            self._rest[sock] = memoryview(data)
            self._selector.register(sock, EVENT_READ | EVENT_WRITE)

    def send(self, seconds: float) -> None:
        """Send until all bytes are sent or refused, or until a time limit."""
        deadline = monotonic() + seconds
        while self._rest and monotonic() < deadline:
            self._handle_events(0.1)

    def drip(self) -> None:
        """Send one more byte on each connection that is open."""
        for key in list(self._selector.get_map().values()):
            self._send(key.fileobj, memoryview(b" "))

    def is_closed(self) -> bool:
        """Return whether the server has refused or closed all connections."""
        self._handle_events(0)
        return self.closed == len(self._sockets)

    def close(self) -> None:
        """Close all connections."""
        for sock in self._sockets:
            sock.close()
        self._selector.close()

    def _handle_events(self, seconds: float) -> None:
        for key, events in self._selector.select(seconds):
            if events & EVENT_READ:
                self._drop(key)
            elif key.fileobj in self._rest:
                self._write(key)

    def _write(self, key: SelectorKey) -> None:
        rest = self._rest[key.fileobj]
        rest = rest[self._send(key.fileobj, rest) :]
        self._rest[key.fileobj] = rest
        if not rest:
            del self._rest[key.fileobj]
            self._selector.modify(key.fileobj, EVENT_READ)

    def _send(self, sock: socket, data: memoryview) -> int:
        try:
            return sock.send(data)
        except OSError:
            # The selector reports the end of the connection.
            return 0

    def _drop(self, key: SelectorKey) -> None:
        """Count a connection on which a response or its end has arrived."""
        self._selector.unregister(key.fileobj)
        self._rest.pop(key.fileobj, None)
        self.closed += 1
