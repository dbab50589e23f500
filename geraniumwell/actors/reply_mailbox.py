"""Receiver of one reply for threads that are not actors."""

from typing import Any

from pykka import ThreadingFuture, Timeout

from geraniumwell.exceptions import ReplyTimeoutError


class ReplyMailbox:
    """Receives one reply in place of an actor.

    A thread of an HTTP server waits for the reply, which an actor sends as a message.
    """

    __slots__ = ("_future",)

    def __init__(self) -> None:
        self._future: ThreadingFuture[Any] = ThreadingFuture()

    def tell(self, message: Any) -> None:
        """Store the reply."""
        self._future.set(message)

    def wait(self, seconds: float) -> Any:
        """Return the reply.

        Raises
        ------
        ReplyTimeoutError
            If there was none in time.
        """
        return wait_for(self._future, seconds)


def wait_for(future: Any, seconds: float) -> Any:
    """Return the value of a future.

    Raises
    ------
    ReplyTimeoutError
        If there was none in time.
    """
    try:
        return future.get(timeout=seconds)
    except Timeout as exc:
        raise ReplyTimeoutError(seconds) from exc
