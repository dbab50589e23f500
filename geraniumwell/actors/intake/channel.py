"""Connection of a client, which reads only what the budget grants."""

from socket import SHUT_WR
from typing import Any, Final

from waitress.channel import HTTPChannel
from waitress.task import WSGITask
from waitress.utilities import RequestEntityTooLarge, RequestHeaderFieldsTooLarge

from geraniumwell.actors.intake.parser import BoundedParser
from geraniumwell.commands.intake.budget import (
    record_phase,
    record_read,
    record_response,
    reserve,
)
from geraniumwell.model.intake import (
    READ_BYTES,
    BodyAccepted,
    BodyRefused,
    Exhausted,
    Granted,
    Phase,
    RefusalReason,
    RequestHead,
)

# Unsent part of a response that the loop sends while a worker thread still writes.
BUSY_SEND_BYTES: Final = 65_536
ERROR_REASONS: Final = {
    RequestEntityTooLarge: RefusalReason.BODY_SIZE,
    RequestHeaderFieldsTooLarge: RefusalReason.HEAD_SIZE,
}


class IntakeTask(WSGITask):
    """Task of one request, which closes its connection if the server is stopping."""

    def build_response_header(self) -> bytes:
        """Return the head of the response."""
        if self.channel.server.is_stopping:
            self.set_close_on_finish()
        return super().build_response_header()


