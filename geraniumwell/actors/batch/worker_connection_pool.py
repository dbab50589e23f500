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
from geraniumwell.messages.batch import CallWorker, DisconnectWorker
from geraniumwell.messages.sockets import SocketsReady
from geraniumwell.util.clock import boottime_seconds, monotonic_seconds

CONNECT_TIMEOUT_SECONDS = 0.5
# A connection that was used this recently is not checked before its next call.
FRESH_SECONDS = 0.2


class WorkerConnectionPool(SupervisedActor):
    """Makes the calls to workers, one order and one poll of each worker at a time.

    A worker has one connection for orders and one for polls, because a poll may wait
    at the worker until a run ends. One selector waits for all sockets, so the number
    of threads does not depend on the number of workers.

    Parameters
    ----------
    codec : TaskWorkerCodec
        Encodes calls and decodes responses.
    timeout_estimator : TimeoutEstimator
        Estimates the time limit of a call.
    epoch : int
        Epoch that each call carries.
    connection_limit : int
        Number of open connections above which the longest idle ones are closed. Calls
        in flight are never cancelled for it.
    """

    # Logs and metrics know this actor by this name.
    log_name = "WorkerExchange"

    def __init__(
        self,
        codec: TaskWorkerCodec,
        timeout_estimator: TimeoutEstimator,
        epoch: int,
        owner: ActorRef,
        connection_limit: int,
    ) -> None:
        super().__init__(owner)
        self._codec = codec
        self._timeout_estimator = timeout_estimator
        self._epoch = epoch
        self._connection_limit = connection_limit
        # Keyed by worker id and whether the connection is used for polls.
        self._connections: dict[tuple[str, bool], WorkerConnection] = {}
        # Open connections without a call, the longest idle ones first.
        self._idle: dict[WorkerConnection, None] = {}
        self._open_count = 0
        self._deadlines = Deadlines()
        self.actor_inbox.attach(self.actor_ref.tell)

    @staticmethod
    def _create_actor_inbox() -> SocketInbox:
        return SocketInbox()

    def on_stop(self) -> None:
        """Close all connections; workers may still execute calls in flight."""
        for connection in self._connections.values():
            self._disconnect(connection)
        self.actor_inbox.close()

    def on_failure(self, exception_type: Any, exc: Any, traceback: Any) -> None:
        """Notify the owner and close all connections."""
        super().on_failure(exception_type, exc, traceback)
        self.on_stop()

    def on_receive(self, message: Any) -> None:
        """Handle one message."""
        now = monotonic_seconds()
        match message:
            case CallWorker():
                connection = self._find_connection(message)
                connection.calls.append(message)
                self._send_queued(connection)
            case DisconnectWorker(worker):
                for is_poll in (False, True):
                    if (
                        connection := self._connections.get((worker, is_poll))
                    ) is not None:
                        self._close_when_finished(connection)
            case SocketsReady(owners, selected_at):
                for connection, conn in owners:
                    if connection.conn is conn:
                        self._handle_ready(connection, conn, now)
                self._expire(selected_at, now)
        self.actor_inbox.wake_at = self._deadlines.find_next()

    def _find_connection(self, message: CallWorker) -> WorkerConnection:
        key = message.worker, isinstance(message.call, PollCall)
        connection = self._connections.get(key)
        if connection is not None and connection.address != message.address:
            self._close_when_finished(connection)
        if connection is None or connection.is_closing:
            connection = WorkerConnection(message.worker, message.address)
            self._connections[key] = connection
        return connection

    def _close_when_finished(self, connection: WorkerConnection) -> None:
        """Close a connection once its calls have finished."""
        connection.is_closing = True
        self._remove_if_finished(connection)

    def _remove_if_finished(self, connection: WorkerConnection) -> None:
        if (
            not connection.is_closing
            or connection.in_flight is not None
            or connection.calls
        ):
            return
        self._disconnect(connection)
        for is_poll in (False, True):
            if self._connections.get((connection.worker, is_poll)) is connection:
                del self._connections[connection.worker, is_poll]

    def _send_queued(self, connection: WorkerConnection) -> None:
        """Send queued calls while the connection is free."""
        while connection.in_flight is None and connection.calls:
            message = connection.calls.popleft()
            # Not the time of the message being handled: handling it may have been
            # paused, and the call would lose that time from its limit.
            now = monotonic_seconds()
            deadline = now + CONNECT_TIMEOUT_SECONDS
            connection.in_flight = InFlightCall(message.call, message.send_by, deadline)
            self._begin_call(connection, now)
        if connection.in_flight is None and connection.conn is not None:
            self._idle[connection] = None
        self._remove_if_finished(connection)

    def _begin_call(self, connection: WorkerConnection, now: float) -> None:
        """Send a call, or open its connection first."""
        self._idle.pop(connection, None)
        conn = connection.conn
        is_fresh = now < connection.last_answered_at + FRESH_SECONDS
        if conn is not None and not is_fresh and not conn.is_idle():
            self._disconnect(connection)
        if connection.conn is not None:
            self._send(connection, connection.conn)
            return
        try:
            self._connect(connection)
        except HttpConnError as exc:
            self._fail(connection, TaskWorkerUnreachableError(str(exc)))

    def _connect(self, connection: WorkerConnection) -> None:
        while self._open_count >= self._connection_limit and self._idle:
            self._disconnect(next(iter(self._idle)))
        conn = HttpConn(connection.address)
        connection.conn = conn
        self._open_count += 1
        WORKER_CONNECTIONS.set(self._open_count)
        self.actor_inbox.watch(conn.sock, (connection, conn), is_writing=True)
        assert connection.in_flight is not None
        self._deadlines.add(connection, connection.in_flight)

    def _disconnect(self, connection: WorkerConnection) -> None:
        self._idle.pop(connection, None)
        if connection.conn is None:
            return
        self.actor_inbox.unwatch(connection.conn.sock)
        connection.conn.close()
        connection.conn = None
        self._open_count -= 1
        WORKER_CONNECTIONS.set(self._open_count)

    def _send(self, connection: WorkerConnection, conn: HttpConn) -> None:
        """Send the call unless its send deadline has passed."""
        in_flight = connection.in_flight
        assert in_flight is not None
        in_flight.sent_at = boottime_seconds()
        # Checked right before sending: after a pause, another daemon may schedule.
        if in_flight.sent_at >= in_flight.send_by and not self._may_send_late(
            connection, in_flight
        ):
            return
        encoded = self._codec.encode(connection.worker, self._epoch, in_flight.call)
        now = monotonic_seconds()
        in_flight.timer_started_at = now
        in_flight.is_timed = not encoded.wait_seconds
        in_flight.deadline = (
            now + self._timeout_estimator.timeout_seconds + encoded.wait_seconds
        )
        self._deadlines.add(connection, in_flight)
        try:
            conn.send(encoded.req)
        except HttpConnError as exc:
            self._fail(connection, TaskWorkerNoAnswerError(str(exc)))
            return
        if conn.is_writing:
            self.actor_inbox.change(conn.sock, (connection, conn), is_writing=True)

    def _may_send_late(
        self, connection: WorkerConnection, in_flight: InFlightCall
    ) -> bool:
        """Return whether a late call may be sent; report a late order to the owner."""
        match in_flight.call:
            case PollCall(None, _, _):
                return True
            case PollCall(_, acknowledged_end, wait_ms):
                # Only the holder of the claim may extend leases; any daemon may poll.
                LATE_POLLS.inc()
                in_flight.call = PollCall(None, acknowledged_end, wait_ms)
                return True
        connection.in_flight = None
        tell(self._owner, make_late_result(in_flight.call))
        return False

    def _handle_ready(
        self, connection: WorkerConnection, conn: HttpConn, now: float
    ) -> None:
        in_flight = connection.in_flight
        if in_flight is None:
            # No call is in flight, so the worker has closed the connection.
            if not conn.is_idle():
                self._disconnect(connection)
            return
        try:
            if conn.is_writing:
                self._write(connection, conn)
            elif (answer := conn.read()) is not None:
                self._finish(connection, in_flight, answer, now)
        except HttpConnError as exc:
            is_sent = in_flight.sent_at is not None
            kind = TaskWorkerNoAnswerError if is_sent else TaskWorkerUnreachableError
            self._fail(connection, kind(str(exc)))
        self._send_queued(connection)

    def _write(self, connection: WorkerConnection, conn: HttpConn) -> None:
        was_connected = conn.is_connected
        conn.write()
        if conn.is_writing:
            return
        self.actor_inbox.change(conn.sock, (connection, conn), is_writing=False)
        if not was_connected:
            self._send(connection, conn)

    def _finish(
        self,
        connection: WorkerConnection,
        in_flight: InFlightCall,
        answer: HttpAnswer,
        now: float,
    ) -> None:
        """Report a response to the owner and keep the connection for the next call."""
        if in_flight.is_timed:
            self._timeout_estimator.record_answer(now - in_flight.timer_started_at)
        connection.last_answered_at = now
        connection.in_flight = None
        if connection.conn is not None and not connection.conn.is_reusable:
            self._disconnect(connection)
        tell(
            self._owner, make_result(self._codec, connection.worker, in_flight, answer)
        )

    def _fail(self, connection: WorkerConnection, exc: TaskWorkerError) -> None:
        """Fail the call in flight and close its connection."""
        in_flight = connection.in_flight
        assert in_flight is not None
        connection.in_flight = None
        self._disconnect(connection)
        tell(self._owner, make_failure(connection.worker, in_flight.call, exc))

    def _expire(self, selected_at: float, now: float) -> None:
        """Fail the calls that had timed out before the sockets were last polled.

        A response that is unread because this daemon was slow or paused is not lost.
        """
        while (connection := self._deadlines.pop_due(selected_at)) is not None:
            in_flight = connection.in_flight
            if in_flight is None:
                continue
            if in_flight.sent_at is None:
                exc = TaskWorkerUnreachableError("connecting timed out")
            else:
                self._timeout_estimator.record_timeout()
                exc = TaskWorkerNoAnswerError("waiting for the response timed out")
            self._fail(connection, exc)
            self._send_queued(connection)
