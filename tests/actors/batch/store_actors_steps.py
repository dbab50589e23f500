"""Steps of the actors that call the store."""

from queue import SimpleQueue
from threading import Event, Lock

from behave import given, then, when
from behave.runner import Context

from geraniumwell.actors.batch.job_sweeper import JobSweeper
from geraniumwell.actors.batch.scheduler_dependencies import SchedulerDependencies
from geraniumwell.actors.batch.store_probe import StoreProbe
from geraniumwell.actors.batch.table_feed import TableFeed
from geraniumwell.actors.batch.table_loader import TableLoader
from geraniumwell.actors.ticker import Ticker
from geraniumwell.clients.table import (
    Committed,
    RowRange,
    StoreRefusedError,
    TablePartition,
    TableTransaction,
)
from geraniumwell.clients.table_relay import StoreHealth
from geraniumwell.codec.batch import find_job_partition
from geraniumwell.messages.batch import (
    ActorFailed,
    JobsSwept,
    LoadTables,
    SweepJobs,
    TablesLoaded,
    TableSnapshot,
    TableUnavailable,
    WatchTable,
)
from geraniumwell.model.batch.cluster import BatchPolicy
from tests.actors.batch.scheduler_steps import Owner, make_entry
from tests.support.processes import wait_until

WAIT_SECONDS = 20.0


class FailingStore:
    """A store whose calls fail as told.

    Parameters
    ----------
    failures : int
        Readings that fail before the others succeed.
    error : Exception or None
        What each transaction raises.
    """

    __slots__ = ("_error", "_failures", "_lock", "transactions", "watch_failures")

    def __init__(self, failures: int = 0, error: Exception | None = None) -> None:
        self._failures = failures
        self._error = error
        self._lock = Lock()
        self.transactions: list[TableTransaction] = []
        self.watch_failures = 0

    def commit(self, transaction: TableTransaction) -> Committed:
        """Note a transaction, or fail."""
        if self._error is not None:
            raise self._error
        self.transactions.append(transaction)
        return Committed(1)

    def read(
        self, table: str, first: str = "", limit: int = 0, part: str = ""
    ) -> RowRange:
        """Return no rows, or fail."""
        with self._lock:
            self._failures -= 1
            if self._failures >= 0:
                raise StoreRefusedError("as told")
        return RowRange((), 1)

    def watch(self, table: str, after: int, seconds: float) -> RowRange:
        """Fail the first time, and later wait without a change."""
        if self.watch_failures:
            self.watch_failures -= 1
            raise StoreRefusedError("as told")
        Event().wait(seconds)
        return RowRange((), after)

    def close(self) -> None:
        """Do nothing."""


@given("a store whose next {count:d} readings fail")
def step_failing(context: Context, count: int) -> None:
    set_up(context, FailingStore(count))


@given("a store that refuses all transactions")
def step_refusing(context: Context) -> None:
    set_up(context, FailingStore(0, StoreRefusedError("as told")))


@given("a store whose transactions end in an unexpected error")
def step_unexpected(context: Context) -> None:
    set_up(context, FailingStore(0, ValueError("as told")))


def set_up(context: Context, store: FailingStore) -> None:
    """Start an owner and a ticker for a store."""
    context.store = store
    context.told = SimpleQueue()
    context.owner = Owner.start(context.told)
    context.add_cleanup(context.owner.stop)
    context.ticker = Ticker()
    context.ticker.start()
    context.add_cleanup(context.ticker.stop)


@when("{count:d} parts of a table are loaded")
def step_load(context: Context, count: int) -> None:
    parts = SchedulerDependencies(
        BatchPolicy(),
        context.ticker,
        lambda: context.store,
        lambda worker_id, address: None,
        "workers",
        make_entry,
    )
    context.wanted = tuple(TablePartition("jobs", f"p{n}") for n in range(count))
    TableLoader.start(parts, context.owner).tell(LoadTables(context.wanted))


@then("all {count:d} parts are told to the owner in one message")
def step_loaded(context: Context, count: int) -> None:
    message = context.told.get(timeout=WAIT_SECONDS)
    assert isinstance(message, TablesLoaded), message
    assert set(message.ranges) == set(context.wanted), message
    assert len(message.ranges) == count


@when('the old job "{job}" is swept')
def step_sweep(context: Context, job: str) -> None:
    sweeper = JobSweeper.start(context.store, context.owner)
    context.add_cleanup(sweeper.stop, block=False)
    sweeper.tell(SweepJobs((job,)))


@then('the owner is told that the rows of "{job}" are gone')
def step_swept(context: Context, job: str) -> None:
    message = context.told.get(timeout=WAIT_SECONDS)
    assert message == JobsSwept((job,)), message


@then("the owner is told that no rows are gone")
def step_not_swept(context: Context) -> None:
    message = context.told.get(timeout=WAIT_SECONDS)
    assert message == JobsSwept(()), message


@then('the store was asked to remove {count:d} rows in the part of "{job}"')
def step_removed(context: Context, count: int, job: str) -> None:
    (transaction,) = context.store.transactions
    assert len(transaction.removals) == count
    assert transaction.part == find_job_partition(job)


@given("a probe of it")
def step_probe(context: Context) -> None:
    context.health = StoreHealth()
    probe = StoreProbe.start(context.store, context.health, context.ticker)
    context.add_cleanup(probe.stop, block=False)
    # An answer comes only after the probe has begun to watch.
    probe.ask(None, timeout=WAIT_SECONDS)


@when("the store is lost")
def step_lost(context: Context) -> None:
    context.health.record_failure()


@then("the store is found again")
def step_found(context: Context) -> None:
    wait_until(lambda: not context.health.is_unreachable, "the store being found")


@then('the owner is told that the "{name}" has failed')
def step_part_failed(context: Context, name: str) -> None:
    message = context.told.get(timeout=WAIT_SECONDS)
    assert message == ActorFailed(name), message


@given("its next watch fails")
def step_watch_fails(context: Context) -> None:
    context.store.watch_failures = 1


@when("a feed that reads anew follows a table from version {after:d} on")
def step_follow(context: Context, after: int) -> None:
    feed = TableFeed.start(
        context.store, "t", context.owner, context.ticker, 0.1, is_rereading=True
    )
    context.add_cleanup(feed.stop)
    feed.tell(WatchTable(after))


@then("the owner is told that the table is silent, and then of all its rows")
def step_reread(context: Context) -> None:
    first = context.told.get(timeout=WAIT_SECONDS)
    second = context.told.get(timeout=WAIT_SECONDS)
    assert isinstance(first, TableUnavailable), first
    assert isinstance(second, TableSnapshot), second
