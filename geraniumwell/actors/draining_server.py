"""HTTP server that can stop without aborting requests in progress."""

from typing import Any

from waitress.channel import HTTPChannel
from waitress.server import TcpWSGIServer
from waitress.task import WSGITask
from waitress.wasyncore import dispatcher as SocketDispatcher


class DrainingTask(WSGITask):
    """Task of one request, which closes its connection if the server is stopping."""

    def build_response_header(self) -> bytes:
        """Return the head of the response."""
        if self.channel.server.is_stopping:
            self.set_close_on_finish()
        return super().build_response_header()


class DrainingChannel(HTTPChannel):
    """Connection that notifies its server when it is closed."""

    task_class = DrainingTask

    def del_channel(self, map: dict[int, Any] | None = None) -> None:
        """Remove the connection; the last one ends a stopping server."""
        super().del_channel(map)
        self.server.end_when_idle()


class DrainingServer(TcpWSGIServer):
    """Waitress server that can stop without aborting requests in progress.

    Except for the ``request_*`` methods, its methods run in the thread of its loop.
    """

    channel_class = DrainingChannel
    is_stopping = False

    def request_drain(self) -> None:
        """Ask the loop to close the listening socket and idle connections."""
        self.trigger.pull_trigger(self._drain)

    def request_end_of_partial(self) -> None:
        """Ask the loop to close connections that have sent only part of a request."""
        self.trigger.pull_trigger(self._close_partial)

    def end_when_idle(self) -> None:
        """End the loop if the server is stopping and has no connections left."""
        if self.is_stopping and not self.active_channels:
            self.trigger.close()

    def _drain(self) -> None:
        self.is_stopping = True
        SocketDispatcher.close(self)
        for channel in list(self.active_channels.values()):
            if not channel.requests and channel.request is None:
                channel.will_close = True
        self.end_when_idle()

    def _close_partial(self) -> None:
        for channel in list(self.active_channels.values()):
            if not channel.requests:
                channel.will_close = True
