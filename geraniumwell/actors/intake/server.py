"""HTTP server whose connections share a budget, and which can stop without aborts."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from errno import EMFILE, ENFILE, ENOBUFS, ENOMEM
from functools import partial
from socket import SO_RCVBUF, SOL_SOCKET
from typing import Any, Final

from waitress.server import TcpWSGIServer
from waitress.wasyncore import dispatcher as SocketDispatcher

from geraniumwell.actors.intake.channel import IntakeChannel
from geraniumwell.actors.intake.loop import IntakeLoop
from geraniumwell.codec.intake import STATUS_BY_REASON, render_refusal
from geraniumwell.commands.intake.budget import (
    add_connection,
    find_expired,
    find_replaceable,
    remove_connection,
)
from geraniumwell.commands.intake.pressure import find_calm, record_refusal
from geraniumwell.helpers.event_log import EVENT_LOG
from geraniumwell.helpers.intake_metrics import (
    INTAKE_CONNECTIONS,
    INTAKE_HELD_BYTES,
    INTAKE_REFUSALS,
)
from geraniumwell.model.intake import (
    BodyAccepted,
    BodyRefused,
    Exhausted,
    Expired,
    Granted,
    HeadVerdict,
    IntakeBudget,
    IntakeLimits,
    Phase,
    Pressure,
    PressureBegan,
    PressureChange,
    PressureEnded,
    RefusalReason,
    RequestHead,
)

# Connections accepted in one turn of the loop.
ACCEPTS_PER_TURN: Final = 32
CHECK_INTERVAL_SECONDS: Final = 0.5
# Time without accepting when neither a descriptor nor memory is left for a connection.
ACCEPT_PAUSE_SECONDS: Final = 0.2
SCARCE: Final = frozenset({EMFILE, ENFILE, ENOBUFS, ENOMEM})
# waitress counts the framing of chunks in its limit of bodies; the parser has its own.
NO_BODY_LIMIT: Final = 1 << 62
RECEIVE_BUFFER_BYTES: Final = 65_536
HeadCheck = Callable[[RequestHead], HeadVerdict]


def make_plain_refusal(reason: RefusalReason, status: int) -> BodyRefused:
    """Return a refusal with an empty JSON object as its body."""
    return BodyRefused(status, reason)


@dataclass(slots=True, frozen=True)
class IntakeOptions:
    """Options of one server.

    Parameters
    ----------
    name : str
        Name of the server in logs and metrics.
    limits : IntakeLimits
        Limits of its connections.
    threads : int
        Number of threads that call the application.
    check_head : callable
        Decides whether the body of a request may be read. It is called in the thread of
        the loop and must not block.
    make_refusal : callable
        Returns the response by which the server itself refuses a request.
    """

    name: str
    limits: IntakeLimits
    threads: int
    check_head: HeadCheck | None = None
    make_refusal: Callable[[RefusalReason, int], BodyRefused] = make_plain_refusal


class IntakeServer(TcpWSGIServer):
    """Waitress server that bounds what clients may take from its process.

    Except for the constructor and the ``request_*`` methods, its methods run in the
    thread of its loop, which owns the budget and all connections.
    """

    channel_class = IntakeChannel
    is_stopping = False

    def __init__(
        self,
        app: Callable[..., Any],
        address: str,
        options: IntakeOptions,
        loop: IntakeLoop | None = None,
        **adjustments: Any,
    ) -> None:
        self.loop = loop or IntakeLoop()
        self.options = options
        self.budget = IntakeBudget(options.limits)
        self.busy: set[IntakeChannel] = set()
        self._pressure = Pressure()
        self._checked_at = self._accepts_from = self.loop.now
        body_bytes = options.limits.body_bytes
        super().__init__(
            app,
            map=self.loop.sockets,
            listen=address,
            threads=options.threads,
            max_request_header_size=options.limits.head_bytes,
            max_request_body_size=NO_BODY_LIMIT,
            # VMs have no disks, so bodies must never overflow into a file.
            inbuf_overflow=body_bytes * 2 + options.limits.head_bytes,
            clear_untrusted_proxy_headers=False,
            ident=None,
            **adjustments,
        )
        # Accepted connections inherit the size, so that what the system buffers for
        # unread requests is bounded too.
        self.socket.setsockopt(SOL_SOCKET, SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        self.loop.call_after_turns(self._finish_turn)

    @property
    def now(self) -> float:
        """Time of the current turn of the loop."""
        return self.loop.now

    @property
    def event_rank(self) -> int:
        """Key by which the loop orders events; the lowest come first.

        At the limit, idle connections whose request has arrived come before new ones,
        which would close them.
        """
        is_full = len(self.active_channels) >= self.budget.limits.connections
        return 1 if is_full else -1

    def run(self) -> None:
        """Serve until the server is stopped and its last connection closed."""
        self.loop.run()

    def request_call(self, function: Callable[[], None]) -> None:
        """Ask the loop to call a function in its thread."""
        self.trigger.pull_trigger(function)

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

    def readable(self) -> bool:
        """Return whether to wait for new connections."""
        return self.accepting and self.now >= self._accepts_from

    def handle_accept(self) -> None:
        """Accept connections, closing others if there are too many."""
        for _ in range(ACCEPTS_PER_TURN):
            try:
                pair = self.accept()
            except OSError as exc:
                if exc.errno in SCARCE:
                    self._make_room()
                return
            if pair is None:
                return
            self._add(*pair)

    def del_channel(self, map: dict[int, Any] | None = None) -> None:
        """Remove the listening socket."""
        if self._fileno is not None:
            self.loop.forget(self._fileno)
        super().del_channel(map)

    def forget(self, fd: int) -> None:
        """Release what a connection holds when it is closed."""
        self.loop.forget(fd)
        remove_connection(self.budget, fd)

    def is_answering(self, fd: int) -> bool:
        """Return whether the end of a connection's request is not yet recorded."""
        return self.budget.connections[fd].phase is Phase.ANSWERING

    def evict(self, fds: Iterable[int]) -> None:
        """Refuse the unfinished requests of connections."""
        for fd in fds:
            channel = self.active_channels[fd]
            _call_guarded(channel, partial(channel.refuse, RefusalReason.MEMORY))

    def check_head(self, head: RequestHead) -> HeadVerdict:
        """Return whether the body of a request may be read."""
        if self.options.check_head is None:
            return BodyAccepted(self.budget.limits.body_bytes)
        return self.options.check_head(head)

    def render_refusal(
        self, reason: RefusalReason, verdict: BodyRefused | None
    ) -> bytes:
        """Return the response of a request that has not run."""
        if verdict is None:
            verdict = self.options.make_refusal(reason, STATUS_BY_REASON[reason])
        return render_refusal(verdict.status, verdict.headers, verdict.body)

    def count_refusal(self, reason: RefusalReason) -> None:
        """Count a refusal; log the first one after a calm time."""
        INTAKE_REFUSALS.labels(reason.value).inc()
        self._log(record_refusal(self._pressure, reason, self.now))

    def _add(self, conn: Any, addr: Any) -> None:
        pending = self.loop.pending
        match add_connection(self.budget, conn.fileno(), self.now, pending):
            case Exhausted():
                self.count_refusal(RefusalReason.CONNECTIONS)
                conn.close()
                return
            case Granted(evicted):
                self._replace(evicted)
        try:
            self.set_socket_options(conn)
        except OSError:
            # The client has closed the connection already.
            remove_connection(self.budget, conn.fileno())
            conn.close()
            return
        self.channel_class(self, conn, addr, self.adj, map=self._map)

    def _replace(self, fds: Iterable[int]) -> None:
        for fd in fds:
            if self.budget.connections[fd].phase is Phase.RECEIVING:
                self.count_refusal(RefusalReason.CONNECTIONS)
            channel = self.active_channels[fd]
            _call_guarded(channel, channel.handle_close)

    def _make_room(self) -> None:
        """Close a connection for the next one, or stop accepting for a moment."""
        fds = find_replaceable(self.budget, self.loop.pending)
        self._replace(fds)
        if not fds:
            self._accepts_from = self.now + ACCEPT_PAUSE_SECONDS

    def _finish_turn(self) -> None:
        for channel in list(self.busy):
            if (
                channel.fd is None
                or _call_guarded(channel, channel.settle) is not False
            ):
                self.busy.discard(channel)
            if channel.fd is not None:
                self.loop.touch(channel.fd)
        is_due = self.now - self._checked_at >= CHECK_INTERVAL_SECONDS
        if not is_due or self.loop.is_late:
            return
        self._checked_at = self.now
        if self._fileno is not None:
            self.loop.touch(self._fileno)
        for expired in find_expired(self.budget, self.now, self.loop.pending):
            channel = self.active_channels[expired.id]
            _call_guarded(channel, partial(self._expire, channel, expired))
        self._log(find_calm(self._pressure, self.now))
        INTAKE_HELD_BYTES.labels(self.options.name).set(self.budget.held)
        INTAKE_CONNECTIONS.labels(self.options.name).set(len(self.active_channels))

    def _expire(self, channel: IntakeChannel, expired: Expired) -> None:
        match expired.reason:
            case None:
                channel.handle_close()
            case RefusalReason.UNREAD_RESPONSE:
                self.count_refusal(RefusalReason.UNREAD_RESPONSE)
                channel.handle_close()
            case reason:
                channel.refuse(reason)

    def _log(self, change: PressureChange | None) -> None:
        name = self.options.name
        match change:
            case PressureBegan(reason):
                EVENT_LOG.write("intake_refusing", server=name, reason=reason.value)
            case PressureEnded(refusals):
                EVENT_LOG.write("intake_calm", server=name, refusals=refusals)

    def _drain(self) -> None:
        self.is_stopping = True
        SocketDispatcher.close(self)
        for channel in list(self.active_channels.values()):
            if not channel.requests and channel.request is None:
                channel.will_close = True
                self.loop.touch(channel.fd)
        self.end_when_idle()

    def _close_partial(self) -> None:
        for channel in list(self.active_channels.values()):
            if not channel.requests:
                channel.will_close = True
                self.loop.touch(channel.fd)


def _call_guarded(channel: IntakeChannel, function: Callable[[], Any]) -> Any:
    """Call a function for a connection; an error closes this connection only.

    Return the function's result, or None if it failed.
    """
    try:
        return function()
    except Exception:
        channel.handle_error()
        return None
