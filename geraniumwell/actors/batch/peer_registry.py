"""Actor that keeps the addresses of the other daemons."""

from random import Random
from typing import Any

from geraniumwell.actors.batch.resilient_actor import ResilientActor
from geraniumwell.actors.ticker import Ticker
from geraniumwell.clients.table import (
    RowWrite,
    StoredRow,
    StoreError,
    TableClient,
    TableTransaction,
    read_all,
)
from geraniumwell.clients.table_relay import PeerDirectory
from geraniumwell.codec.batch import decode_peer, encode_peer
from geraniumwell.codec.json import CodecError
from geraniumwell.const import PARTITION_DAEMONS, TABLE_DAEMONS
from geraniumwell.helpers.batch_metrics import KNOWN_PEERS, UNREADABLE_ROWS
from geraniumwell.helpers.event_log import EVENT_LOG
from geraniumwell.messages.serving import Tick
from geraniumwell.model.batch.peer import Peer

# A daemon that starts at another address is known to the others within this time.
REFRESH_SECONDS = 4.0
RETRY_SECONDS = 0.5


class PeerRegistry(ResilientActor):
    """Writes this daemon's address to the store and reads those of the others.

    Parameters
    ----------
    vm : str
        Name of this daemon's VM.
    peer : Peer
        Relay address and processor of this daemon.
    """

    # Logs and metrics know this actor by this name.
    log_name = "PeerKeeper"

    def __init__(
        self,
        vm: str,
        peer: Peer,
        client: TableClient,
        directory: PeerDirectory,
        ticker: Ticker,
    ) -> None:
        super().__init__()
        self._vm = vm
        self._peer = peer
        self._client = client
        self._directory = directory
        self._ticker = ticker
        self._is_written = False
        # Daemons of one deployment spread over different relays.
        self._random = Random(vm)

    def on_start(self) -> None:
        """Begin to refresh."""
        self.actor_ref.tell(Tick("refresh"))

    def handle(self, message: Any) -> None:
        """Handle one message."""
        match message:
            case Tick():
                wait = RETRY_SECONDS
                try:
                    if self._refresh():
                        wait = REFRESH_SECONDS
                finally:
                    self._ticker.tick_after(wait, self.actor_ref, "refresh")

    def _refresh(self) -> bool:
        """Read the addresses; return whether there are any."""
        try:
            if not self._is_written:
                write = RowWrite(TABLE_DAEMONS, self._vm, encode_peer(self._peer))
                self._client.commit(
                    TableTransaction((), (write,), part=PARTITION_DAEMONS)
                )
                self._is_written = True
            rows = read_all(self._client, TABLE_DAEMONS, PARTITION_DAEMONS).rows
        except StoreError as exc:
            EVENT_LOG.write("peers_unreadable", code=exc.code)
            return False
        peers = [peer for row in rows if (peer := self._read_peer(row)) is not None]
        found = {peer.address for peer in peers}
        self._directory.cores_by_address = {peer.address: peer.cores for peer in peers}
        # Peers that are known keep their order, which tells who has answered.
        known = [a for a in self._directory.addresses if a in found]
        new = sorted(found.difference(known))
        self._random.shuffle(new)
        if new:
            EVENT_LOG.write("peers", count=len(found))
        self._directory.addresses = (*known, *new)
        KNOWN_PEERS.set(len(found))
        # Daemons start together, so a first reading may find none.
        return bool(found)

    def _read_peer(self, row: StoredRow) -> Peer | None:
        """Return the daemon that a row names, if it is another one."""
        if row.key == self._vm:
            return None
        try:
            return decode_peer(row.value)
        except CodecError as exc:
            UNREADABLE_ROWS.labels("peer").inc()
            EVENT_LOG.write("row_unreadable", kind="peer", key=row.key, detail=str(exc))
            return None
