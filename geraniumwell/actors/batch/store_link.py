"""Actor that owns one connection to the table store."""

from typing import Any

from geraniumwell.actors.batch.messaging import tell
from geraniumwell.actors.batch.supervised_actor import ClientActor
from geraniumwell.clients.table import StoreError, read_all
from geraniumwell.messages.batch import (
    CommitFailed,
    CommitRows,
    LoadFailed,
    LoadTables,
    RowsCommitted,
    TablesLoaded,
)


class StoreLink(ClientActor):
    """Calls the store, one call at a time, so that its owner never blocks."""

    def on_receive(self, message: Any) -> None:
        """Handle one message."""
        match message:
            case CommitRows(number, transaction):
                try:
                    result = self._client.commit(transaction)
                except StoreError as exc:
                    tell(self._owner, CommitFailed(number, exc.code, str(exc)))
                else:
                    tell(self._owner, RowsCommitted(number, result))
            case LoadTables(partitions):
                try:
                    ranges = {
                        partition: read_all(
                            self._client, partition.table, partition.part
                        )
                        for partition in partitions
                    }
                except StoreError as exc:
                    tell(self._owner, LoadFailed(partitions, exc.code, str(exc)))
                else:
                    tell(self._owner, TablesLoaded(ranges))
