"""Steps of the calls to workers, with scripted workers on real sockets."""

from queue import SimpleQueue
from socket import SHUT_RDWR, socket
from threading import Event, active_count
from typing import Any

from behave import given, then, when
from behave.runner import Context
from pykka import ThreadingActor

from geraniumwell.actors.batch.worker_connection_pool import WorkerConnectionPool
from geraniumwell.clients.task_worker import PollCall, StartCall, WorkerCall
from geraniumwell.clients.timeout_estimator import TimeoutEstimator
from geraniumwell.messages.batch import (
    CallWorker,
    DisconnectWorker,
    PollAnswered,
    PollFailed,
    StartAnswered,
    StartNotSent,
    StartUnanswered,
    StartUnsent,
    StopAnswered,
    StopUnanswered,
)
from geraniumwell.model.batch.cluster import StartTask, StopTask
from geraniumwell.model.batch.job import TaskId
from geraniumwell.model.batch.worker import StartResult
from geraniumwell.platform.workers import PlatformWorkerCodec
from geraniumwell.util.clock import boottime_seconds
from tests.support.processes import find_free_port, wait_until
from tests.support.scripted_worker import (
    Respond,
    ScriptedWorker,
    answer_at_once,
    format_answer,
)

WAIT_SECONDS = 20.0
LEASE_DEADLINE_MS = 9_000
# Less than the shortest time limit of a call.
CHUNK_SECONDS = 0.02
MALFORMED = {
    "status": b"HTTP/1.1 abc\r\n\r\n",
    "length": b"HTTP/1.1 200 OK\r\nContent-Length: many\r\n\r\n{}",
    "body": format_answer(["no", "report"]),
    # Valid JSON that is nested more deeply than the decoder allows.
    "nesting": b"HTTP/1.1 200 OK\r\nContent-Length: 30000\r\n\r\n"
    + b"[" * 15_000
    + b"]" * 15_000,
}


class Owner(ThreadingActor):
    """Records the messages of the connection pool to its owner."""

    use_daemon_thread = True

    def __init__(self, received: SimpleQueue[Any]) -> None:
        super().__init__()
        self._received = received

    def on_receive(self, message: Any) -> None:
        """Record a message."""
        self._received.put(message)


class BlockingCodec(PlatformWorkerCodec):
    """Can block the connection pool while it decodes the response to a stop."""

    __slots__ = ("is_blocked", "seconds")

    def __init__(self) -> None:
        self.seconds = 0.0
        self.is_blocked = Event()

    def decode_stop(self, answer: Any) -> None:
        """Block for the given time, like a paused daemon."""
        if self.seconds:
            self.is_blocked.set()
            Event().wait(self.seconds)
        super().decode_stop(answer)


def start_worker(context: Context, respond: Respond) -> ScriptedWorker:
    """Start a worker; the first one is the scenario's worker."""
    worker = ScriptedWorker(respond)
    worker.start()
    context.add_cleanup(worker.close)
    if "workers" not in context:
        context.workers = []
    context.workers.append(worker)
    context.address = context.workers[0].address
    context.name = "w0"
    return worker


@given("a worker that answers")
@given("a second worker that answers")
def step_answers(context: Context) -> None:
    start_worker(context, answer_at_once)


@given("{count:d} workers that answer")
def step_many_answer(context: Context, count: int) -> None:
    for _ in range(count):
        start_worker(context, answer_at_once)


@given("{count:d} workers that delay their responses to polls")
def step_waiting(context: Context, count: int) -> None:
    context.may_answer = Event()
    context.count = count

    def respond(conn: socket, path: str) -> None:
        if path == "/hold":
            context.may_answer.wait(WAIT_SECONDS)
        answer_at_once(conn, path)

    # One server for all workers, so that its threads can be counted separately.
    start_worker(context, respond)
    context.add_cleanup(context.may_answer.set)


@given("a worker that never answers")
def step_never(context: Context) -> None:
    start_worker(context, lambda conn, path: None)


@given("a worker that sends its responses in chunks")
def step_chunks(context: Context) -> None:
    def respond(conn: socket, path: str) -> None:
        data = format_answer()
        for first in range(0, len(data), 40):
            conn.sendall(data[first : first + 40])
            Event().wait(CHUNK_SECONDS)

    start_worker(context, respond)


