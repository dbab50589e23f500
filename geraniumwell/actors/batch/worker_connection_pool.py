"""Actor that owns the connections to all workers of a scheduler."""

from typing import Any

from pykka import ActorRef

from geraniumwell.actors.batch.call_results import (
    make_failure,
    make_late_result,
    make_result,
)
from geraniumwell.actors.batch.messaging import tell
from geraniumwell.actors.batch.socket_inbox import SocketInbox
from geraniumwell.actors.batch.supervised_actor import SupervisedActor
from geraniumwell.actors.batch.worker_connection import (
    Deadlines,
    InFlightCall,
    WorkerConnection,
)
from geraniumwell.clients.http_conn import HttpAnswer, HttpConn, HttpConnError
from geraniumwell.clients.task_worker import (
    PollCall,
    TaskWorkerCodec,
    TaskWorkerError,
    TaskWorkerNoAnswerError,
    TaskWorkerUnreachableError,
)
from geraniumwell.clients.timeout_estimator import TimeoutEstimator
from geraniumwell.helpers.batch_metrics import LATE_POLLS, WORKER_CONNECTIONS
from geraniumwell.messages.batch import CallWorker, DropWorker
from geraniumwell.messages.sockets import SocketsReady
from geraniumwell.util.clock import boottime_seconds, monotonic_seconds

CONNECT_SECONDS = 0.5
# A connection that has rested for less is used without a look whether it is open.
FRESH_SECONDS = 0.2


