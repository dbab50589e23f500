"""Timer thread that sends Tick messages at requested times."""

from heapq import heappop, heappush
from itertools import count
from queue import Empty, SimpleQueue
from threading import Thread

from pykka import ActorDeadError, ActorRef

from geraniumwell.messages.serving import Tick
from geraniumwell.util.clock import monotonic_seconds


class Ticker:
    """Sends Tick messages at their due times.

    The thread blocks on its inbox until the next due time, so it does not poll.
    """

    __slots__ = ("_inbox", "_order", "_thread")

    def __init__(self) -> None:
        self._inbox: SimpleQueue[tuple[float, int, ActorRef, Tick] | None] = (
            SimpleQueue()
        )
        self._order = count()
        self._thread = Thread(target=self._run, name="ticker", daemon=True)

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the thread; ticks that are not due yet are dropped."""
        self._inbox.put(None)
        self._thread.join()

    def tick_at(self, due: float, receiver: ActorRef, name: str) -> None:
        """Send ``Tick(name)`` to the receiver at monotonic time ``due``."""
        self._inbox.put((due, next(self._order), receiver, Tick(name)))

    def tick_after(self, seconds: float, receiver: ActorRef, name: str) -> None:
        """Send ``Tick(name)`` to the receiver after some time."""
        self.tick_at(monotonic_seconds() + seconds, receiver, name)

    def _run(self) -> None:
        heap: list[tuple[float, int, ActorRef, Tick]] = []
        while True:
            wait = max(0.0, heap[0][0] - monotonic_seconds()) if heap else None
            try:
                entry = self._inbox.get(timeout=wait)
            except Empty:
                self._send(heap)
                continue
            if entry is None:
                return
            heappush(heap, entry)

    def _send(self, heap: list[tuple[float, int, ActorRef, Tick]]) -> None:
        now = monotonic_seconds()
        while heap and heap[0][0] <= now:
            _, _, receiver, tick = heappop(heap)
            try:
                receiver.tell(tick)
            except ActorDeadError:
                continue
