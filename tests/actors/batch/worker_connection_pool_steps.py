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
    DropWorker,
    PollAnswered,
    PollFailed,
    StartAnswered,
    StartNotSent,
    StartPostponed,
    StartUnanswered,
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
PIECE_SECONDS = 0.02
MALFORMED = {
    "status": b"HTTP/1.1 abc\r\n\r\n",
    "length": b"HTTP/1.1 200 OK\r\nContent-Length: many\r\n\r\n{}",
    "body": format_answer(["no", "report"]),
}


class Receiver(ThreadingActor):
    """Keeps what the exchange tells its owner."""

    use_daemon_thread = True

    def __init__(self, told: SimpleQueue[Any]) -> None:
        super().__init__()
        self._told = told

    def on_receive(self, message: Any) -> None:
        """Keep a message."""
        self._told.put(message)


class SlowCodec(PlatformWorkerCodec):
    """Can hold the exchange up while it reads the answer to a stop."""

    __slots__ = ("is_held", "seconds")

    def __init__(self) -> None:
        self.seconds = 0.0
        self.is_held = Event()

    def read_stop(self, answer: Any) -> None:
        """Take the time that a paused daemon would."""
        if self.seconds:
            self.is_held.set()
            Event().wait(self.seconds)
        super().read_stop(answer)


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


@given("{count:d} workers that wait with their answers")
def step_waiting(context: Context, count: int) -> None:
    context.may_answer = Event()
    context.count = count

    def respond(conn: socket, path: str) -> None:
        if path == "/hold":
            context.may_answer.wait(WAIT_SECONDS)
        answer_at_once(conn, path)

    # One server for all of them: its threads are not those of the exchange.
    start_worker(context, respond)
    context.add_cleanup(context.may_answer.set)


@given("a worker that never answers")
def step_never(context: Context) -> None:
    start_worker(context, lambda conn, path: None)


@given("a worker that answers in pieces")
def step_pieces(context: Context) -> None:
    def respond(conn: socket, path: str) -> None:
        data = format_answer()
        for first in range(0, len(data), 40):
            conn.sendall(data[first : first + 40])
            Event().wait(PIECE_SECONDS)

    start_worker(context, respond)


@given("a worker that breaks its answers off")
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


@given("a worker that closes each connection after a while")
def step_closes(context: Context) -> None:
    def respond(conn: socket, path: str) -> None:
        answer_at_once(conn, path)
        Event().wait(PIECE_SECONDS)
        conn.shutdown(SHUT_RDWR)

    start_worker(context, respond)


@given("a worker whose answers have a malformed {part}")
def step_malformed(context: Context, part: str) -> None:
    start_worker(context, lambda conn, path: conn.sendall(MALFORMED[part]))


@given("an address without a worker")
def step_nobody(context: Context) -> None:
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


@given("an exchange of calls to workers")
def step_exchange(context: Context) -> None:
    start_connection_pool(context, 1_000)


@given("an exchange with at most {count:d} connections")
def step_limited_exchange(context: Context, count: int) -> None:
    start_connection_pool(context, count)


@given("an exchange of calls to workers that takes no answer as lost")
def step_patient_exchange(context: Context) -> None:
    start_connection_pool(context, 1_000, PatientTimer())


class PatientTimer(TimeoutEstimator):
    """Waits for answers of a machine that is busy with other processes."""

    __slots__ = ()

    @property
    def timeout_seconds(self) -> float:
        """Time after which an answer is taken as lost."""
        return WAIT_SECONDS


def start_connection_pool(
    context: Context, connection_limit: int, timer: TimeoutEstimator | None = None
) -> None:
    """Start the exchange and its owner."""
    context.told = SimpleQueue()
    owner = Receiver.start(context.told)
    context.add_cleanup(owner.stop)
    context.codec = SlowCodec()
    context.exchange = WorkerConnectionPool.start(
        context.codec, timer or TimeoutEstimator(), 1, owner, connection_limit
    )
    context.add_cleanup(context.exchange.stop, block=False)


def call(context: Context, order: WorkerCall, seconds: float = 60.0) -> None:
    """Ask for a call to the scenario's worker, to be sent within some seconds."""
    send_by = boottime_seconds() + seconds
    context.exchange.tell(CallWorker(context.name, context.address, order, send_by))


