"""Actor inbox that delivers urgent messages first."""

from collections import deque
from collections.abc import Callable
from queue import Queue
from typing import Any


class PriorityInbox(Queue):
    """Message queue with two priorities.

    Messages of the same priority keep their order.

    Parameters
    ----------
    is_urgent : callable
        Returns whether a message is delivered before the messages that are not urgent.
    """

    def __init__(self, is_urgent: Callable[[Any], bool]) -> None:
        self._is_urgent = is_urgent
        super().__init__()

    def _init(self, maxsize: int) -> None:
        self._urgent: deque[Any] = deque()
        self._normal: deque[Any] = deque()

    def _qsize(self) -> int:
        return len(self._urgent) + len(self._normal)

    def _put(self, item: Any) -> None:
        queue = self._urgent if self._is_urgent(item.message) else self._normal
        queue.append(item)

    def _get(self) -> Any:
        return self._urgent.popleft() if self._urgent else self._normal.popleft()