class WorkerConnectionPool(SupervisedActor):
    """Carries out calls to workers: orders to a worker one at a time, and its looks.

    A worker has a connection for orders and one for looks, since a look may wait there
    for an end. All sockets are waited for together, so that the number of threads does
    not depend on the number of workers.

    Parameters
    ----------
    codec : TaskWorkerCodec
        Encodes calls and reads answers.
    timer : TimeoutEstimator
        Estimates the time limit of a call.
    epoch : int
        Epoch that each call carries.
    connection_limit : int
        Connections at the same time; beyond it, those that have rested longest are
        closed. Calls on their way are never given up for it.
    """

    # Logs and metrics know this actor by this name.
    log_name = "WorkerExchange"

    def __init__(
        self,
        codec: TaskWorkerCodec,
        timer: TimeoutEstimator,
        epoch: int,
        owner: ActorRef,
        connection_limit: int,
    ) -> None:
        super().__init__(owner)
        self._codec = codec
        self._timer = timer
        self._epoch = epoch
        self._connection_limit = connection_limit
        # By the worker's name and whether it is the connection for looks.
        self._channels: dict[tuple[str, bool], WorkerConnection] = {}
        # Open connections without a call, those that have rested longest first.
        self._idle: dict[WorkerConnection, None] = {}
        self._open_count = 0
        self._deadlines = Deadlines()
        self.actor_inbox.attach(self.actor_ref.tell)

    @staticmethod
    def _create_actor_inbox() -> SocketInbox:
        return SocketInbox()

    def on_stop(self) -> None:
        """Close all connections; calls on their way may still be carried out."""
        for channel in self._channels.values():
            self._disconnect(channel)
        self.actor_inbox.close()

    def on_failure(self, exception_type: Any, value: Any, traceback: Any) -> None:
        """Tell the owner, and leave no connection open."""
        super().on_failure(exception_type, value, traceback)
        self.on_stop()

    def on_receive(self, message: Any) -> None:
        """Handle one message."""
        now = monotonic_seconds()
        match message:
            case CallWorker():
                channel = self._find_channel(message)
                channel.calls.append(message)
                self._advance(channel, now)
            case DropWorker(worker):
                for is_look in (False, True):
                    if (channel := self._channels.get((worker, is_look))) is not None:
                        self._drop(channel)
            case SocketsReady(owners, asked_at):
                for channel, conn in owners:
                    if channel.conn is conn:
                        self._take_ready(channel, conn, now)
                self._expire(asked_at, now)
        self.actor_inbox.wake_at = self._deadlines.find_next()

    def _find_channel(self, message: CallWorker) -> WorkerConnection:
        key = message.worker, isinstance(message.call, PollCall)
        channel = self._channels.get(key)
        if channel is not None and channel.address != message.address:
            self._drop(channel)
        if channel is None or channel.is_dropped:
            channel = WorkerConnection(message.worker, message.address)
            self._channels[key] = channel
        return channel

    def _drop(self, channel: WorkerConnection) -> None:
        """Close a connection once its calls have ended."""
        channel.is_dropped = True
        self._remove_if_over(channel)

    def _remove_if_over(self, channel: WorkerConnection) -> None:
        if not channel.is_dropped or channel.flight is not None or channel.calls:
            return
        self._disconnect(channel)
        for is_look in (False, True):
            if self._channels.get((channel.worker, is_look)) is channel:
                del self._channels[channel.worker, is_look]

    def _advance(self, channel: WorkerConnection, now: float) -> None:
        """Send the calls that wait, as far as the connection is free."""
        while channel.flight is None and channel.calls:
            message = channel.calls.popleft()
            deadline = now + CONNECT_SECONDS
            channel.flight = InFlightCall(message.call, message.send_by, deadline)
            self._begin(channel, now)
        if channel.flight is None and channel.conn is not None:
            self._idle[channel] = None
        self._remove_if_over(channel)

    def _begin(self, channel: WorkerConnection, now: float) -> None:
        """Send a call, or open the connection that it needs first."""
        self._idle.pop(channel, None)
        conn = channel.conn
        is_fresh = now < channel.rested_at + FRESH_SECONDS
        if conn is not None and not is_fresh and not conn.is_idle():
            self._disconnect(channel)
        if channel.conn is not None:
            self._send(channel, channel.conn, now)
            return
        try:
            self._connect(channel)
        except HttpConnError as exc:
            self._fail(channel, TaskWorkerUnreachableError(str(exc)))

    def _connect(self, channel: WorkerConnection) -> None:
        while self._open_count >= self._connection_limit and self._idle:
            self._disconnect(next(iter(self._idle)))
        conn = HttpConn(channel.address)
        channel.conn = conn
        self._open_count += 1
        WORKER_CONNECTIONS.set(self._open_count)
        self.actor_inbox.watch(conn.sock, (channel, conn), is_writing=True)
        assert channel.flight is not None
        self._deadlines.add(channel, channel.flight)

    def _disconnect(self, channel: WorkerConnection) -> None:
        self._idle.pop(channel, None)
        if channel.conn is None:
            return
        self.actor_inbox.forget(channel.conn.sock)
        channel.conn.close()
        channel.conn = None
        self._open_count -= 1
        WORKER_CONNECTIONS.set(self._open_count)

    def _send(self, channel: WorkerConnection, conn: HttpConn, now: float) -> None:
        """Send the call, unless the claim that allows it has run out."""
        flight = channel.flight
        assert flight is not None
        flight.sent_at = boottime_seconds()
        # Checked last before sending: a daemon that was paused may have been replaced.
        if flight.sent_at >= flight.send_by and not self._keep_late(channel, flight):
            return
        encoded = self._codec.encode(channel.worker, self._epoch, flight.call)
        flight.begun_at = now
        flight.is_timed = not encoded.wait_seconds
        flight.deadline = now + self._timer.timeout_seconds + encoded.wait_seconds
        self._deadlines.add(channel, flight)
        try:
            conn.send(encoded.req)
        except HttpConnError as exc:
            self._fail(channel, TaskWorkerNoAnswerError(str(exc)))
            return
        if conn.is_writing:
            self.actor_inbox.change(conn.sock, (channel, conn), is_writing=True)

    def _keep_late(self, channel: WorkerConnection, flight: InFlightCall) -> bool:
        """Tell whether a late call is sent; an order goes back to the owner."""
        match flight.call:
            case PollCall(None, _, _):
                return True
            case PollCall(_, acknowledged_end, wait_ms):
                # Only a holder of the claim extends leases; any daemon may look.
                LATE_POLLS.inc()
                flight.call = PollCall(None, acknowledged_end, wait_ms)
                return True
        channel.flight = None
        tell(self._owner, make_late_result(flight.call))
        return False

    def _take_ready(
        self, channel: WorkerConnection, conn: HttpConn, now: float
    ) -> None:
        flight = channel.flight
        if flight is None:
            # Nothing was asked, so the worker has closed the connection.
            if not conn.is_idle():
                self._disconnect(channel)
            return
        try:
            if conn.is_writing:
                self._write(channel, conn, now)
            elif (answer := conn.read()) is not None:
                self._finish(channel, flight, answer, now)
        except HttpConnError as exc:
            is_sent = flight.sent_at is not None
            kind = TaskWorkerNoAnswerError if is_sent else TaskWorkerUnreachableError
            self._fail(channel, kind(str(exc)))
        self._advance(channel, now)

    def _write(self, channel: WorkerConnection, conn: HttpConn, now: float) -> None:
        was_connected = conn.is_connected
        conn.write()
        if conn.is_writing:
            return
        self.actor_inbox.change(conn.sock, (channel, conn), is_writing=False)
        if not was_connected:
            self._send(channel, conn, now)

    def _finish(
        self,
        channel: WorkerConnection,
        flight: InFlightCall,
        answer: HttpAnswer,
        now: float,
    ) -> None:
        """Tell the owner of an answer, and keep the connection for the next call."""
        if flight.is_timed:
            self._timer.record_answer(now - flight.begun_at)
        channel.rested_at = now
        channel.flight = None
        if channel.conn is not None and not channel.conn.is_reusable:
            self._disconnect(channel)
        tell(self._owner, make_result(self._codec, channel.worker, flight, answer))

    def _fail(self, channel: WorkerConnection, exc: TaskWorkerError) -> None:
        """Give up the call on its way, and its connection."""
        flight = channel.flight
        assert flight is not None
        channel.flight = None
        self._disconnect(channel)
        tell(self._owner, make_failure(channel.worker, flight.call, exc))

    def _expire(self, asked_at: float, now: float) -> None:
        """Give up what was due before the sockets were asked for answers.

        An answer that lies unread because this daemon was slow or paused is not lost.
        """
        while (channel := self._deadlines.pop_due(asked_at)) is not None:
            flight = channel.flight
            if flight is None:
                continue
            if flight.sent_at is None:
                exc = TaskWorkerUnreachableError("no connection in time")
            else:
                self._timer.record_timeout()
                exc = TaskWorkerNoAnswerError("no answer in time")
            self._fail(channel, exc)
            self._advance(channel, now)
