"""Steps of the scheduler with a store and a worker in memory."""

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
from geraniumwell.codec.batch import encode_spec, find_job_partition
from geraniumwell.const import TABLE_JOBS
from geraniumwell.messages.batch import (
    ActorFailed,
    CallWorker,
    CatalogChanged,
    EvacuationsChanged,
    LeaderClaim,
    PollAnswered,
    SchedulerEnded,
    StartAnswered,
    StopAnswered,
)
from geraniumwell.model.batch.cluster import BatchPolicy, StartTask, StopTask
from geraniumwell.model.batch.leader import LeaderRow
from geraniumwell.model.batch.worker import StartResult, WorkerEntry, WorkerReport
from geraniumwell.util.clock import boottime_seconds
from tests.support.batch import CAPACITY, make_job, make_step, make_test_catalog
from tests.support.processes import wait_until

REGISTRY = "workers"
WAIT_SECONDS = 20.0
ROUNDS = "geraniumwell_batch_plan_seconds_count"
WAITING = "geraniumwell_batch_jobs_waiting"


class MemoryStore:
    """Rows in memory; readings wait until they are let through."""

    __slots__ = ("_changed", "_rows", "_version", "is_open")

    def __init__(self) -> None:
        self._changed = Condition()
        self._rows: list[tuple[str, StoredRow]] = []
        self._version = 1
        self.is_open = Event()

    def put(self, table: str, part: str, key: str, value: bytes) -> None:
        """Write a row."""
        with self._changed:
            self._version += 1
            self._rows.append((part, StoredRow(table, key, value, self._version)))
            self._changed.notify_all()

    def commit(self, transaction: TableTransaction) -> Committed:
        """Take every transaction as carried out."""
        with self._changed:
            self._version += 1
            return Committed(self._version)

    def read(
        self, table: str, first: str = "", limit: int = 0, part: str = ""
    ) -> RowRange:
        """Return the rows of a part, once readings are let through."""
        assert self.is_open.wait(WAIT_SECONDS)
        with self._changed:
            rows = [r for p, r in self._rows if p == part and r.table == table]
            return RowRange(tuple(rows), self._version)

    def watch(self, table: str, after: int, seconds: float) -> RowRange:
        """Return the rows of a table after a version."""

        def find() -> list[StoredRow]:
            return [
                row
                for _, row in self._rows
                if row.table == table and row.version > after
            ]

        with self._changed:
            self._changed.wait_for(find, seconds)
            return RowRange(tuple(find()), self._version)

    def close(self) -> None:
        """Do nothing."""


class MemoryExchange(ThreadingActor):
    """Answers calls at once, as workers would that start what they are told."""

    use_daemon_thread = True

    def __init__(
        self, started: SimpleQueue[StartTask], looked: SimpleQueue[None], owner: Any
    ) -> None:
        super().__init__()
        self._started = started
        self._looked = looked
        self._owner = owner

    def on_receive(self, message: Any) -> None:
        """Answer a call."""
        match message:
            case CallWorker(worker, _, PollCall() as look, _):
                self._looked.put(None)
                report = WorkerReport(1000, (), ())
                self._owner.tell(PollAnswered(worker, look, report, boottime_seconds()))
            case CallWorker(_, _, StartCall(order, _), _):
                self._started.put(order)
                answer = StartAnswer(StartResult.STARTED, 1000)
                self._owner.tell(StartAnswered(order, answer))
            case CallWorker(_, _, StopTask() as order, _):
                self._owner.tell(StopAnswered(order))


class Owner(ThreadingActor):
    """Keeps what the scheduler tells its owner."""

    def __init__(self, told: SimpleQueue[Any]) -> None:
        super().__init__()
        self._told = told

    def on_receive(self, message: Any) -> None:
        """Keep a message."""
        self._told.put(message)


@given("a scheduler whose readings of the store are held back")
def step_scheduler(context: Context) -> None:
    context.store = MemoryStore()
    context.store.put(REGISTRY, "", "w1", b"w1")
    context.started = SimpleQueue()
    context.looked = SimpleQueue()
    context.told = SimpleQueue()
    ticker = Ticker()
    ticker.start()
    parts = SchedulerDependencies(
        BatchPolicy(),
        ticker,
        lambda: context.store,
        lambda epoch, owner: MemoryExchange.start(
            context.started, context.looked, owner
        ),
        REGISTRY,
        make_entry,
    )
    claim = LeaderClaim(LeaderRow("a/1", 1, 0, {}), 1, boottime_seconds())
    context.owner = Owner.start(context.told)
    context.scheduler = Scheduler.start(
        claim, make_test_catalog(), frozenset(), parts, context.owner
    )
    context.add_cleanup(context.owner.stop)
    context.add_cleanup(context.scheduler.stop, block=False)
    context.add_cleanup(context.store.is_open.set)


def make_entry(worker_id: str, value: bytes) -> WorkerEntry:
    """Return the entry of a worker whatever its row holds."""
    capacity = CAPACITY.copy()
    return WorkerEntry(
        worker_id, "pool", "w1:1", "dc-1", capacity, frozenset(), "r1", False
    )


@when("the configuration changes and its timers fire")
def step_change(context: Context) -> None:
    begin = monotonic()
    # More than the gap between rounds, so that a timer of a request has fired.
    while monotonic() - begin < 0.2:
        context.scheduler.tell(CatalogChanged(make_test_catalog(2)))
        Event().wait(0.05)


@when("the store answers the readings")
def step_open(context: Context) -> None:
    context.store.is_open.set()


@when("a job is handed in")
def step_job(context: Context) -> None:
    spec = make_job("00000000000000a1", make_step(), queue="quotes")
    context.store.put(
        TABLE_JOBS, find_job_partition(spec.id), spec.id, encode_spec(spec)
    )


@when('the scheduler is told to evacuate "{data_centre}"')
@when('the scheduler is told to evacuate ""')
def step_evacuate(context: Context, data_centre: str = "") -> None:
    context.scheduler.tell(EvacuationsChanged(frozenset(data_centre.split())))


@then("the job waits through {count:d} rounds of planning")
def step_waits(context: Context, count: int) -> None:
    wait_until(lambda: METRICS.get_sample_value(WAITING) == 1, "the waiting job")
    before = METRICS.get_sample_value(ROUNDS)
    wait_until(lambda: METRICS.get_sample_value(ROUNDS) >= before + count, "rounds")
    assert context.started.empty()


@given("{count:d} workers in the registry")
def step_many(context: Context, count: int) -> None:
    context.threads = active_count()
    for number in range(2, count + 1):
        context.store.put(REGISTRY, "", f"w{number}", b"")


@when("all {count:d} workers have been looked at")
def step_looked(context: Context, count: int) -> None:
    wait_until(lambda: context.looked.qsize() >= count, "all looks")


@then("at most {most:d} threads are new")
def step_threads(context: Context, most: int) -> None:
    assert active_count() - context.threads <= most, active_count()


@when("one of its parts fails")
def step_fail(context: Context) -> None:
    context.scheduler.tell(ActorFailed("TableFeed"))


@then("the job's task is started on the worker")
def step_started(context: Context) -> None:
    order = context.started.get(timeout=WAIT_SECONDS)
    assert order.id.job == "00000000000000a1", order


@then("its owner is told that it has ended")
def step_ended(context: Context) -> None:
    message = context.told.get(timeout=WAIT_SECONDS)
    assert isinstance(message, SchedulerEnded), message
