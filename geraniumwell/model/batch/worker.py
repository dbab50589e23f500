"""State of workers as known to the scheduler, and their reports."""

from dataclasses import dataclass, field
from enum import Enum

from geraniumwell.model.batch.job import Task, TaskId
from geraniumwell.model.batch.resources import Resources


class WorkerState(Enum):
    """State of a worker in the platform's registry."""

    READY = "ready"
    DRAINING = "draining"
    UNREGISTERED = "gone"


@dataclass(slots=True, frozen=True)
class WorkerEntry:
    """Entry of a worker in the platform's registry.

    Parameters
    ----------
    started_ms : int
        Unix time in milliseconds at which this incarnation of the worker started.
    remaining_seconds : float or None
        Minimum time before a draining worker leaves; None if it is not announced.
    """

    id: str
    service: str
    address: str
    data_centre: str
    capacity: Resources
    labels: frozenset[str]
    rack: str
    is_draining: bool
    started_ms: int = 0
    remaining_seconds: float | None = None


class EndKind(Enum):
    """How a run of a task ended.

    A run that is neither DONE nor FAILED does not count as an attempt; its task waits
    for another run.
    """

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"


@dataclass(slots=True, frozen=True)
class RunningTask:
    """A run that a worker reports as running.

    Parameters
    ----------
    usage : int or None
        Approximate figure for the last half second: the tail of the response times in
        milliseconds for a task with a latency target, the processor time in use in
        thousandths of a core for any other. None if the worker reports none.
    """

    id: TaskId
    run: int
    checkpoint: str
    percent: int
    usage: int | None = None


@dataclass(slots=True, frozen=True)
class EndedTask:
    """An ended run that a worker reports until it is acknowledged."""

    number: int
    id: TaskId
    run: int
    kind: EndKind
    checkpoint: str


@dataclass(slots=True, frozen=True)
class WorkerReport:
    """Response of a worker to a poll.

    Parameters
    ----------
    clock_ms : int
        The worker's monotonic clock when it responded.
    started_ms : int
        Unix time at which this incarnation of the worker started; 0 if unknown.
    may_have_more_ends : bool
        Whether ``ended`` may be cut off. A run that is in neither list may then have
        ended.
    """

    clock_ms: int
    running: tuple[RunningTask, ...]
    ended: tuple[EndedTask, ...]
    started_ms: int = 0
    may_have_more_ends: bool = False


class StartResult(Enum):
    """Response of a worker to a start order."""

    STARTED = "started"
    STALE_EPOCH = "stale_epoch"
    OLD_RUN = "old_run"
    LATE = "late"
    NO_CAPACITY = "no_room"
    NO_TICKET = "no_ticket"
    REFUSED = "refused"
    OTHER_INCARNATION = "other_life"


@dataclass(slots=True)
class Worker:
    """A worker and its tasks.

    Parameters
    ----------
    lease_until : float
        Time at which the leases of all tasks on the worker have expired, unless they
        are extended.
    clock_ms, clock_at : int, float
        The worker's clock in its last report, and the time at which that arrived.
    has_confirmed_epoch : bool
        Whether the worker has answered a poll with the current epoch.
    has_unknown_runs : bool
        Whether the last report listed runs that the scheduler did not place there.
    last_applied_end, last_saved_end, last_acknowledged_end : int
        Number of the last end of a run that was applied, stored and acknowledged.
    last_answer_at, unresponsive_at : float
        Time of the last answered call, and of the last unanswered call.
    reported_at : float
        Time at which the last answered poll was sent.
    poll_after : float
        Time before which the worker is not polled.
    failures, refusals : int
        Consecutive failed runs, and consecutive starts that were refused or not
        answered.
    avoid_until : float
        Time until which the worker gets no new tasks.
    """

    entry: WorkerEntry
    state: WorkerState = WorkerState.READY
    tasks: dict[TaskId, Task] = field(default_factory=dict)
    lease_until: float = 0.0
    clock_ms: int = 0
    clock_at: float = 0.0
    has_confirmed_epoch: bool = False
    has_unknown_runs: bool = False
    is_poll_pending: bool = False
    is_unresponsive: bool = False
    last_answer_at: float = 0.0
    unresponsive_at: float = 0.0
    reported_at: float = 0.0
    poll_after: float = 0.0
    started_ms: int = 0
    last_applied_end: int = 0
    last_saved_end: int = 0
    last_acknowledged_end: int = 0
    failures: int = 0
    refusals: int = 0
    avoid_until: float = 0.0
    drain_started_at: float = 0.0
