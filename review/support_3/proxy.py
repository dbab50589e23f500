"""TCP proxy whose open connections can go silent while new ones work."""

from contextlib import suppress
from socket import SHUT_WR, create_server, socket
from socket import create_connection as connect
from threading import Event, Thread

READ_BYTES = 65_536


class SilencingProxy:
    """Forwards connections to an address; ``silence`` stops the open ones.

    A silent connection stays open: nothing passes in either direction, and no side
    sees an end or a reset.
    """

    def __init__(self, target: str) -> None:
        host, _, port = target.partition(":")
        self._target = (host, int(port))
        self._server = create_server(("127.0.0.1", 0), backlog=256)
        self._silent = Event()
        self.address = f"127.0.0.1:{self._server.getsockname()[1]}"
        Thread(target=self._accept, daemon=True).start()

    def silence(self) -> None:
        """Make all connections silent that are open now."""
        silent, self._silent = self._silent, Event()
        silent.set()

    def close(self) -> None:
        """Accept no further connections."""
        self._server.close()

    def _accept(self) -> None:
        while True:
            try:
                client, _ = self._server.accept()
            except OSError:
                return
            silent = self._silent
            try:
                server = connect(self._target)
            except OSError:
                client.close()
                continue
            for source, sink in ((client, server), (server, client)):
                args = (source, sink, silent)
                Thread(target=_forward, args=args, daemon=True).start()


def _forward(source: socket, sink: socket, silent: Event) -> None:
    with suppress(OSError):
        while data := source.recv(READ_BYTES):
            if silent.is_set():
                # Both sockets stay open for the life of the process.
                Event().wait()
            sink.sendall(data)
        if silent.is_set():
            Event().wait()
        sink.shutdown(SHUT_WR)