@given("a worker that closes the connection in the middle of its response")
def step_broken_off(context: Context) -> None:
    def respond(conn: socket, path: str) -> None:
        conn.sendall(format_answer()[:-5])
        conn.shutdown(SHUT_RDWR)

    start_worker(context, respond)


@given("a worker that answers after {seconds:g} seconds")
def step_later(context: Context, seconds: float) -> None:
    def respond(conn: socket, path: str) -> None:
        Event().wait(seconds)
        answer_at_once(conn, path)

    start_worker(context, respond)


@given("a worker that closes each connection after its response")
def step_closes(context: Context) -> None:
    def respond(conn: socket, path: str) -> None:
        answer_at_once(conn, path)
        Event().wait(CHUNK_SECONDS)
        conn.shutdown(SHUT_RDWR)

    start_worker(context, respond)


@given("a worker whose responses have a malformed {part}")
def step_malformed(context: Context, part: str) -> None:
    start_worker(context, lambda conn, path: conn.sendall(MALFORMED[part]))


@given("an address without a listening worker")
def step_no_listener(context: Context) -> None:
    context.address = f"127.0.0.1:{find_free_port()}"
    context.name = "w0"


@given("a worker entry with {what}")
def step_entry(context: Context, what: str) -> None:
    worker = start_worker(context, answer_at_once)
    match what:
        case "a name as address":
            context.address = "localhost:80"
        case "no port":
            context.address = "127.0.0.1"
        case "a port out of range":
            context.address = "127.0.0.1:70000"
        case "a line break in the id":
            context.address = worker.address
            context.name = "w0\r\nX-Other: 1"


@given("a worker connection pool")
def step_connection_pool(context: Context) -> None:
    start_connection_pool(context, 1_000)


@given("a worker connection pool limited to {count:d} connections")
def step_limited_connection_pool(context: Context, count: int) -> None:
    start_connection_pool(context, count)


@given("a worker connection pool without an effective call timeout")
def step_patient_connection_pool(context: Context) -> None:
    start_connection_pool(context, 1_000, LongTimeoutEstimator())


class LongTimeoutEstimator(TimeoutEstimator):
    """Allows for slow responses while other processes keep the machine busy."""

    __slots__ = ()

    @property
    def timeout_seconds(self) -> float:
        """Time after which a call counts as unanswered."""
        return WAIT_SECONDS


def start_connection_pool(
    context: Context, connection_limit: int, estimator: TimeoutEstimator | None = None
) -> None:
    """Start the connection pool and its owner."""
    context.received = SimpleQueue()
    owner = Owner.start(context.received)
    context.add_cleanup(owner.stop)
    context.codec = BlockingCodec()
    context.connection_pool = WorkerConnectionPool.start(
        context.codec, estimator or TimeoutEstimator(), 1, owner, connection_limit
    )
    context.add_cleanup(context.connection_pool.stop, block=False)


def call(context: Context, order: WorkerCall, seconds: float = 60.0) -> None:
    """Request a call to the scenario's worker with a send deadline in some seconds."""
    send_by = boottime_seconds() + seconds
    context.connection_pool.tell(
        CallWorker(context.name, context.address, order, send_by)
    )


def make_start(number: int = 0) -> StartCall:
    """Return a start of one of the job's tasks."""
    task = TaskId("j", 0, 0, number)
    return StartCall(StartTask("w0", task, 1, "text", ""), LEASE_DEADLINE_MS)


def make_stop() -> StopTask:
    """Return a stop of the job's first task."""
    return StopTask("w0", TaskId("j", 0, 0, 0), 1)


def next_message(context: Context) -> Any:
    """Return the next message to the owner."""
    return context.received.get(timeout=WAIT_SECONDS)


@when("a poll is requested")
def step_poll(context: Context) -> None:
    call(context, PollCall(None, 3, 0))
    context.message = next_message(context)


@when("a poll that extends leases is requested after its send deadline")
def step_late_poll(context: Context) -> None:
    call(context, PollCall(LEASE_DEADLINE_MS, 3, 0), -0.1)
    context.message = next_message(context)


