"""Inbox of an actor that handles some messages before all others."""

from collections import deque
from collections.abc import Callable
from queue import Queue
from typing import Any


class PriorityInbox(Queue):
    """Queue of an actor's messages, with those that can't wait first.

    Messages of the same urgency keep their order.

    Parameters
    ----------
    is_urgent : callable
        Tells whether a message goes before those that are not urgent.
    """

    def __init__(self, is_urgent: Callable[[Any], bool]) -> None:
        self._is_urgent = is_urgent
        super().__init__()

    def _init(self, maxsize: int) -> None:
        self._first: deque[Any] = deque()
        self._rest: deque[Any] = deque()

    def _qsize(self) -> int:
        return len(self._first) + len(self._rest)

    def _put(self, item: Any) -> None:
        queue = self._first if self._is_urgent(item.message) else self._rest
        queue.append(item)

    def _get(self) -> Any:
        return self._first.popleft() if self._first else self._rest.popleft()
