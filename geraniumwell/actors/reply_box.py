"""Receiver of one message, for threads that are no actors."""

from typing import Any

from pykka import ThreadingFuture, Timeout

from geraniumwell.exceptions import ReplyTimeoutError


class ReplyBox:
    """Takes the place of an actor as the receiver of one reply.

    A thread of an HTTP server waits on it; the owner of the state still answers by a
    message.
    """

    __slots__ = ("_future",)

    def __init__(self) -> None:
        self._future: ThreadingFuture[Any] = ThreadingFuture()

    def tell(self, message: Any) -> None:
        """Take the reply."""
        self._future.set(message)

    def wait(self, seconds: float) -> Any:
        """Return the reply.

        Raises
        ------
        ReplyTimeoutError
            If none came in time.
        """
        return wait_for(self._future, seconds)


def wait_for(future: Any, seconds: float) -> Any:
    """Return the value of a future.

    Raises
    ------
    ReplyTimeoutError
        If none came in time.
    """
    try:
        return future.get(timeout=seconds)
    except Timeout as exc:
        raise ReplyTimeoutError(seconds) from exc
