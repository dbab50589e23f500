"""Steps of the leader claim and the peers of one daemon."""

from queue import SimpleQueue
from threading import Event

from behave import given, then, when
from behave.runner import Context

from geraniumwell.actors.batch.elector import Elector
from geraniumwell.actors.batch.peer_registry import PeerRegistry
from geraniumwell.actors.batch.scheduler_dependencies import SchedulerDependencies
from geraniumwell.actors.batch.store_relay import StoreRelay
from geraniumwell.actors.ticker import Ticker
from geraniumwell.clients.table import (
    Committed,
    RowRange,
    StoredRow,
    StoreRefusedError,
    TableTransaction,
)
from geraniumwell.clients.table_relay import PeerDirectory
from geraniumwell.codec.batch import decode_leader, encode_leader, encode_peer
from geraniumwell.const import LEADER_KEY, TABLE_CONTROL, TABLE_DAEMONS
from geraniumwell.messages.batch import (
    CatalogChanged,
    CountPendingJobs,
    SchedulerEnded,
)
from geraniumwell.model.batch.cluster import BatchPolicy
from geraniumwell.model.batch.leader import LeaderRow
from geraniumwell.model.batch.peer import Peer
from geraniumwell.platform.decode import decode_entry
from geraniumwell.util.clock import boottime_seconds
from tests.actors.batch.scheduler_steps import MemoryConnectionPool
from tests.support.batch import make_test_catalog
from tests.support.processes import find_free_port, wait_until

WAIT_SECONDS = 20.0
FAILING_READS = 1_000


class ScriptedStore:
    """Delays the first read or fails some reads, and records claims."""

    __slots__ = (
        "_delay_seconds",
        "_errors",
        "_renews_on_read",
        "claimed_at",
        "was_released",
        "renewed_at",
        "row",
        "rows",
    )

    def __init__(self, delay_seconds: float = 0.0, errors: int = 0) -> None:
        self._delay_seconds = delay_seconds
        self._errors = errors
        self._renews_on_read = False
        self.row: StoredRow | None = None
        self.rows: tuple[StoredRow, ...] = ()
        self.renewed_at = 0.0
        self.claimed_at: SimpleQueue[float] = SimpleQueue()
        self.was_released = Event()

    def hold(self, holder: str) -> None:
        """Let another daemon hold the claim and renew it during the first read."""
        value = encode_leader(LeaderRow(holder, 4, 7, {}))
        self.row = StoredRow(TABLE_CONTROL, LEADER_KEY, value, 7)
        self._renews_on_read = True

    def fail_reads(self) -> None:
        """Let all further reads raise an unexpected error."""
        self._errors = FAILING_READS

    def read(
        self, table: str, first: str = "", limit: int = 0, part: str = ""
    ) -> RowRange:
        """Return the rows as they are when the delay is over."""
        delay_seconds, self._delay_seconds = self._delay_seconds, 0.0
        Event().wait(delay_seconds)
        if self._errors:
            self._errors -= 1
            raise RuntimeError("injected")
        if self._renews_on_read:
            self._renews_on_read = False
            self.renewed_at = boottime_seconds()
        rows = self.rows
        if table == TABLE_CONTROL:
            rows = (self.row,) if self.row is not None else ()
        return RowRange(rows, 9)

    def commit(self, transaction: TableTransaction) -> Committed:
        """Accept every transaction; record the claims of "a" and any release."""
        for write in transaction.writes:
            if write.key != LEADER_KEY:
                continue
            match decode_leader(write.value).holder:
                case "a":
                    self.claimed_at.put(boottime_seconds())
                case "":
                    self.was_released.set()
        return Committed(10)

    def watch(self, table: str, after: int, seconds: float) -> RowRange:
        """Return no changes."""
        Event().wait(seconds)
        return RowRange((), after)

    def close(self) -> None:
        """Do nothing."""


class UnreachableStore:
    """Refuses all reads and records that it was called."""

    __slots__ = ("was_asked",)

    def __init__(self) -> None:
        self.was_asked = Event()

    def read(
        self, table: str, first: str = "", limit: int = 0, part: str = ""
    ) -> RowRange:
        """Refuse a read."""
        self.was_asked.set()
        raise StoreRefusedError("injected")


@given("a store that answers the first read after {seconds:g} seconds")
def step_slow_store(context: Context, seconds: float) -> None:
    context.store = ScriptedStore(seconds)


@given("a store whose next {count:d} reads raise an unexpected error")
def step_failing_store(context: Context, count: int) -> None:
    context.store = ScriptedStore(errors=count)


@given('"{holder}" holds the claim and renews it during the first read')
def step_hold(context: Context, holder: str) -> None:
    context.store.hold(holder)


