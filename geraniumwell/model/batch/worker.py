"""Workers as the scheduler sees them, and what they report."""

from dataclasses import dataclass, field
from enum import Enum

from geraniumwell.model.batch.job import Task, TaskId
from geraniumwell.model.batch.resources import Resources


class WorkerState(Enum):
    """Whether a worker may be given new tasks."""

    READY = "ready"
    DRAINING = "draining"
    UNREGISTERED = "gone"


@dataclass(slots=True, frozen=True)
class WorkerEntry:
    """Entry of a worker in the platform's registry.

    Parameters
    ----------
    started_ms : int
        Unix time in milliseconds at which this life of the worker began.
    remaining_seconds : float or None
        Least time before a draining worker leaves, if it tells.
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
    """How a run of a task ended."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"


@dataclass(slots=True, frozen=True)
class RunningTask:
    """A run that a worker lists as running."""

    id: TaskId
    run: int
    checkpoint: str
    percent: int


@dataclass(slots=True, frozen=True)
class EndedTask:
    """An end that a worker lists until it is acknowledged."""

    number: int
    id: TaskId
    run: int
    kind: EndKind
    checkpoint: str


@dataclass(slots=True, frozen=True)
class WorkerReport:
    """Answer of a worker to a look at it.

    Parameters
    ----------
    clock_ms : int
        The worker's steady clock when it answered.
    """

    clock_ms: int
    running: tuple[RunningTask, ...]
    ended: tuple[EndedTask, ...]
    started_ms: int = 0


class StartResult(Enum):
    """Answer of a worker to a start."""

    STARTED = "started"
    STALE_EPOCH = "stale_epoch"
    OLD_RUN = "old_run"
    LATE = "late"
    NO_ROOM = "no_room"
    NO_TICKET = "no_ticket"
    REFUSED = "refused"
    OTHER_INCARNATION = "other_life"


@dataclass(slots=True)
class Worker:
    """A worker and what runs on it.

    Parameters
    ----------
    lease_until : float
        Time after which nothing that was started there runs any more, unless the
        worker was heard since.
    clock_ms, clock_at : int, float
        The worker's clock, and the time at which it was heard.
    has_confirmed_epoch : bool
        Whether it has answered under the present epoch.
    last_applied_end, last_saved_end, last_acknowledged_end : int
        Number of the last end that was applied, stored and acknowledged.
    last_answer_at, unresponsive_at : float
        Time at which a call was last answered, and at which one last got no answer.
    reported_at : float
        Time at which the last look that was answered had been sent.
    failures, refusals : int
        Runs that failed there, and starts that it refused or lost, in a row.
    """

    entry: WorkerEntry
    state: WorkerState = WorkerState.READY
    tasks: dict[TaskId, Task] = field(default_factory=dict)
    lease_until: float = 0.0
    clock_ms: int = 0
    clock_at: float = 0.0
    has_confirmed_epoch: bool = False
    has_unknown_runs: bool = False
    is_polling: bool = False
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