@when("a start is requested after its send deadline")
def step_late_start(context: Context) -> None:
    call(context, make_start(), -0.1)


@when("a stop is requested after its send deadline")
def step_late_stop(context: Context) -> None:
    call(context, make_stop(), -0.1)


@when("a start is requested with a send deadline in {seconds:g} seconds")
def step_start_within(context: Context, seconds: float) -> None:
    # The connection pool is busy with another call while the connection opens.
    context.codec.seconds = 0.5
    other = start_worker(context, answer_at_once)
    stop = CallWorker("other", other.address, make_stop(), boottime_seconds() + 60)
    context.connection_pool.tell(stop)
    assert context.codec.is_blocked.wait(WAIT_SECONDS)
    call(context, make_start(), seconds)
    assert isinstance(next_message(context), StopAnswered)


@when("a start is requested")
def step_start(context: Context) -> None:
    call(context, make_start())


@when("the connection pool is blocked for {seconds:g} seconds")
def step_block(context: Context, seconds: float) -> None:
    context.codec.seconds = seconds
    worker = start_worker(context, answer_at_once)
    stop = CallWorker("other", worker.address, make_stop(), boottime_seconds() + 60)
    context.connection_pool.tell(stop)
    assert isinstance(next_message(context), StopAnswered)


@when(
    "a start is requested behind a stop whose response is read for {seconds:g} seconds"
)
def step_start_behind(context: Context, seconds: float) -> None:
    context.codec.seconds = seconds
    call(context, make_stop())
    call(context, make_start())
    assert isinstance(next_message(context), StopAnswered)


@when("the connection pool is stopped")
def step_stop_connection_pool(context: Context) -> None:
    context.connection_pool.stop(block=False)


@when("all workers are polled and receive an order each")
def step_all(context: Context) -> None:
    server = context.workers[0]
    context.threads = active_count()
    for number in range(context.count):
        context.name = f"w{number}"
        call(context, PollCall(None, 0, 10_000))
        call(context, make_start(number))
    wait_until(lambda: len(server.calls) >= 2 * context.count, "all calls")


@when("the workers answer the polls")
def step_answer_polls(context: Context) -> None:
    context.may_answer.set()


@when("both workers are polled")
def step_both(context: Context) -> None:
    for number, worker in enumerate(context.workers):
        context.name, context.address = f"w{number}", worker.address
        call(context, PollCall(None, 0, 0))


@when("a start is sent, and another one after the worker closed the connection")
def step_two_starts(context: Context) -> None:
    worker = context.workers[0]
    context.results = []
    for number in range(2):
        call(context, make_start(number))
        context.results.append(next_message(context))
        wait_until(lambda: worker.open_count == 0, "the end of the connection")


@when("{count:d} starts and a stop are requested at once")
def step_orders(context: Context, count: int) -> None:
    for number in range(count):
        call(context, make_start(number))
    call(context, make_stop())
    context.results = [next_message(context) for _ in range(count + 1)]


@when("a stop is requested and the worker is removed")
def step_remove_worker(context: Context) -> None:
    call(context, make_stop())
    context.connection_pool.tell(DisconnectWorker(context.name))


@when("the worker moves to another address and is polled")
def step_moved(context: Context) -> None:
    worker = start_worker(context, answer_at_once)
    context.address = worker.address
    call(context, PollCall(None, 3, 0))
    context.message = next_message(context)


@when("the workers are polled one after the other")
def step_one_by_one(context: Context) -> None:
    context.count = len(context.workers)
    context.results = []
    for number, worker in enumerate(context.workers):
        context.name, context.address = f"w{number}", worker.address
        call(context, PollCall(None, 0, 0))
        context.results.append(next_message(context))


@then("the connection to the worker is closed")
def step_closed(context: Context) -> None:
    assert context.workers[0].closed.wait(WAIT_SECONDS)


@then("the connection pool has ended")
def step_ended(context: Context) -> None:
    wait_until(
        lambda: not context.connection_pool.is_alive(), "the connection pool has ended"
    )


