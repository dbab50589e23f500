"""Steps of the scheduler with an in-memory store and in-memory workers."""

from queue import SimpleQueue
from threading import Condition, Event, active_count
from time import monotonic
from typing import Any

from behave import given, then, when
from behave.runner import Context
from prometheus_client import REGISTRY as METRICS
from pykka import ThreadingActor

from geraniumwell.actors.batch.scheduler import Scheduler
from geraniumwell.actors.batch.scheduler_dependencies import SchedulerDependencies
from geraniumwell.actors.ticker import Ticker
from geraniumwell.clients.table import (
    Committed,
    RowRange,
    StoredRow,
    TableTransaction,
)
from geraniumwell.clients.task_worker import PollCall, StartAnswer, StartCall
from geraniumwell.codec.batch import decode_leader, encode_spec, find_job_partition
from geraniumwell.const import (
    INTERFERENCE_KEY,
    PARTITION_SCHEDULE,
    TABLE_CONTROL,
    TABLE_JOBS,
)
from geraniumwell.messages.batch import (
    ActorFailed,
    CallWorker,
    CatalogChanged,
    CountPendingJobs,
    EvacuationsChanged,
    LeaderClaim,
    PollAnswered,
    SchedulerEnded,
    StartAnswered,
    StopAnswered,
)
from geraniumwell.model.batch.cluster import BatchPolicy, StartTask, StopTask
from geraniumwell.model.batch.leader import LeaderRow
from geraniumwell.model.batch.worker import StartResult, WorkerReport
from geraniumwell.platform.decode import decode_entry
from geraniumwell.util.clock import boottime_seconds
from tests.support.batch import make_job, make_step, make_test_catalog
from tests.support.processes import wait_until

REGISTRY = "workers"
WAIT_SECONDS = 20.0
ROUNDS = "geraniumwell_batch_plan_seconds_count"
WAITING = "geraniumwell_batch_jobs_waiting"
UNREADABLE = "geraniumwell_batch_rows_unreadable_total"
ENTRY = (
    b'{"Service":"pool","Address":"127.0.0.1:1","Zone":"dc-1","State":"ready",'
    b'"Capacity":{"Cpu":16000,"MemMb":64000,"Gpu":8},"Labels":["a","r1"]}'
)


class MemoryStore:
    """In-memory store; reads block until they are allowed."""

    __slots__ = ("_changed", "_version", "commits", "may_read", "rows")

    def __init__(self) -> None:
        self._changed = Condition()
        self.rows: list[tuple[str, StoredRow]] = []
        self._version = 1
        self.commits: SimpleQueue[TableTransaction] = SimpleQueue()
        self.may_read = Event()

    def put(self, table: str, part: str, key: str, value: bytes) -> None:
        """Write a row."""
        with self._changed:
            self._version += 1
            self.rows.append((part, StoredRow(table, key, value, self._version)))
            self._changed.notify_all()

    def commit(self, transaction: TableTransaction) -> Committed:
        """Accept every transaction."""
        self.commits.put(transaction)
        with self._changed:
            self._version += 1
            return Committed(self._version)

    def read(
        self, table: str, first: str = "", limit: int = 0, part: str = ""
    ) -> RowRange:
        """Return the rows of a partition once reads are allowed."""
        assert self.may_read.wait(WAIT_SECONDS)
        with self._changed:
            rows = [r for p, r in self.rows if p == part and r.table == table]
            return RowRange(tuple(rows), self._version)

    def watch(self, table: str, after: int, seconds: float) -> RowRange:
        """Return the rows of a table that changed after a version."""

        def find_changed() -> list[StoredRow]:
            return [
                row
                for _, row in self.rows
                if row.table == table and row.version > after
            ]

        with self._changed:
            self._changed.wait_for(find_changed, seconds)
            return RowRange(tuple(find_changed()), self._version)

    def close(self) -> None:
        """Do nothing."""


class MemoryConnectionPool(ThreadingActor):
    """Answers calls at once, like workers that accept every order."""

    use_daemon_thread = True

    def __init__(
        self, started: SimpleQueue[StartTask], polled: SimpleQueue[None], owner: Any
    ) -> None:
        super().__init__()
        self._started = started
        self._polled = polled
        self._owner = owner

    def on_receive(self, message: Any) -> None:
        """Answer a call."""
        match message:
            case CallWorker(worker, _, PollCall() as poll, _):
                self._polled.put(None)
                report = WorkerReport(1000, (), ())
                self._owner.tell(PollAnswered(worker, poll, report, boottime_seconds()))
            case CallWorker(_, _, StartCall(order, _), _):
                self._started.put(order)
                answer = StartAnswer(StartResult.STARTED, 1000)
                self._owner.tell(StartAnswered(order, answer))
            case CallWorker(_, _, StopTask() as order, _):
                self._owner.tell(StopAnswered(order))


class Owner(ThreadingActor):
    """Records the messages of the scheduler to its owner."""

    def __init__(self, received: SimpleQueue[Any]) -> None:
        super().__init__()
        self._received = received

    def on_receive(self, message: Any) -> None:
        """Record a message."""
        self._received.put(message)