def make_start(number: int = 0) -> StartCall:
    """Return a start of one of the job's tasks."""
    task = TaskId("j", 0, 0, number)
    return StartCall(StartTask("w0", task, 1, "text", ""), LEASE_DEADLINE_MS)


def make_stop() -> StopTask:
    """Return a stop of the job's first task."""
    return StopTask("w0", TaskId("j", 0, 0, 0), 1)


def next_message(context: Context) -> Any:
    """Return what the owner is told next."""
    return context.told.get(timeout=WAIT_SECONDS)


@when("a look is to be sent in time")
def step_look(context: Context) -> None:
    call(context, PollCall(None, 3, 0))
    context.message = next_message(context)


@when("a look that extends leases is to be sent by a time that has passed")
def step_late_look(context: Context) -> None:
    call(context, PollCall(LEASE_DEADLINE_MS, 3, 0), -0.1)
    context.message = next_message(context)


@when("a start is to be sent by a time that has passed")
def step_late_start(context: Context) -> None:
    call(context, make_start(), -0.1)


@when("a stop is to be sent by a time that has passed")
def step_late_stop(context: Context) -> None:
    call(context, make_stop(), -0.1)


@when("a start is to be sent within {seconds:g} seconds")
def step_start_within(context: Context, seconds: float) -> None:
    # The exchange is busy with something else while its connection opens.
    context.codec.seconds = 0.5
    other = start_worker(context, answer_at_once)
    stop = CallWorker("other", other.address, make_stop(), boottime_seconds() + 60)
    context.exchange.tell(stop)
    assert context.codec.is_held.wait(WAIT_SECONDS)
    call(context, make_start(), seconds)
    assert isinstance(next_message(context), StopAnswered)


@when("a start is to be sent in time")
def step_start(context: Context) -> None:
    call(context, make_start())


@when("the exchange is held up for {seconds:g} seconds meanwhile")
def step_hold_up(context: Context, seconds: float) -> None:
    context.codec.seconds = seconds
    worker = start_worker(context, answer_at_once)
    stop = CallWorker("other", worker.address, make_stop(), boottime_seconds() + 60)
    context.exchange.tell(stop)
    assert isinstance(next_message(context), StopAnswered)


@when("the exchange is stopped")
def step_stop_exchange(context: Context) -> None:
    context.exchange.stop(block=False)


@when("all workers are looked at and get an order each")
def step_all(context: Context) -> None:
    server = context.workers[0]
    context.threads = active_count()
    for number in range(context.count):
        context.name = f"w{number}"
        call(context, PollCall(None, 0, 10_000))
        call(context, make_start(number))
    wait_until(lambda: len(server.calls) >= 2 * context.count, "all calls")


@when("the workers answer the looks")
def step_answer_looks(context: Context) -> None:
    context.may_answer.set()


@when("both workers are looked at")
def step_both(context: Context) -> None:
    for number, worker in enumerate(context.workers):
        context.name, context.address = f"w{number}", worker.address
        call(context, PollCall(None, 0, 0))


@when("a start is sent, and another one after the connection was closed")
def step_two_starts(context: Context) -> None:
    worker = context.workers[0]
    context.results = []
    for number in range(2):
        call(context, make_start(number))
        context.results.append(next_message(context))
        wait_until(lambda: worker.open_count == 0, "the end of the connection")


@when("{count:d} starts and a stop are to be sent at once")
def step_orders(context: Context, count: int) -> None:
    for number in range(count):
        call(context, make_start(number))
    call(context, make_stop())
    context.results = [next_message(context) for _ in range(count + 1)]


@when("a stop is sent and the worker is dropped")
def step_drop(context: Context) -> None:
    call(context, make_stop())
    context.exchange.tell(DropWorker(context.name))


@when("the worker moves to another address and is looked at")
def step_moved(context: Context) -> None:
    worker = start_worker(context, answer_at_once)
    context.address = worker.address
    call(context, PollCall(None, 3, 0))
    context.message = next_message(context)


@when("the workers are looked at one after the other")
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


