"""Actor that watches one table of the store for changes."""

from typing import Any

from pykka import ActorRef

from geraniumwell.actors.batch.messaging import tell
from geraniumwell.actors.batch.supervised_actor import ClientActor
from geraniumwell.actors.ticker import Ticker
from geraniumwell.clients.table import (
    HistoryCompactedError,
    StoreError,
    TableClient,
    read_partitions,
)
from geraniumwell.messages.batch import (
    TableChanged,
    TableSnapshot,
    TableUnavailable,
    WatchTable,
)
from geraniumwell.messages.serving import Tick

# Delay before the next call after an error.
RETRY_SECONDS = 0.15


class TableFeed(ClientActor):
    """Reads the changes of a table by long polling and sends them to its owner.

    Parameters
    ----------
    wait_seconds : float
        How long the store waits for a change before it responds.
    gap_seconds : float
        Pause after a response with changes, so that further changes come together.
    partitions : tuple of str
        Partitions of the table that a full read covers.
    rereads_after_error : bool
        Whether the whole table is read after an error. The missed changes of a few
        large rows take much longer to transfer than the current rows.
    """

    def __init__(
        self,
        client: TableClient,
        table: str,
        receiver: ActorRef,
        ticker: Ticker,
        wait_seconds: float,
        gap_seconds: float = 0.0,
        partitions: tuple[str, ...] = ("",),
        rereads_after_error: bool = False,
    ) -> None:
        super().__init__(client, receiver)
        self._table = table
        self._ticker = ticker
        self._wait_seconds = wait_seconds
        self._gap_seconds = gap_seconds
        self._partitions = partitions
        self._rereads_after_error = rereads_after_error
        self._after: int | None = None

    def on_receive(self, message: Any) -> None:
        """Handle one message."""
        match message:
            case WatchTable(after):
                self._after = after
                self._poll()
            case Tick():
                self._poll()

    def _poll(self) -> None:
        try:
            pause = self._read() if self._after is None else self._watch()
        except HistoryCompactedError:
            self._after = None
            pause = 0.0
        except StoreError as exc:
            tell(self._owner, TableUnavailable(self._table, exc.code))
            if self._rereads_after_error:
                self._after = None
            pause = RETRY_SECONDS
        if pause:
            self._ticker.tick_after(pause, self.actor_ref, "ask")
        else:
            tell(self.actor_ref, Tick("ask"))

    def _read(self) -> float:
        found = read_partitions(self._client, self._table, self._partitions)
        self._after = found.version
        tell(self._owner, TableSnapshot(self._table, found.rows))
        return 0.0

    def _watch(self) -> float:
        assert self._after is not None
        found = self._client.watch(self._table, self._after, self._wait_seconds)
        self._after = max(self._after, found.version)
        tell(self._owner, TableChanged(self._table, found.rows))
        return self._gap_seconds if found.rows else 0.0