@given("a scheduler whose store reads are blocked")
def step_scheduler(context: Context) -> None:
    context.store = MemoryStore()
    context.store.put(REGISTRY, "", "w1", ENTRY)
    context.started = SimpleQueue()
    context.polled = SimpleQueue()
    context.received = SimpleQueue()
    labels = {"kind": "worker"}
    context.unreadable = METRICS.get_sample_value(UNREADABLE, labels) or 0
    ticker = Ticker()
    ticker.start()
    dependencies = SchedulerDependencies(
        BatchPolicy(),
        ticker,
        lambda: context.store,
        lambda epoch, owner: MemoryConnectionPool.start(
            context.started, context.polled, owner
        ),
        REGISTRY,
        decode_entry,
    )
    claim = LeaderClaim(LeaderRow("a/1", 1, 0, {"renders": 3}), 1, boottime_seconds())
    context.owner = Owner.start(context.received)
    context.scheduler = Scheduler.start(
        claim, make_test_catalog(), frozenset(), dependencies, context.owner
    )
    context.add_cleanup(context.owner.stop)
    context.add_cleanup(context.scheduler.stop, block=False)
    context.add_cleanup(context.store.may_read.set)


@when("the configuration changes and the planning timers fire")
def step_configuration_changes(context: Context) -> None:
    begin = monotonic()
    # Longer than the gap between rounds, so that the timer of a request has fired.
    while monotonic() - begin < 0.2:
        context.scheduler.tell(CatalogChanged(make_test_catalog(2)))
        Event().wait(0.05)


@when("the store answers the reads")
def step_store_answers(context: Context) -> None:
    context.store.may_read.set()


@when("a job is submitted to the store")
def step_job(context: Context) -> None:
    spec = make_job("00000000000000a1", make_step(), queue="quotes")
    context.store.put(
        TABLE_JOBS, find_job_partition(spec.id), spec.id, encode_spec(spec)
    )


@when('the scheduler receives the evacuations "{data_centre}"')
@when('the scheduler receives the evacuations ""')
def step_evacuate(context: Context, data_centre: str = "") -> None:
    context.scheduler.tell(EvacuationsChanged(frozenset(data_centre.split())))


@then("the job is still waiting after {count:d} planning rounds")
def step_still_waiting(context: Context, count: int) -> None:
    wait_until(lambda: METRICS.get_sample_value(WAITING) == 1, "the waiting job")
    before = METRICS.get_sample_value(ROUNDS)
    wait_until(lambda: METRICS.get_sample_value(ROUNDS) >= before + count, "rounds")
    assert context.started.empty()


@given("{count:d} workers in the registry")
def step_many_workers(context: Context, count: int) -> None:
    context.threads = active_count()
    for number in range(2, count + 1):
        context.store.put(REGISTRY, "", f"w{number}", ENTRY)


@given("a registry row {depth:d} levels deep")
@when("another registry row {depth:d} levels deep is written")
def step_nested_row(context: Context, depth: int) -> None:
    key = f"of-another-writer-{len(context.store.rows)}"
    context.store.put(REGISTRY, "", key, b"[" * depth)


@given("an unreadable interference row")
def step_interference_row(context: Context) -> None:
    labels = {"kind": "interference"}
    context.unreadable = METRICS.get_sample_value(UNREADABLE, labels) or 0
    context.store.put(TABLE_CONTROL, PARTITION_SCHEDULE, INTERFERENCE_KEY, b"x")


@then("the interference row was counted as unreadable")
def step_interference_unreadable(context: Context) -> None:
    labels = {"kind": "interference"}
    assert METRICS.get_sample_value(UNREADABLE, labels) == context.unreadable + 1


@then("{count:d} registry rows are counted as unreadable")
def step_unreadable(context: Context, count: int) -> None:
    def is_counted() -> bool:
        value = METRICS.get_sample_value(UNREADABLE, {"kind": "worker"})
        return (value or 0) - context.unreadable == count

    wait_until(is_counted, "the count of unreadable rows")


@when("all {count:d} workers have been polled")
def step_polled(context: Context, count: int) -> None:
    wait_until(lambda: context.polled.qsize() >= count, "all polls")


@then("at most {most:d} threads were added")
def step_threads(context: Context, most: int) -> None:
    assert active_count() - context.threads <= most, active_count()


@then('it counts {count:d} pending jobs of "{queue}"')
def step_counts(context: Context, count: int, queue: str) -> None:
    counts = context.scheduler.ask(CountPendingJobs(), timeout=WAIT_SECONDS)
    assert counts.get(queue, 0) == count, counts


@then('its first transaction contains {count:d} pending jobs of "{queue}"')
def step_stores_counts(context: Context, count: int, queue: str) -> None:
    transaction = context.store.commits.get(timeout=WAIT_SECONDS)
    row = decode_leader(transaction.writes[0].value)
    assert row.pending == {queue: count}, row


@when("one of its child actors fails")
def step_actor_failed(context: Context) -> None:
    context.scheduler.tell(ActorFailed("TableFeed"))


@then("the job's task is started on the worker")
def step_started(context: Context) -> None:
    order = context.started.get(timeout=WAIT_SECONDS)
    assert order.id.job == "00000000000000a1", order


@then("its owner is notified that the scheduler ended")
def step_ended(context: Context) -> None:
    message = context.received.get(timeout=WAIT_SECONDS)
    assert isinstance(message, SchedulerEnded), message
