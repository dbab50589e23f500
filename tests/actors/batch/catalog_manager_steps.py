"""Steps of the keeper of the configuration."""

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
# Messages are passed on at once; this only bounds a failing test.
LIMIT_SECONDS = 10.0


class Subscriber(ThreadingActor):
    """Keeps what it is told."""

    use_daemon_thread = True

    def __init__(self, told: SimpleQueue) -> None:
        super().__init__()
        self._told = told

    def on_receive(self, message: Any) -> None:
        """Keep a message."""
        self._told.put(message)


def decode(value: bytes) -> Catalog:
    """Return a configuration with the version in the row."""
    return make_test_catalog(int(value))


def find_evacuated(key: str) -> str | None:
    """Return the data centre that a key names."""
    return key.removeprefix(EVACUATION) if key.startswith(EVACUATION) else None


def make_row(key: str, value: str = "{}", is_deleted: bool = False) -> StoredRow:
    """Return a row of the operator's table."""
    return StoredRow(TABLE, key, value.encode(), 1, is_deleted)


def subscribe(context: Context) -> None:
    """Add a subscriber whose messages the scenario looks at."""
    context.told = SimpleQueue()
    context.subscriber = Subscriber.start(context.told)
    context.add_cleanup(context.subscriber.stop)
    context.keeper.tell(SubscribeCatalog(context.subscriber))


@given("a keeper of the configuration with a subscriber")
def step_keeper(context: Context) -> None:
    context.keeper = CatalogManager.start(CONFIG, decode, find_evacuated)
    context.add_cleanup(context.keeper.stop)
    subscribe(context)
    assert context.told.get(timeout=LIMIT_SECONDS) == EvacuationsChanged(frozenset())


@when(
    'the table is read with the configuration {version:d} and an evacuation of "{dc}"'
)
def step_read(context: Context, version: int, dc: str) -> None:
    # The rows come in the order of their keys.
    rows = (make_row(CONFIG, str(version)), make_row(EVACUATION + dc))
    context.keeper.tell(TableSnapshot(TABLE, rows))


@when("the table is read with the configuration {version:d} alone")
def step_read_alone(context: Context, version: int) -> None:
    context.keeper.tell(TableSnapshot(TABLE, (make_row(CONFIG, str(version)),)))


@when('an evacuation of "{dc}" is added')
def step_added(context: Context, dc: str) -> None:
    context.keeper.tell(TableChanged(TABLE, (make_row(EVACUATION + dc),)))


@when('the evacuation of "{dc}" is taken back')
def step_taken_back(context: Context, dc: str) -> None:
    row = make_row(EVACUATION + dc, "", is_deleted=True)
    context.keeper.tell(TableChanged(TABLE, (row,)))


@when("another subscriber comes")
def step_another(context: Context) -> None:
    subscribe(context)


@then(
    'the subscriber is told of evacuations of "{dc}"'
    " and then of configuration {version:d}"
)
def step_told(context: Context, dc: str, version: int) -> None:
    first = context.told.get(timeout=LIMIT_SECONDS)
    assert first == EvacuationsChanged(frozenset({dc})), first
    second = context.told.get(timeout=LIMIT_SECONDS)
    assert isinstance(second, CatalogChanged), second
    assert second.catalog.version == version, second


@then('the subscriber was last told of evacuations of "{names}"')
@then('the subscriber was last told of evacuations of ""')
def step_last(context: Context, names: str = "") -> None:
    wanted = EvacuationsChanged(frozenset(names.split()))
    found = drain(context)
    evacuations = [item for item in found if isinstance(item, EvacuationsChanged)]
    assert evacuations[-1] == wanted, found


@then("it is told nothing else")
def step_nothing_else(context: Context) -> None:
    assert not drain(context)


def drain(context: Context) -> list[Any]:
    """Return what was told; keeper and subscriber have handled all of it by then."""
    context.keeper.ask(ReadCatalog(), timeout=LIMIT_SECONDS)
    marker = object()
    context.subscriber.ask(marker, timeout=LIMIT_SECONDS)
    found: list[Any] = []
    while (item := context.told.get(timeout=LIMIT_SECONDS)) is not marker:
        found.append(item)
    return found
