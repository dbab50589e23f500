"""Messages to actors that may have stopped meanwhile."""

from contextlib import suppress
from typing import Any

from pykka import ActorDeadError, ActorRef


def tell(receiver: ActorRef, message: Any) -> None:
    """Send a message; a receiver that has stopped needs it no more."""
    with suppress(ActorDeadError):
        receiver.tell(message)
