"""Actor that keeps the configuration and the evacuations in force on this daemon."""

from collections.abc import Callable
from typing import Any

from pykka import ActorRef

from geraniumwell.actors.batch.messaging import tell
from geraniumwell.actors.batch.resilient_actor import ResilientActor
from geraniumwell.clients.table import StoredRow
from geraniumwell.codec.json import CodecError
from geraniumwell.helpers.batch_metrics import EVACUATED_DATA_CENTRES
from geraniumwell.helpers.event_log import EVENT_LOG
from geraniumwell.messages.batch import (
    CatalogChanged,
    EvacuationsChanged,
    ReadBatchReadiness,
    ReadCatalog,
    SubscribeCatalog,
    TableChanged,
    TableSnapshot,
    TableUnavailable,
)
from geraniumwell.model.batch.catalog import Catalog
from geraniumwell.util.clock import boottime_seconds

# A daemon that has not heard the store for this long can't take jobs.
READY_CONTACT_SECONDS = 3.0


class CatalogManager(ResilientActor):
    """Moves to each higher version of the configuration, never to a lower one.

    Parameters
    ----------
    key : str
        Key of the configuration in its table.
    decode : callable
        Returns the configuration in the bytes of the row; raises CodecError.
    find_evacuated : callable
        Returns the data centre that a row's key asks to evacuate, or None.
    """

    # Logs and metrics know this actor by this name.
    log_name = "CatalogKeeper"

    def __init__(
        self,
        key: str,
        decode: Callable[[bytes], Catalog],
        find_evacuated: Callable[[str], str | None],
    ) -> None:
        super().__init__()
        self._key = key
        self._decode = decode
        self._find_evacuated = find_evacuated
        self._evacuated: frozenset[str] = frozenset()
        self._catalog: Catalog | None = None
        self._heard_at = 0.0
        self._is_silent = True
        self._subscribers: list[ActorRef] = []

    def handle(self, message: Any) -> Any:
        """Handle one message."""
        match message:
            case TableSnapshot(_, rows):
                # What is not listed was taken back while nothing was heard.
                self._take_rows(rows, frozenset())
            case TableChanged(_, rows):
                self._take_rows(rows, self._evacuated)
            case TableUnavailable(table, code):
                if not self._is_silent:
                    self._is_silent = True
                    EVENT_LOG.write("dependency_lost", name=f"table {table}", code=code)
            case ReadCatalog():
                return self._catalog
            case ReadBatchReadiness():
                age = boottime_seconds() - self._heard_at
                return self._catalog is not None and age < READY_CONTACT_SECONDS
            case SubscribeCatalog(subscriber):
                self._subscribers.append(subscriber)
                tell(subscriber, EvacuationsChanged(self._evacuated))
                if self._catalog is not None:
                    tell(subscriber, CatalogChanged(self._catalog))
        return None

    def _note_contact(self) -> None:
        self._heard_at = boottime_seconds()
        if self._is_silent:
            self._is_silent = False
            EVENT_LOG.write("dependency_found", name="configuration table")

    def _take_rows(
        self, rows: tuple[StoredRow, ...], evacuated: frozenset[str]
    ) -> None:
        """Take rows over; evacuations first, since a configuration starts work."""
        self._note_contact()
        found = set(evacuated)
        for row in rows:
            data_centre = self._find_evacuated(row.key)
            if data_centre is None:
                continue
            if row.is_deleted:
                found.discard(data_centre)
            else:
                found.add(data_centre)
        self._evacuate(frozenset(found))
        for row in rows:
            if row.key == self._key and not row.is_deleted:
                self._take(row.value)

    def _evacuate(self, data_centres: frozenset[str]) -> None:
        if data_centres == self._evacuated:
            return
        self._evacuated = data_centres
        EVACUATED_DATA_CENTRES.set(len(data_centres))
        EVENT_LOG.write("evacuations", data_centres=" ".join(sorted(data_centres)))
        self._tell_all(EvacuationsChanged(data_centres))

    def _tell_all(self, message: CatalogChanged | EvacuationsChanged) -> None:
        self._subscribers = [ref for ref in self._subscribers if ref.is_alive()]
        for subscriber in self._subscribers:
            tell(subscriber, message)

    def _take(self, value: bytes) -> None:
        try:
            catalog = self._decode(value)
        except CodecError as exc:
            EVENT_LOG.write("configuration_unreadable", detail=str(exc))
            return
        if self._catalog is not None and catalog.version <= self._catalog.version:
            return
        self._catalog = catalog
        EVENT_LOG.write("configuration", version=catalog.version)
        self._tell_all(CatalogChanged(catalog))
