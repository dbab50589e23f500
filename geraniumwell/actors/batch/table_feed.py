"""Actor that follows the changes of one table of the store."""

from typing import Any

from pykka import ActorRef

from geraniumwell.actors.batch.messaging import tell
from geraniumwell.actors.batch.supervised_actor import ClientActor
from geraniumwell.actors.ticker import Ticker
from geraniumwell.clients.table import (
    HistoryCompactedError,
    StoreError,
    TableClient,
    read_parts,
)
from geraniumwell.messages.batch import (
    TableChanged,
    TableSnapshot,
    TableUnavailable,
    WatchTable,
)
from geraniumwell.messages.serving import Tick

# After an error the store is asked again after this time.
RETRY_SECONDS = 0.15


class TableFeed(ClientActor):
    """Asks the store for the next changes again and again and passes them on.

    Parameters
    ----------
    wait_seconds : float
        How long the store waits for a change before it answers.
    gap_seconds : float
        Pause after an answer with changes, so that several come in one.
    parts : tuple of str
        Parts of the table, for readings of the whole of it.
    is_rereading : bool
        Whether the whole table is read after an error. The missed changes of a few
        large rows take much longer to arrive than the rows as they are.
    """

    def __init__(
        self,
        client: TableClient,
        table: str,
        receiver: ActorRef,
        ticker: Ticker,
        wait_seconds: float,
        gap_seconds: float = 0.0,
        parts: tuple[str, ...] = ("",),
        is_rereading: bool = False,
    ) -> None:
        super().__init__(client, receiver)
        self._table = table
        self._ticker = ticker
        self._wait_seconds = wait_seconds
        self._gap_seconds = gap_seconds
        self._parts = parts
        self._is_rereading = is_rereading
        self._after: int | None = None

    def on_receive(self, message: Any) -> None:
        """Handle one message."""
        match message:
            case WatchTable(after):
                self._after = after
                self._ask()
            case Tick():
                self._ask()

    def _ask(self) -> None:
        try:
            pause = self._read() if self._after is None else self._watch()
        except HistoryCompactedError:
            self._after = None
            pause = 0.0
        except StoreError as exc:
            tell(self._owner, TableUnavailable(self._table, exc.code))
            if self._is_rereading:
                self._after = None
            pause = RETRY_SECONDS
        if pause:
            self._ticker.tick_after(pause, self.actor_ref, "ask")
        else:
            tell(self.actor_ref, Tick("ask"))

    def _read(self) -> float:
        found = read_parts(self._client, self._table, self._parts)
        self._after = found.version
        tell(self._owner, TableSnapshot(self._table, found.rows))
        return 0.0

    def _watch(self) -> float:
        assert self._after is not None
        found = self._client.watch(self._table, self._after, self._wait_seconds)
        self._after = max(self._after, found.version)
        tell(self._owner, TableChanged(self._table, found.rows))
        return self._gap_seconds if found.rows else 0.0