@then("the worker receives a poll without a lease extension")
def step_no_extension(context: Context) -> None:
    calls = context.workers[0].calls
    assert calls == [("/hold", {"Fence": 1, "LastSeen": 3})], calls


@then("the worker counts as responsive")
def step_responsive(context: Context) -> None:
    assert isinstance(context.message, PollAnswered), context.message


@then("the worker counts as unresponsive")
def step_unresponsive(context: Context) -> None:
    assert isinstance(context.message, PollFailed), context.message


@then("the worker receives no call")
def step_no_call(context: Context) -> None:
    if "message" not in context:
        context.message = next_message(context)
    assert not context.workers[0].calls


@then("the start is reported as unsent")
def step_unsent(context: Context) -> None:
    if "message" not in context:
        context.message = next_message(context)
    assert context.message == StartUnsent(make_start().order), context.message


@then("the stop is reported as unanswered")
def step_stop_unanswered(context: Context) -> None:
    assert isinstance(context.message, StopUnanswered), context.message


@then("all orders are answered and at most {most:d} threads were added")
def step_orders_answered(context: Context, most: int) -> None:
    for _ in range(context.count):
        message = next_message(context)
        assert isinstance(message, StartAnswered), message
    # The scripted worker has a thread for each of its connections.
    new = active_count() - context.threads - context.workers[0].open_count
    assert new <= most, new


@then("all workers count as responsive")
def step_all_responsive(context: Context) -> None:
    found = context.results if "results" in context else []
    found += [next_message(context) for _ in range(context.count - len(found))]
    assert all(isinstance(message, PollAnswered) for message in found), found
    assert len({message.worker for message in found}) == context.count


@then("the second worker counts as responsive before the first counts as unresponsive")
def step_second_first(context: Context) -> None:
    first, second = next_message(context), next_message(context)
    assert isinstance(first, PollAnswered), first
    assert first.worker == "w1"
    assert isinstance(second, PollFailed), second
    assert second.worker == "w0"


@then("the start is reported as unanswered, since it may have been executed")
def step_start_unanswered(context: Context) -> None:
    message = next_message(context)
    assert isinstance(message, StartUnanswered), message


@then("the start is reported as not sent")
def step_not_sent(context: Context) -> None:
    message = next_message(context)
    assert isinstance(message, StartNotSent), message


@then("the start is reported as executed")
def step_executed(context: Context) -> None:
    message = next_message(context)
    assert isinstance(message, StartAnswered), message
    assert message.answer.result is StartResult.STARTED


@then("both starts are reported as executed")
def step_both_executed(context: Context) -> None:
    for message in context.results:
        assert isinstance(message, StartAnswered), context.results


@then("the worker receives them in this order")
def step_in_order(context: Context) -> None:
    calls = context.workers[0].calls
    tasks = [body["Task"] for path, body in calls if path == "/run-start"]
    assert tasks == [f"j.0.0.{number}" for number in range(20)], tasks
    assert calls[-1][0] == "/run-stop"
    assert isinstance(context.results[-1], StopAnswered)


@then("the stop is reported as executed")
def step_stopped(context: Context) -> None:
    message = next_message(context)
    assert isinstance(message, StopAnswered), message


@then("the worker counts as responsive at the other address")
def step_responsive_there(context: Context) -> None:
    assert isinstance(context.message, PollAnswered), context.message
    assert len(context.workers[1].calls) == 1
    assert context.workers[0].closed.wait(WAIT_SECONDS)


@then("at most {most:d} connections are open")
def step_few_open(context: Context, most: int) -> None:
    wait_until(
        lambda: sum(worker.open_count for worker in context.workers) <= most,
        f"at most {most} open connections",
    )


@then("no start was executed")
def step_none_executed(context: Context) -> None:
    message = next_message(context)
    assert isinstance(message, StartNotSent | StartUnanswered), message
    assert not context.workers[0].calls


@then("the connection pool still works")
def step_works(context: Context) -> None:
    worker = start_worker(context, answer_at_once)
    context.name, context.address = "other", worker.address
    call(context, PollCall(None, 0, 0))
    message = next_message(context)
    assert isinstance(message, PollAnswered), message
