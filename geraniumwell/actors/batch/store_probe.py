"""Actor that detects when an unreachable store answers again."""

from typing import Any

from geraniumwell.actors.batch.resilient_actor import ResilientActor
from geraniumwell.actors.ticker import Ticker
from geraniumwell.clients.table import StoreError, TableClient
from geraniumwell.clients.table_relay import StoreHealth
from geraniumwell.const import LEADER_KEY, PARTITION_SCHEDULE, TABLE_CONTROL
from geraniumwell.helpers.event_log import EVENT_LOG
from geraniumwell.messages.batch import StoreUnreachable
from geraniumwell.messages.serving import Tick

# Refused clients retry after a second, and reading one row is cheap.
PROBE_SECONDS = 0.15


class StoreProbe(ResilientActor):
    """Reads one row periodically while the store is unreachable even through peers.

    Parameters
    ----------
    client : TableClient
        Calls the store directly, with a short time limit.
    """

    def __init__(
        self, client: TableClient, health: StoreHealth, ticker: Ticker
    ) -> None:
        super().__init__()
        self._client = client
        self._health = health
        self._ticker = ticker
        self._is_probing = False

    def on_start(self) -> None:
        """Subscribe to the loss of the store."""
        self._health.subscribe(lambda: self.actor_ref.tell(StoreUnreachable()))

    def on_stop(self) -> None:
        """Close the connection."""
        self._client.close()

    def handle(self, message: Any) -> None:
        """Handle one message."""
        match message:
            case StoreUnreachable() if not self._is_probing:
                self._is_probing = True
                EVENT_LOG.write("dependency_lost", name="store", code="no_way")
                self._probe()
            case Tick():
                self._probe()

    def _probe(self) -> None:
        try:
            self._client.read(
                TABLE_CONTROL, LEADER_KEY, limit=1, part=PARTITION_SCHEDULE
            )
        except StoreError:
            # The loss is logged once. Other calls may have reached the store by now.
            if self._health.is_unreachable:
                self._ticker.tick_after(PROBE_SECONDS, self.actor_ref, "probe")
                return
        self._is_probing = False
        self._health.record_success()
        EVENT_LOG.write("dependency_found", name="store")
