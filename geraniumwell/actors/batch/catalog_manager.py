"""Actor that holds the current configuration and evacuations of this daemon."""

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
from geraniumwell.model.batch.catalog import Catalog, is_newer
from geraniumwell.util.clock import boottime_seconds

# A daemon without a store response for this long reports itself as not ready.
MAX_CONTACT_AGE_SECONDS = 3.0


class CatalogManager(ResilientActor):
    """Applies and publishes newer versions of the configuration, never older ones.

    Parameters
    ----------
    key : str
        Row key of the configuration in the operator's table.
    decode : callable
        Decodes the value of the configuration row; raises CodecError.
    find_evacuated : callable
        Returns the data centre whose evacuation a row key requests, or None.
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
        self._last_contact_at = 0.0
        self._is_unavailable = True
        self._subscribers: list[ActorRef] = []

    def handle(self, message: Any) -> Any:
        """Handle one message."""
        match message:
            case TableSnapshot(_, rows):
                # An evacuation that is missing here ended while changes were missed.
                self._apply_rows(rows, frozenset())
            case TableChanged(_, rows):
                self._apply_rows(rows, self._evacuated)
            case TableUnavailable(table, code):
                if not self._is_unavailable:
                    self._is_unavailable = True
                    EVENT_LOG.write("dependency_lost", name=f"table {table}", code=code)
            case ReadCatalog():
                return self._catalog
            case ReadBatchReadiness():
                age = boottime_seconds() - self._last_contact_at
                return self._catalog is not None and age < MAX_CONTACT_AGE_SECONDS
            case SubscribeCatalog(subscriber):
                self._subscribers.append(subscriber)
                tell(subscriber, EvacuationsChanged(self._evacuated))
                if self._catalog is not None:
                    tell(subscriber, CatalogChanged(self._catalog))
        return None

    def _record_contact(self) -> None:
        self._last_contact_at = boottime_seconds()
        if self._is_unavailable:
            self._is_unavailable = False
            EVENT_LOG.write("dependency_found", name="configuration table")

    def _apply_rows(
        self, rows: tuple[StoredRow, ...], evacuated: frozenset[str]
    ) -> None:
        """Apply rows; evacuations first, because a configuration may start tasks."""
        self._record_contact()
        found = set(evacuated)
        for row in rows:
            data_centre = self._find_evacuated(row.key)
            if data_centre is None:
                continue
            if row.is_deleted:
                found.discard(data_centre)
            else:
                found.add(data_centre)
        self._apply_evacuations(frozenset(found))
        for row in rows:
            if row.key == self._key and not row.is_deleted:
                self._apply_configuration(row.value)

    def _apply_evacuations(self, data_centres: frozenset[str]) -> None:
        if data_centres == self._evacuated:
            return
        self._evacuated = data_centres
        EVACUATED_DATA_CENTRES.set(len(data_centres))
        EVENT_LOG.write("evacuations", data_centres=" ".join(sorted(data_centres)))
        self._notify_subscribers(EvacuationsChanged(data_centres))

    def _notify_subscribers(self, message: CatalogChanged | EvacuationsChanged) -> None:
        self._subscribers = [ref for ref in self._subscribers if ref.is_alive()]
        for subscriber in self._subscribers:
            tell(subscriber, message)

    def _apply_configuration(self, value: bytes) -> None:
        try:
            catalog = self._decode(value)
        except CodecError as exc:
            EVENT_LOG.write("configuration_unreadable", detail=str(exc))
            return
        if not is_newer(catalog, self._catalog):
            return
        self._catalog = catalog
        EVENT_LOG.write("configuration", version=catalog.version)
        self._notify_subscribers(CatalogChanged(catalog))
