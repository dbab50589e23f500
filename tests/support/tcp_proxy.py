"""A TCP proxy that can drop each direction or silence open connections."""

from contextlib import suppress
from socket import (
    AF_INET,
    SHUT_RDWR,
    SO_LINGER,
    SOCK_STREAM,
    SOL_SOCKET,
    create_connection,
    socket,
)
from struct import pack
from threading import Thread

TO_SERVER = "to_server"
TO_CLIENT = "to_client"


class TcpProxy:
    """Forwards connections to one server and can drop their data.

    ``accepted`` counts the connections accepted so far.
    """

    __slots__ = ("_listener", "_target", "_pairs", "_cut", "_silent", "accepted")

    def __init__(self, target: str) -> None:
        self._target = target
        self._pairs: list[tuple[socket, socket]] = []
        self._cut: frozenset[str] = frozenset()
        self._silent: set[socket] = set()
        self.accepted = 0
        self._listener = socket(AF_INET, SOCK_STREAM)
        self._listener.bind(("127.0.0.1", 0))
        self._listener.listen(128)
        Thread(target=self._accept, daemon=True).start()

    @property
    def address(self) -> str:
        """Address, as ``ip:port``, on which the proxy listens."""
        return f"127.0.0.1:{self._listener.getsockname()[1]}"

    def cut(self, *directions: str) -> None:
        """Drop all data in these directions, on open and new connections."""
        self._cut = frozenset(directions)

    def heal(self) -> None:
        """Relay in both directions again; silenced connections stay silent."""
        self._cut = frozenset()

    def silence_open(self) -> None:
        """Drop all further data on the connections that are open now."""
        for pair in self._pairs:
            self._silent.update(pair)

    def reset_open(self) -> None:
        """Close the connections that are open now with a TCP reset."""
        pairs, self._pairs = self._pairs, []
        for sock in (sock for pair in pairs for sock in pair):
            # With a linger time of zero, closing sends a reset.
            with suppress(OSError):
                sock.setsockopt(SOL_SOCKET, SO_LINGER, pack("ii", 1, 0))
                sock.shutdown(SHUT_RDWR)
            sock.close()

    def close(self) -> None:
        """Close the listening socket and all connections."""
        for sock in (self._listener, *(s for pair in self._pairs for s in pair)):
            try:
                sock.shutdown(SHUT_RDWR)
            except OSError:
                pass
            finally:
                sock.close()

    def _accept(self) -> None:
        host, _, port = self._target.rpartition(":")
        while True:
            try:
                client, _ = self._listener.accept()
            except OSError:
                return
            self.accepted += 1
            try:
                server = create_connection((host, int(port)))
            except OSError:
                client.close()
                continue
            self._pairs.append((client, server))
            for source, sink, direction in (
                (client, server, TO_SERVER),
                (server, client, TO_CLIENT),
            ):
                thread = Thread(
                    target=self._forward, args=(source, sink, direction), daemon=True
                )
                thread.start()

    def _forward(self, source: socket, sink: socket, direction: str) -> None:
        try:
            while data := source.recv(65_536):
                if direction not in self._cut and source not in self._silent:
                    sink.sendall(data)
            if source not in self._silent:
                sink.shutdown(SHUT_RDWR)
        except OSError:
            return
