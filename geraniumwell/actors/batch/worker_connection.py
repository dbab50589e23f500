"""Connection to a worker, its calls, and their deadlines."""

from collections import deque
from dataclasses import dataclass, field
from heapq import heappop, heappush
from itertools import count

from geraniumwell.clients.http_conn import HttpConn
from geraniumwell.clients.task_worker import WorkerCall
from geraniumwell.messages.batch import CallWorker


@dataclass(slots=True, eq=False)
class InFlightCall:
    """A call on its way.

    Parameters
    ----------
    deadline : float
        Monotonic time after which the connection, or then the answer, counts as lost.
    sent_at : float or None
        Steady time of the sending; None while the connection is being opened.
    begun_at : float
        Monotonic time of the sending.
    is_timed : bool
        Whether the worker answers at once, so that the time of the answer is telling.
    """

    call: WorkerCall
    send_by: float
    deadline: float
    sent_at: float | None = None
    begun_at: float = 0.0
    is_timed: bool = False


@dataclass(slots=True, eq=False)
class WorkerConnection:
    """One connection to a worker, and the calls that wait for it.

    Parameters
    ----------
    rested_at : float
        Monotonic time of the last answer.
    is_dropped : bool
        Whether it ends with its last call.
    """

    worker: str
    address: str
    calls: deque[CallWorker] = field(default_factory=deque)
    flight: InFlightCall | None = None
    conn: HttpConn | None = None
    rested_at: float = 0.0
    is_dropped: bool = False


class Deadlines:
    """Deadlines of calls on their way; those of calls that are over are left out."""

    __slots__ = ("_heap", "_serials")

    def __init__(self) -> None:
        self._heap: list[tuple[float, int, WorkerConnection, InFlightCall]] = []
        self._serials = count()

    def add(self, channel: WorkerConnection, flight: InFlightCall) -> None:
        """Note the present deadline of a channel's call."""
        heappush(self._heap, (flight.deadline, next(self._serials), channel, flight))

    def find_next(self) -> float | None:
        """Return the next deadline, or None if no call is on its way."""
        self._skip()
        return self._heap[0][0] if self._heap else None

    def pop_due(self, now: float) -> WorkerConnection | None:
        """Return a channel whose call was due by now, or None."""
        self._skip()
        if not self._heap or self._heap[0][0] > now:
            return None
        return heappop(self._heap)[2]

    def _skip(self) -> None:
        heap = self._heap
        while heap:
            deadline, _, channel, flight = heap[0]
            if channel.flight is flight and flight.deadline == deadline:
                return
            heappop(heap)
