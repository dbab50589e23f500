"""Claim of the job rows of a data centre by the decider of one epoch.

Part of the decider's state; used by the decider's thread only.
"""

from enum import StrEnum

from pykka import ActorRef

from geraniumwell.clients.platform import Condition, Put, Row, Transaction
from geraniumwell.codec.jobs import (
    DeciderClaim,
    decode_claim,
    encode_claim,
    make_claim_key,
)
from geraniumwell.messages.platform import ReadRows, Transact
from geraniumwell.util.ids import make_token_hex


class ClaimState(StrEnum):
    """Whether the claim is held; ``OPEN`` until the claim row shows it."""

    OPEN = "open"
    HELD = "held"
    LOST = "lost"


class Claim:
    """Writes the epoch into the claim row and learns the row's version.

    Every write of a job row is conditional on that version, so a decider that was
    replaced can't write job rows, even before it learns that it was replaced.
    """

    __slots__ = ("_key", "_link", "_receiver", "_own_claim", "tag", "version", "state")

    def __init__(
        self,
        data_centre: str,
        own_claim: DeciderClaim,
        link: ActorRef,
        receiver: ActorRef,
    ) -> None:
        self._key = make_claim_key(data_centre)
        self._link = link
        self._receiver = receiver
        self._own_claim = own_claim
        self.tag = f"claim-{make_token_hex()}"
        self.version = 0
        self.state = ClaimState.OPEN

    def read(self) -> None:
        """Read the claim row; safe to repeat after any failure."""
        self._link.tell(ReadRows(self.tag, self._receiver, self._key))

    def handle_rows(self, rows: tuple[Row, ...]) -> None:
        """Update the state from the claim row; overwrite a claim of a lower epoch."""
        row = next((r for r in rows if r.key == self._key), None)
        current = decode_claim(row.value) if row else DeciderClaim(0, "")
        self.version = row.version if row else 0
        if current == self._own_claim:
            self.state = ClaimState.HELD
            return
        if current.epoch >= self._own_claim.epoch:
            self.state = ClaimState.LOST
            return
        condition = Condition(self._key, self.version)
        put = Put(self._key, encode_claim(self._own_claim))
        transaction = Transaction((condition,), (put,))
        self._link.tell(Transact(self.tag, self._receiver, transaction))
