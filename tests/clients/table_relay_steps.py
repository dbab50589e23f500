"""Steps of direct and relayed access to the table store."""

from threading import Event

from behave import given, then, when
from behave.runner import Context

from geraniumwell.actors.batch.store_relay import CONCURRENT_CALLS, StoreRelay
from geraniumwell.clients.table import (
    Committed,
    RowRange,
    StoreOutcomeUnknownError,
    StoreRefusedError,
    TableTransaction,
)
from geraniumwell.clients.table_relay import (
    RELAY_SERVICE,
    FailoverTableClient,
    PeerDirectory,
    RelayTableClient,
    StoreHealth,
)
from geraniumwell.codec.table_relay import METHOD_COMMIT, encode_relayed
from tests.support.grpc_load import fill_server
from tests.support.processes import find_free_port

ERRORS = {"refused": StoreRefusedError, "unknown": StoreOutcomeUnknownError}


class FakeTable:
    """A store client whose commits always have the same outcome."""

    __slots__ = ("outcome",)

    def __init__(self, outcome: str) -> None:
        self.outcome = outcome

    def commit(self, transaction: TableTransaction) -> Committed:
        """Return or raise the outcome."""
        if self.outcome in ERRORS:
            raise ERRORS[self.outcome]("set by the scenario")
        return Committed(1)


class UnresponsiveTable(FakeTable):
    """A store client that does not respond before the scenario ends."""

    __slots__ = ("has_ended",)

    def __init__(self) -> None:
        super().__init__("ok")
        self.has_ended = Event()

    def commit(self, transaction: TableTransaction) -> Committed:
        """Wait for the end of the scenario."""
        self.has_ended.wait()
        return Committed(1)


class SlowTable:
    """A store client whose reads take some time."""

    __slots__ = ("_seconds",)

    def __init__(self, seconds: float) -> None:
        self._seconds = seconds

    def read(
        self, table: str, first: str = "", limit: int = 0, part: str = ""
    ) -> RowRange:
        """Return no rows after the delay."""
        Event().wait(self._seconds)
        return RowRange((), 1)


@given('a store that returns "{direct}" directly and "{relayed}" through a relay')
def step_store(context: Context, direct: str, relayed: str) -> None:
    context.direct, context.relay = FakeTable(direct), FakeTable(relayed)
    context.health = StoreHealth()
    context.notifications = 0

    def count_notification() -> None:
        context.notifications += 1

    context.health.subscribe(count_notification)
    context.client = FailoverTableClient(context.direct, context.relay, context.health)


@when("a transaction is sent to the store")
def step_call(context: Context) -> None:
    try:
        context.client.commit(TableTransaction())
        context.outcome = "ok"
    except StoreRefusedError:
        context.outcome = "refused"
    except StoreOutcomeUnknownError:
        context.outcome = "unknown"


@when('the store returns "{outcome}" directly from now on')
def step_change(context: Context, outcome: str) -> None:
    context.direct.outcome = outcome


@then('the store call returns "{outcome}"')
def step_outcome(context: Context, outcome: str) -> None:
    assert context.outcome == outcome, context.outcome


@then("the store counts as reachable")
def step_reachable(context: Context) -> None:
    assert not context.health.is_unreachable


@then("the store counts as unreachable and {count:d} notification was sent")
def step_unreachable(context: Context, count: int) -> None:
    assert context.health.is_unreachable
    assert context.notifications == count, context.notifications


@given("a peer whose store does not answer and a peer whose store refuses")
def step_peers(context: Context) -> None:
    unresponsive, refusing = UnresponsiveTable(), FakeTable("refused")
    directory = PeerDirectory()
    for store in (unresponsive, refusing):
        address = f"127.0.0.1:{find_free_port()}"
        relay = StoreRelay(address, lambda store=store: store)
        relay.start()
        context.add_cleanup(relay.close)
        directory.addresses = (*directory.addresses, address)
    context.add_cleanup(unresponsive.has_ended.set)
    context.client = RelayTableClient(directory)


@given("a peer that handles as many calls as it accepts")
def step_full_peer(context: Context) -> None:
    store = UnresponsiveTable()
    address = f"127.0.0.1:{find_free_port()}"
    relay = StoreRelay(address, lambda: store)
    relay.start()
    context.add_cleanup(relay.close)
    context.add_cleanup(store.has_ended.set)
    data = encode_relayed(TableTransaction())
    path = f"/{RELAY_SERVICE}/{METHOD_COMMIT}"
    fill_server(context, address, path, data, CONCURRENT_CALLS)
    directory = PeerDirectory()
    directory.addresses = (address,)
    context.client = RelayTableClient(directory)


@given("a peer whose read responses take {seconds:g} seconds")
def step_slow_peer(context: Context, seconds: float) -> None:
    directory = PeerDirectory()
    address = f"127.0.0.1:{find_free_port()}"
    relay = StoreRelay(address, lambda: SlowTable(seconds))
    relay.start()
    context.add_cleanup(relay.close)
    directory.addresses = (address,)
    context.client = RelayTableClient(directory)


@when("a table is read through the peer with at most {count:d} attempts")
def step_relayed_read(context: Context, count: int) -> None:
    context.outcome = ""
    for _ in range(count):
        try:
            context.client.read("t")
        except StoreOutcomeUnknownError:
            continue
        context.outcome = "ok"
        return


@when("a transaction is sent through the peers")
def step_relayed_commit(context: Context) -> None:
    step_call(context)