def start_relay(context: Context, store: ScriptedStore | UnreachableStore) -> None:
    """Start the relay of another daemon whose VM has two cores."""
    address = f"127.0.0.1:{find_free_port()}"
    relay = StoreRelay(address, lambda: store)
    relay.start()
    context.add_cleanup(relay.close)
    context.directory = PeerDirectory()
    context.directory.addresses = (address,)
    context.directory.cores_by_address = {address: 2.0}


@given("a peer with more CPU that can reach the store")
def step_peer(context: Context) -> None:
    context.store = ScriptedStore()
    start_relay(context, context.store)


@given("a peer with more CPU that cannot reach the store")
def step_cut_off_peer(context: Context) -> None:
    context.store = ScriptedStore()
    context.unreachable_store = UnreachableStore()
    start_relay(context, context.unreachable_store)


@when('"{name}" watches the claim')
def step_watch(context: Context, name: str) -> None:
    watch(context, name, PeerDirectory(), 1.0)


@when('the low-CPU daemon "{name}" watches the claim')
def step_watch_low_cpu(context: Context, name: str) -> None:
    watch(context, name, context.directory, 0.5)


def watch(context: Context, name: str, directory: PeerDirectory, cores: float) -> None:
    """Start the elector of a daemon."""
    ticker = Ticker()
    ticker.start()
    dependencies = SchedulerDependencies(
        BatchPolicy(),
        ticker,
        lambda: context.store,
        lambda epoch, owner: MemoryConnectionPool.start(
            SimpleQueue(), SimpleQueue(), owner
        ),
        "workers",
        decode_entry,
    )
    elector = Elector.start(name, dependencies, directory, cores)
    elector.tell(CatalogChanged(make_test_catalog()))
    context.add_cleanup(elector.stop)
    context.elector = elector


@then("it takes the claim no sooner than {seconds:g} seconds after the renewal")
def step_not_sooner(context: Context, seconds: float) -> None:
    claimed_at = context.store.claimed_at.get(timeout=WAIT_SECONDS)
    age = claimed_at - context.store.renewed_at
    assert age >= seconds, age


@then("it takes the claim")
def step_claims(context: Context) -> None:
    assert context.store.claimed_at.get(timeout=WAIT_SECONDS)


@then("it releases the claim")
def step_releases(context: Context) -> None:
    assert context.store.was_released.wait(WAIT_SECONDS)


@then("it still holds the claim after it has probed the peer")
def step_keeps(context: Context) -> None:
    assert context.unreachable_store.was_asked.wait(WAIT_SECONDS)
    claims = context.store.claimed_at
    while not claims.empty():
        claims.get()
    # A renewal after the answer shows that the claim was not released.
    claims.get(timeout=WAIT_SECONDS)
    claims.get(timeout=WAIT_SECONDS)
    assert not context.store.was_released.is_set()


@then("it has no counts of pending jobs")
def step_no_counts(context: Context) -> None:
    counts = context.elector.ask(CountPendingJobs(), timeout=WAIT_SECONDS)
    assert counts is None, counts


@when('its scheduler ends with {count:d} pending jobs of "{queue}"')
def step_scheduler_ends(context: Context, count: int, queue: str) -> None:
    assert context.store.claimed_at.get(timeout=WAIT_SECONDS)
    context.store.fail_reads()
    context.elector.tell(SchedulerEnded(1, "injected", {queue: count}))


@then('it counts {count:d} pending jobs of "{queue}" until the claim is read again')
def step_last_counts(context: Context, count: int, queue: str) -> None:
    counts = context.elector.ask(CountPendingJobs(), timeout=WAIT_SECONDS)
    assert counts == {queue: count}, counts


@given('a store with the row of daemon "{name}" and one unreadable row')
def step_daemon_rows(context: Context, name: str) -> None:
    context.store = ScriptedStore()
    value = encode_peer(Peer("127.0.0.1:9", 1.0))
    context.store.rows = (
        StoredRow(TABLE_DAEMONS, name, value, 1),
        StoredRow(TABLE_DAEMONS, "other", b"\xff\xfe", 2),
    )


@when("the peer addresses are refreshed")
def step_read_peers(context: Context) -> None:
    context.directory = PeerDirectory()
    ticker = Ticker()
    ticker.start()
    registry = PeerRegistry.start(
        "a", Peer("127.0.0.1:8", 1.0), context.store, context.directory, ticker
    )
    context.add_cleanup(registry.stop)


@then('the address of "{name}" is known')
def step_known(context: Context, name: str) -> None:
    wait_until(
        lambda: context.directory.addresses == ("127.0.0.1:9",), "the peer is known"
    )
