"""Connections to workers, their queued calls and the deadlines of these calls."""

from collections import deque
from dataclasses import dataclass, field
from heapq import heappop, heappush
from itertools import count

from geraniumwell.clients.http_conn import HttpConn
from geraniumwell.clients.task_worker import WorkerCall
from geraniumwell.messages.batch import CallWorker


@dataclass(slots=True, eq=False)
class InFlightCall:
    """A call in flight.

    Parameters
    ----------
    deadline : float
        Monotonic time at which opening the connection, or the sent call, times out.
    sent_at : float or None
        ``boottime_seconds`` when the call was sent; None until the connection is open.
    timer_started_at : float
        Monotonic time at which the call was sent.
    is_timed : bool
        Whether the response time counts for the timeout estimate, because the worker
        does not delay its response.
    """

    call: WorkerCall
    send_by: float
    deadline: float
    sent_at: float | None = None
    timer_started_at: float = 0.0
    is_timed: bool = False


@dataclass(slots=True, eq=False)
class WorkerConnection:
    """One connection to a worker and the calls queued for it.

    Parameters
    ----------
    last_answered_at : float
        Monotonic time at which the last call was answered.
    is_closing : bool
        Whether the connection is closed after its last call.
    """

    worker: str
    address: str
    calls: deque[CallWorker] = field(default_factory=deque)
    in_flight: InFlightCall | None = None
    conn: HttpConn | None = None
    last_answered_at: float = 0.0
    is_closing: bool = False


class Deadlines:
    """Heap of call deadlines; entries of finished calls are skipped."""

    __slots__ = ("_heap", "_serials")

    def __init__(self) -> None:
        self._heap: list[tuple[float, int, WorkerConnection, InFlightCall]] = []
        self._serials = count()

    def add(self, connection: WorkerConnection, in_flight: InFlightCall) -> None:
        """Add the current deadline of a connection's call."""
        heappush(
            self._heap, (in_flight.deadline, next(self._serials), connection, in_flight)
        )

    def find_next(self) -> float | None:
        """Return the earliest deadline, or None if no call is in flight."""
        self._remove_stale()
        return self._heap[0][0] if self._heap else None

    def pop_due(self, now: float) -> WorkerConnection | None:
        """Remove and return a connection whose call has timed out, if there is one."""
        self._remove_stale()
        if not self._heap or self._heap[0][0] > now:
            return None
        return heappop(self._heap)[2]

    def _remove_stale(self) -> None:
        heap = self._heap
        while heap:
            deadline, _, connection, in_flight = heap[0]
            if connection.in_flight is in_flight and in_flight.deadline == deadline:
                return
            heappop(heap)