class IntakeChannel(HTTPChannel):
    """Connection whose memory and times are bounded.

    It reads one request at a time; what follows it waits in ``_rest``, which is at most
    one read. Except for ``service``, its methods run in the thread of the loop.
    """

    task_class = IntakeTask
    parser_class = BoundedParser
    # Bytes of the request that is arriving, with its framing.
    received_bytes = 0
    _rest = b""
    _is_checked = False
    # The response refuses a request that is still arriving. Closing the socket at once
    # would reset the connection and lose the response.
    _lingers = False
    _is_lingering = False

    @property
    def fd(self) -> int:
        """Descriptor of the socket, which is also the connection's id in the budget."""
        return self._fileno

    @property
    def event_rank(self) -> int:
        """Key by which the loop orders events; the lowest come first."""
        return self.received_bytes

    def readable(self) -> bool:
        """Return whether to wait for data."""
        return self._is_lingering or (not self._rest and super().readable())

    def writable(self) -> bool:
        """Return whether to wait until data can be sent."""
        if self.requests and not self.will_close:
            # The worker thread sends what it writes. Waiting for small parts here would
            # wake the loop again and again while the thread is sending.
            return self.total_outbufs_len >= BUSY_SEND_BYTES
        return super().writable()

    def handle_read(self) -> None:
        """Read a part of a request, if the budget grants it."""
        if self._is_lingering:
            self._discard()
            return
        match reserve(self.server.budget, self.fd, READ_BYTES, self.server.now):
            case Exhausted():
                self.refuse(RefusalReason.MEMORY)
                return
            case Granted(evicted):
                self.server.evict(evicted)
        data = self._receive()
        if self.connected and self.fd is not None:
            self._parse(data)

    def handle_write(self) -> None:
        """Send what waits; keep a refused connection until its client has read it."""
        if not (self._lingers and self.close_when_flushed) or self.requests:
            super().handle_write()
            return
        self._flush_exception(self._flush_some)
        if self.connected and not self.total_outbufs_len:
            self._linger()

    def refuse(self, reason: RefusalReason, verdict: BodyRefused | None = None) -> None:
        """Answer a request that has not arrived completely, and end the connection."""
        self.server.count_refusal(reason)
        if self.total_outbufs_len:
            self.handle_close()
            return
        if self.request is not None:
            self.request.close()
            self.request = None
        data = self.server.render_refusal(reason, verdict)
        with self.outbuf_lock:
            self.outbufs[-1].append(data)
            self.total_outbufs_len += len(data)
        self._lingers = self.close_when_flushed = True
        record_phase(self.server.budget, self.fd, Phase.CLOSING, self.server.now)
        self.server.loop.touch(self.fd)
        self.handle_write()

    def settle(self) -> bool:
        """Follow the end of a request in a worker thread; return whether it is over."""
        if self.requests:
            return False
        if self.writable():
            if self.server.is_answering(self.fd):
                self.handle_write()
            if not self.connected or self._is_lingering:
                return True
            if self.total_outbufs_len:
                self._record_response()
                return False
        record_phase(self.server.budget, self.fd, Phase.IDLE, self.server.now)
        rest, self._rest = self._rest, b""
        if rest:
            self._parse(rest)
        elif self.server.is_stopping:
            # The response was sent before the server began to stop.
            self.handle_close()
        # The queue of requests may be empty again already.
        return self.fd is None or not self.server.is_answering(self.fd)

    def add_channel(self, map: dict[int, Any] | None = None) -> None:
        """Add the connection to its server."""
        super().add_channel(map)
        self.server.loop.touch(self._fileno)

    def del_channel(self, map: dict[int, Any] | None = None) -> None:
        """Remove the connection; the last one ends a stopping server."""
        fd = self._fileno
        super().del_channel(map)
        if fd is not None:
            self.server.forget(fd)
        self.server.end_when_idle()

    def _receive(self) -> bytes:
        try:
            return self.recv(READ_BYTES)
        except BlockingIOError:
            return b""
        except OSError:
            self.handle_close()
            return b""

    def _discard(self) -> None:
        self._receive()

    def _parse(self, data: bytes) -> None:
        """Parse data up to the end of one request."""
        size = len(data)
        self.received_bytes += size
        with self.requests_lock:
            if self.will_close or self.close_when_flushed:
                return
            while data and not self.requests:
                if self.request is None:
                    # Some clients send CRLF after a request. It begins no new one.
                    data = data.lstrip(b"\r\n")
                    if not data:
                        self.received_bytes = 0
                        break
                    self.request = self.parser_class(self.adj)
                    self.request.body_limit = self.server.budget.limits.body_bytes
                    self._is_checked = False
                data = data[self.request.received(data) :]
                if self.request.completed:
                    self._complete()
            self._rest = data
            # A worker thread needs this lock to end a request, so what is recorded
            # can't change meanwhile.
            self._record(size)
            if self.requests:
                self.server.add_task(self)
        if self.request is not None and self.request.headers_finished:
            self._check_head()

    def _record(self, size: int) -> None:
        budget, now = self.server.budget, self.server.now
        req = self.requests[0] if self.requests else self.request
        held = len(self._rest) + (0 if req is None else req.held_bytes)
        record_read(budget, self.fd, size, held, now)
        if self.requests:
            record_phase(budget, self.fd, Phase.ANSWERING, now)
            self.server.busy.add(self)
        elif req is None:
            record_phase(budget, self.fd, Phase.IDLE, now)

    def _complete(self) -> None:
        """Queue a complete request; skip empty lines."""
        req, self.request = self.request, None
        self.received_bytes = 0
        self.sent_continue = False
        if req.empty:
            return
        if req.error is not None:
            reason = ERROR_REASONS.get(type(req.error), RefusalReason.MALFORMED)
            self.server.count_refusal(reason)
            self._lingers = True
        self.requests.append(req)

    def _check_head(self) -> None:
        """Ask whether the body may be read, as soon as the head is complete."""
        if self._is_checked:
            return
        self._is_checked = True
        req = self.request
        head = RequestHead(req.command, req.path, req.headers)
        match self.server.check_head(head):
            case BodyRefused() as verdict:
                self.refuse(verdict.reason, verdict)
                return
            case BodyAccepted(size):
                if not req.lower_body_limit(size):
                    self.refuse(RefusalReason.BODY_SIZE)
                    return
        if req.expect_continue:
            self.send_continue()

    def _record_response(self) -> None:
        server = self.server
        record_response(server.budget, self.fd, self.total_outbufs_len, server.now)

    def _linger(self) -> None:
        self.close_when_flushed = False
        try:
            self.socket.shutdown(SHUT_WR)
        except OSError:
            self.handle_close()
            return
        self._is_lingering = True
        self.server.loop.touch(self.fd)
        record_phase(self.server.budget, self.fd, Phase.CLOSING, self.server.now)