@then("the exchange has ended")
def step_ended(context: Context) -> None:
    wait_until(lambda: not context.exchange.is_alive(), "the exchange has ended")


@then("the worker is looked at without an extension")
def step_no_extension(context: Context) -> None:
    calls = context.workers[0].calls
    assert calls == [("/hold", {"Fence": 1, "LastSeen": 3})], calls


@then("the worker counts as heard")
def step_heard(context: Context) -> None:
    assert isinstance(context.message, PollAnswered), context.message


@then("the worker counts as silent")
def step_silent(context: Context) -> None:
    assert isinstance(context.message, PollFailed), context.message


@then("the worker gets no call")
def step_no_call(context: Context) -> None:
    if "message" not in context:
        context.message = next_message(context)
    assert not context.workers[0].calls


@then("the start is handed back to be sent later")
def step_handed_back(context: Context) -> None:
    if "message" not in context:
        context.message = next_message(context)
    assert context.message == StartPostponed(make_start().order), context.message


@then("the stop counts as lost")
def step_stop_lost(context: Context) -> None:
    assert isinstance(context.message, StopUnanswered), context.message


@then("all orders are answered, and at most {most:d} threads are new")
def step_orders_answered(context: Context, most: int) -> None:
    for _ in range(context.count):
        message = next_message(context)
        assert isinstance(message, StartAnswered), message
    # The scripted worker has a thread for each of its connections.
    new = active_count() - context.threads - context.workers[0].open_count
    assert new <= most, new


@then("all workers count as heard")
def step_all_heard(context: Context) -> None:
    found = context.results if "results" in context else []
    found += [next_message(context) for _ in range(context.count - len(found))]
    assert all(isinstance(message, PollAnswered) for message in found), found
    assert len({message.worker for message in found}) == context.count


@then("the second worker counts as heard before the first counts as silent")
def step_second_first(context: Context) -> None:
    first, second = next_message(context), next_message(context)
    assert isinstance(first, PollAnswered), first
    assert first.worker == "w1"
    assert isinstance(second, PollFailed), second
    assert second.worker == "w0"


@then("the start counts as lost, since it may have been carried out")
def step_start_lost(context: Context) -> None:
    message = next_message(context)
    assert isinstance(message, StartUnanswered), message


@then("the start counts as not sent")
def step_not_sent(context: Context) -> None:
    message = next_message(context)
    assert isinstance(message, StartNotSent), message


@then("the start counts as carried out")
def step_carried_out(context: Context) -> None:
    message = next_message(context)
    assert isinstance(message, StartAnswered), message
    assert message.answer.result is StartResult.STARTED


@then("both starts count as carried out")
def step_both_carried_out(context: Context) -> None:
    for message in context.results:
        assert isinstance(message, StartAnswered), context.results


@then("the worker gets them in this order")
def step_in_order(context: Context) -> None:
    calls = context.workers[0].calls
    tasks = [body["Task"] for path, body in calls if path == "/run-start"]
    assert tasks == [f"j.0.0.{number}" for number in range(20)], tasks
    assert calls[-1][0] == "/run-stop"
    assert isinstance(context.results[-1], StopAnswered)


@then("the stop counts as carried out")
def step_stopped(context: Context) -> None:
    message = next_message(context)
    assert isinstance(message, StopAnswered), message


@then("the worker counts as heard at the other address")
def step_heard_there(context: Context) -> None:
    assert isinstance(context.message, PollAnswered), context.message
    assert len(context.workers[1].calls) == 1
    assert context.workers[0].closed.wait(WAIT_SECONDS)


@then("at most {most:d} connections are open")
def step_few_open(context: Context, most: int) -> None:
    wait_until(
        lambda: sum(worker.open_count for worker in context.workers) <= most,
        f"at most {most} open connections",
    )


@then("no start was carried out")
def step_none_carried_out(context: Context) -> None:
    message = next_message(context)
    assert isinstance(message, StartNotSent | StartUnanswered), message
    assert not context.workers[0].calls


@then("the exchange still works")
def step_works(context: Context) -> None:
    worker = start_worker(context, answer_at_once)
    context.name, context.address = "other", worker.address
    call(context, PollCall(None, 0, 0))
    message = next_message(context)
    assert isinstance(message, PollAnswered), message
