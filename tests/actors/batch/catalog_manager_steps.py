"""Steps of the catalog manager."""

from queue import SimpleQueue
from typing import Any

from behave import given, then, when
from behave.runner import Context
from pykka import ThreadingActor

from geraniumwell.actors.batch.catalog_manager import CatalogManager
from geraniumwell.clients.table import StoredRow
from geraniumwell.messages.batch import (
    CatalogChanged,
    EvacuationsChanged,
    ReadCatalog,
    SubscribeCatalog,
    TableChanged,
    TableSnapshot,
)
from geraniumwell.model.batch.catalog import Catalog
from tests.support.batch import make_test_catalog

TABLE = "op"
CONFIG = "config"
EVACUATION = "evacuate/"
# Messages are forwarded at once; this only limits the time of a failing test.
WAIT_SECONDS = 10.0


class Subscriber(ThreadingActor):
    """Records the messages that it receives."""

    use_daemon_thread = True

    def __init__(self, received: SimpleQueue) -> None:
        super().__init__()
        self._received = received

    def on_receive(self, message: Any) -> None:
        """Record a message."""
        self._received.put(message)


def decode(value: bytes) -> Catalog:
    """Return a configuration with the version in the row."""
    return make_test_catalog(int(value))


def find_evacuated(key: str) -> str | None:
    """Return the data centre in the key of an evacuation row."""
    return key.removeprefix(EVACUATION) if key.startswith(EVACUATION) else None


def make_row(key: str, value: str = "{}", is_deleted: bool = False) -> StoredRow:
    """Return a row of the operator's table."""
    return StoredRow(TABLE, key, value.encode(), 1, is_deleted)


def subscribe(context: Context) -> None:
    """Add a subscriber whose messages the scenario checks."""
    context.received = SimpleQueue()
    context.subscriber = Subscriber.start(context.received)
    context.add_cleanup(context.subscriber.stop)
    context.catalog_manager.tell(SubscribeCatalog(context.subscriber))


@given("a catalog manager with a subscriber")
def step_catalog_manager(context: Context) -> None:
    context.catalog_manager = CatalogManager.start(CONFIG, decode, find_evacuated)
    context.add_cleanup(context.catalog_manager.stop)
    subscribe(context)
    assert context.received.get(timeout=WAIT_SECONDS) == EvacuationsChanged(frozenset())


@when('a table snapshot holds configuration {version:d} and an evacuation of "{dc}"')
def step_snapshot(context: Context, version: int, dc: str) -> None:
    # The store returns rows in the order of their keys.
    rows = (make_row(CONFIG, str(version)), make_row(EVACUATION + dc))
    context.catalog_manager.tell(TableSnapshot(TABLE, rows))


@when("a table snapshot holds only configuration {version:d}")
def step_snapshot_alone(context: Context, version: int) -> None:
    context.catalog_manager.tell(
        TableSnapshot(TABLE, (make_row(CONFIG, str(version)),))
    )


@when('an evacuation row for "{dc}" is added')
def step_evacuation_added(context: Context, dc: str) -> None:
    context.catalog_manager.tell(TableChanged(TABLE, (make_row(EVACUATION + dc),)))


@when('the evacuation row for "{dc}" is deleted')
def step_evacuation_deleted(context: Context, dc: str) -> None:
    row = make_row(EVACUATION + dc, "", is_deleted=True)
    context.catalog_manager.tell(TableChanged(TABLE, (row,)))


@when("another subscriber is added")
def step_another_subscriber(context: Context) -> None:
    subscribe(context)


@then(
    'the subscriber receives the evacuations "{dc}" and then configuration {version:d}'
)
def step_received(context: Context, dc: str, version: int) -> None:
    first = context.received.get(timeout=WAIT_SECONDS)
    assert first == EvacuationsChanged(frozenset({dc})), first
    second = context.received.get(timeout=WAIT_SECONDS)
    assert isinstance(second, CatalogChanged), second
    assert second.catalog.version == version, second


@then('the last evacuations sent to the subscriber are "{names}"')
@then('the last evacuations sent to the subscriber are ""')
def step_last_evacuations(context: Context, names: str = "") -> None:
    wanted = EvacuationsChanged(frozenset(names.split()))
    found = list_received(context)
    evacuations = [item for item in found if isinstance(item, EvacuationsChanged)]
    assert evacuations[-1] == wanted, found


@then("the subscriber receives nothing else")
def step_nothing_else(context: Context) -> None:
    assert not list_received(context)


def list_received(context: Context) -> list[Any]:
    """Return the received messages, after both actors have handled all messages."""
    context.catalog_manager.ask(ReadCatalog(), timeout=WAIT_SECONDS)
    marker = object()
    context.subscriber.ask(marker, timeout=WAIT_SECONDS)
    found: list[Any] = []
    while (item := context.received.get(timeout=WAIT_SECONDS)) is not marker:
        found.append(item)
    return found
