"""Sending messages to actors that may have stopped."""

from contextlib import suppress
from typing import Any

from pykka import ActorDeadError, ActorRef


def tell(receiver: ActorRef, message: Any) -> None:
    """Send a message; do nothing if the receiver has stopped."""
    with suppress(ActorDeadError):
        receiver.tell(message)
