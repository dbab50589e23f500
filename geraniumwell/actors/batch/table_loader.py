"""Actor that loads the stored state of a scheduler over several connections."""

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

# Parallel reads during a takeover, which reads about twenty partitions. A read takes
# about 5 ms, or 0.3 s while the store is slow.
CONNECTIONS = 5
RETRY_SECONDS = 0.1


class TableLoader(SupervisedActor):
    """Reads table partitions, retries failed reads and sends one complete result."""

    def __init__(self, deps: SchedulerDependencies, owner: ActorRef) -> None:
        super().__init__(owner)
        self._ticker = deps.ticker
        self._make_store = deps.make_store
        self._connections: list[ActorRef] = []
        self._requested: set[TablePartition] = set()
        self._found: dict[TablePartition, RowRange] = {}
        self._failed: list[TablePartition] = []

    def on_start(self) -> None:
        """Open the connections."""
        self._connections = [
            StoreLink.start(self._make_store(), self.actor_ref)
            for _ in range(CONNECTIONS)
        ]

    def on_stop(self) -> None:
        """Close the connections."""
        for connection in self._connections:
            connection.stop(block=False)

    def on_receive(self, message: Any) -> None:
        """Handle one message."""
        match message:
            case LoadTables(partitions):
                self._requested.update(partitions)
                self._read(list(partitions))
            case TablesLoaded(ranges):
                self._found |= ranges
                self._end_if_complete()
            case LoadFailed(partitions, code, detail):
                EVENT_LOG.write("load_failed", code=code, detail=detail)
                if not self._failed:
                    self._ticker.tick_after(RETRY_SECONDS, self.actor_ref, "retry")
                self._failed += partitions
            case ActorFailed():
                tell(self._owner, message)
            case Tick():
                failed, self._failed = self._failed, []
                self._read(failed)

    def _read(self, partitions: list[TablePartition]) -> None:
        for number, connection in enumerate(self._connections):
            if share := tuple(partitions[number :: len(self._connections)]):
                tell(connection, LoadTables(share))

    def _end_if_complete(self) -> None:
        if self._requested.issubset(self._found):
            tell(self._owner, TablesLoaded(self._found))
            self.stop()
