"""Actor that owns one connection to the platform."""

from typing import Any

from pykka import ActorRef, ThreadingActor

from geraniumwell.clients.platform import PlatformClient, Transaction
from geraniumwell.codec.json import CodecError
from geraniumwell.exceptions import PlatformError, TransactionConflictError
from geraniumwell.messages.platform import (
    ListVms,
    PlatformFailed,
    ReadRows,
    RowsRead,
    Transact,
    Transacted,
    TransactionRefused,
    VmsListed,
)


class PlatformLink(ThreadingActor):
    """Calls the platform in its own thread, so that the callers don't block.

    It makes one call at a time.
    """

    use_daemon_thread = True

    def __init__(self, client: PlatformClient) -> None:
        super().__init__()
        self._client = client

    def on_receive(self, message: Any) -> None:
        """Handle one message."""
        try:
            match message:
                case ReadRows(tag, receiver, prefix, after):
                    rows = self._client.read_rows(prefix, after)
                    receiver.tell(RowsRead(tag, rows))
                case Transact(tag, receiver, transaction):
                    self._transact(tag, receiver, transaction)
                case ListVms(tag, receiver):
                    receiver.tell(VmsListed(tag, self._client.list_vms()))
        except (PlatformError, CodecError) as exc:
            # An unreadable response counts as a failure and must not stop this actor.
            message.receiver.tell(PlatformFailed(message.tag, str(exc)))

    def _transact(self, tag: str, receiver: ActorRef, transaction: Transaction) -> None:
        try:
            self._client.transact(transaction)
        except TransactionConflictError as exc:
            receiver.tell(TransactionRefused(tag, exc.key))
        else:
            receiver.tell(Transacted(tag))
