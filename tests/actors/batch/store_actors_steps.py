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
    JobRowsRemoved,
    LoadTables,
    RemoveJobRows,
    TablesLoaded,
    TableSnapshot,
    TableUnavailable,
    WatchTable,
)
from geraniumwell.model.batch.cluster import BatchPolicy
from geraniumwell.model.batch.removal import ExpiredJob
from geraniumwell.platform.decode import decode_entry
from tests.actors.batch.scheduler_steps import Owner
from tests.support.processes import wait_until

WAIT_SECONDS = 20.0


class FailingStore:
    """A store with injected failures.

    Parameters
    ----------
    failures : int
        Number of reads that fail before the others succeed.
    error : Exception or None
        Error that each transaction raises, if any.
    """

    __slots__ = ("_error", "_failures", "_lock", "transactions", "watch_failures")

    def __init__(self, failures: int = 0, error: Exception | None = None) -> None:
        self._failures = failures
        self._error = error
        self._lock = Lock()
        self.transactions: list[TableTransaction] = []
        self.watch_failures = 0

    def commit(self, transaction: TableTransaction) -> Committed:
        """Record a transaction, or fail."""
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
                raise StoreRefusedError("injected")
        return RowRange((), 1)

    def watch(self, table: str, after: int, seconds: float) -> RowRange:
        """Fail as often as requested, then wait and return no changes."""
        if self.watch_failures:
            self.watch_failures -= 1
            raise StoreRefusedError("injected")
        Event().wait(seconds)
        return RowRange((), after)

    def close(self) -> None:
        """Do nothing."""


@given("a store whose next {count:d} reads fail")
def step_failing(context: Context, count: int) -> None:
    start_owner(context, FailingStore(count))


@given("a store that refuses all transactions")
def step_refusing(context: Context) -> None:
    start_owner(context, FailingStore(0, StoreRefusedError("injected")))


@given("a store whose transactions raise an unexpected error")
def step_unexpected_error(context: Context) -> None:
    start_owner(context, FailingStore(0, ValueError("injected")))


def start_owner(context: Context, store: FailingStore) -> None:
    """Start an owner and a ticker for a store."""
    context.store = store
    context.received = SimpleQueue()
    context.owner = Owner.start(context.received)
    context.add_cleanup(context.owner.stop)
    context.ticker = Ticker()
    context.ticker.start()
    context.add_cleanup(context.ticker.stop)


@when("{count:d} partitions of a table are loaded")
def step_load(context: Context, count: int) -> None:
    dependencies = SchedulerDependencies(
        BatchPolicy(),
        context.ticker,
        lambda: context.store,
        lambda epoch, owner: None,
        "workers",
        decode_entry,
    )
    context.requested = tuple(TablePartition("jobs", f"p{n}") for n in range(count))
    TableLoader.start(dependencies, context.owner).tell(LoadTables(context.requested))


@then("the owner receives all {count:d} partitions in one message")
def step_loaded(context: Context, count: int) -> None:
    message = context.received.get(timeout=WAIT_SECONDS)
    assert isinstance(message, TablesLoaded), message
    assert set(message.ranges) == set(context.requested), message
    assert len(message.ranges) == count


@when('the rows of the expired job "{job}" and its cancellation are removed')
def step_remove_rows(context: Context, job: str) -> None:
    sweeper = JobSweeper.start(context.store, context.owner)
    context.add_cleanup(sweeper.stop, block=False)
    sweeper.tell(RemoveJobRows((ExpiredJob(job, 7, 8),)))


@then('the owner is notified that the rows of "{job}" were removed')
def step_rows_removed(context: Context, job: str) -> None:
    message = context.received.get(timeout=WAIT_SECONDS)
    assert message == JobRowsRemoved((job,)), message


@then("the owner is notified that no rows were removed")
def step_no_rows_removed(context: Context) -> None:
    message = context.received.get(timeout=WAIT_SECONDS)
    assert message == JobRowsRemoved(()), message


@then('a single transaction removed {count:d} rows in the partition of "{job}"')
def step_single_transaction(context: Context, count: int, job: str) -> None:
    (transaction,) = context.store.transactions
    assert len(transaction.removals) == count
    assert transaction.part == find_job_partition(job)


@given("a probe of the store")
def step_probe(context: Context) -> None:
    context.health = StoreHealth()
    probe = StoreProbe.start(context.store, context.health, context.ticker)
    context.add_cleanup(probe.stop, block=False)
    # A reply comes only after the probe has subscribed to the loss of the store.
    probe.ask(None, timeout=WAIT_SECONDS)


@when("the store becomes unreachable")
def step_unreachable(context: Context) -> None:
    context.health.record_failure()


@then("the store counts as reachable again")
def step_reachable(context: Context) -> None:
    wait_until(lambda: not context.health.is_unreachable, "the store being reachable")


@then('the owner is notified that the "{name}" has failed')
def step_actor_failed(context: Context, name: str) -> None:
    message = context.received.get(timeout=WAIT_SECONDS)
    assert message == ActorFailed(name), message


@given("its next watch call fails")
def step_watch_fails(context: Context) -> None:
    context.store.watch_failures = 1


@when("a feed that rereads after errors watches a table from version {after:d}")
def step_watch_table(context: Context, after: int) -> None:
    feed = TableFeed.start(
        context.store, "t", context.owner, context.ticker, 0.1, rereads_after_error=True
    )
    context.add_cleanup(feed.stop)
    feed.tell(WatchTable(after))


@then(
    "the owner is notified that the table is unavailable and then receives all its rows"
)
def step_unavailable_then_rows(context: Context) -> None:
    first = context.received.get(timeout=WAIT_SECONDS)
    second = context.received.get(timeout=WAIT_SECONDS)
    assert isinstance(first, TableUnavailable), first
    assert isinstance(second, TableSnapshot), second
