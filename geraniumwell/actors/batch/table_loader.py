"""Actor that reads all that a new scheduler has to know, over several connections."""

from typing import Any

from pykka import ActorRef

from geraniumwell.actors.batch.messaging import tell
from geraniumwell.actors.batch.scheduler_dependencies import SchedulerDependencies
from geraniumwell.actors.batch.store_link import StoreLink
from geraniumwell.actors.batch.supervised_actor import SupervisedActor
from geraniumwell.clients.table import RowRange, TablePartition
from geraniumwell.helpers.event_log import EVENT_LOG
from geraniumwell.messages.batch import (
    ActorFailed,
    LoadFailed,
    LoadTables,
    TablesLoaded,
)
from geraniumwell.messages.serving import Tick

# A reading takes some 5 ms, and 0.3 s while the store is slow; a takeover reads some
# twenty parts.
CONNECTIONS = 5
RETRY_SECONDS = 0.1


class TableLoader(SupervisedActor):
    """Reads parts of tables, repeats what failed, and tells its owner once."""

    def __init__(self, parts: SchedulerDependencies, owner: ActorRef) -> None:
        super().__init__(owner)
        self._ticker = parts.ticker
        self._make_store = parts.make_store
        self._links: list[ActorRef] = []
        self._wanted: set[TablePartition] = set()
        self._found: dict[TablePartition, RowRange] = {}
        self._failed: list[TablePartition] = []

    def on_start(self) -> None:
        """Open the connections."""
        self._links = [
            StoreLink.start(self._make_store(), self.actor_ref)
            for _ in range(CONNECTIONS)
        ]

    def on_stop(self) -> None:
        """Close the connections."""
        for link in self._links:
            link.stop(block=False)

    def on_receive(self, message: Any) -> None:
        """Handle one message."""
        match message:
            case LoadTables(parts):
                self._wanted.update(parts)
                self._read(list(parts))
            case TablesLoaded(ranges):
                self._found |= ranges
                self._end_if_complete()
            case LoadFailed(parts, code, detail):
                EVENT_LOG.write("load_failed", code=code, detail=detail)
                if not self._failed:
                    self._ticker.tick_after(RETRY_SECONDS, self.actor_ref, "retry")
                self._failed += parts
            case ActorFailed():
                tell(self._owner, message)
            case Tick():
                failed, self._failed = self._failed, []
                self._read(failed)

    def _read(self, parts: list[TablePartition]) -> None:
        for number, link in enumerate(self._links):
            if share := tuple(parts[number :: len(self._links)]):
                tell(link, LoadTables(share))

    def _end_if_complete(self) -> None:
        if self._wanted.issubset(self._found):
            tell(self._owner, TablesLoaded(self._found))
            self.stop()
