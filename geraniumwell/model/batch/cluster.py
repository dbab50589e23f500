"""State of the batch scheduler of a deployment, and its orders to workers."""

from dataclasses import dataclass, field
from enum import Enum

from geraniumwell.model.batch.cancellation import Cancellation
from geraniumwell.model.batch.capacity import FleetIndex
from geraniumwell.model.batch.catalog import Catalog
from geraniumwell.model.batch.interference import InterferenceTable
from geraniumwell.model.batch.job import Job, StopReason, Task, TaskId
from geraniumwell.model.batch.removal import RemovalState
from geraniumwell.model.batch.speed import SpeedIndex
from geraniumwell.model.batch.unit import StepKey, UnitQueue
from geraniumwell.model.batch.worker import Worker


@dataclass(slots=True, frozen=True)
class BatchPolicy:
    """Limits that the platform sets; times are in seconds.

    Parameters
    ----------
    lease_limit : float
        Longest lease that a worker grants.
    result_seconds : float
        Time for which the state of an ended job has to be kept; it is removed after
        twice this time.
    far_factor : float
        Factor by which a task takes longer outside its preferred rack.
    """

    lease_limit: float = 10.0
    result_seconds: float = 120.0
    far_factor: float = 3.0


@dataclass(slots=True)
class Cluster:
    """State of the scheduler, owned by one actor.

    Parameters
    ----------
    epoch : int
        Fencing token of this scheduler.
    evacuated_data_centres : frozenset of str
        Data centres whose workers get no new tasks.
    unsaved_jobs : set of str
        Ids of the jobs whose progress is not stored yet.
    unsaved_stalls, jobs_with_stall_rows : set of str
        Ids of the jobs whose stalls have changed, and of those with stored stalls.
    cancellations : dict
        Stored cancellations by job id, also of ids without a job.
    unreadable_jobs : set of str
        Ids of the jobs whose progress can't be read. Their tasks may have run, so they
        are not started.
    changed_workers, changed_jobs : set of str
        Workers and jobs that have changed since the last planning round.
    poll_candidates : set of str
        Workers that may have to be polled.
    workers_with_unsaved_ends : set of str
        Workers that reported ends of runs whose effect is not stored yet.
    stopping_tasks : dict
        Tasks with a stop order.
    broken_gangs : set of StepKey
        Gangs that have lost a gang member.
    jobs_with_unopened_occurrences : set of str
        Ids of the jobs with occurrences that have not been opened.
    pending_jobs : dict
        Queue of each job that has not begun, by job id.
    earlier_pending : dict or None
        Number of pending jobs of each queue as the earlier scheduler stored them, until
        the stored jobs are loaded; None after that.
    registered_count : int
        Number of jobs registered so far, accepted or restored.
    removals : RemovalState
        Ended jobs whose rows are being removed from the store.
    """

    epoch: int
    policy: BatchPolicy
    catalog: Catalog
    evacuated_data_centres: frozenset[str] = frozenset()
    workers: dict[str, Worker] = field(default_factory=dict)
    jobs: dict[str, Job] = field(default_factory=dict)
    unsaved_jobs: set[str] = field(default_factory=set)
    unsaved_stalls: set[str] = field(default_factory=set)
    jobs_with_stall_rows: set[str] = field(default_factory=set)
    cancellations: dict[str, Cancellation] = field(default_factory=dict)
    unreadable_jobs: set[str] = field(default_factory=set)
    changed_workers: set[str] = field(default_factory=set)
    changed_jobs: set[str] = field(default_factory=set)
    poll_candidates: set[str] = field(default_factory=set)
    workers_with_unsaved_ends: set[str] = field(default_factory=set)
    stopping_tasks: dict[TaskId, Task] = field(default_factory=dict)
    broken_gangs: set[StepKey] = field(default_factory=set)
    jobs_with_unopened_occurrences: set[str] = field(default_factory=set)
    pending_jobs: dict[str, str] = field(default_factory=dict)
    earlier_pending: dict[str, int] | None = None
    registered_count: int = 0
    removals: RemovalState = field(default_factory=RemovalState)
    fleet: FleetIndex = field(default_factory=FleetIndex)
    queue: UnitQueue = field(default_factory=UnitQueue)
    speeds: SpeedIndex = field(default_factory=SpeedIndex)
    interference: InterferenceTable = field(default_factory=InterferenceTable)

    def mark_worker_changed(self, name: str) -> None:
        """Mark a worker as changed for the next planning round and the next poll."""
        self.changed_workers.add(name)
        self.poll_candidates.add(name)


@dataclass(slots=True, frozen=True)
class StartTask:
    """Order to start a run of a task on a worker."""

    worker: str
    id: TaskId
    run: int
    payload: str
    checkpoint: str


@dataclass(slots=True, frozen=True)
class StopTask:
    """Order to stop a run of a task on a worker.

    Parameters
    ----------
    reason : StopReason or None
        Only for logs and metrics: two orders with different reasons are equal.
    stalled_ms : int or None
        For stalled runs, the time without progress on the worker's clock.
    """

    worker: str
    id: TaskId
    run: int
    reason: StopReason | None = field(default=None, compare=False)
    stalled_ms: int | None = field(default=None, compare=False)


class PaceChange(Enum):
    """Direction of a pace order; the values are log fields and metric labels."""

    LOWER = "lower"
    RAISE = "raise"
    REPEAT = "repeat"


@dataclass(slots=True, frozen=True)
class PaceTask:
    """Order to let a run work at a percentage of its full pace.

    Parameters
    ----------
    change : PaceChange or None
        Only for logs and metrics, like ``share``.
    share : float or None
        The worst tail beside the run as a share of its target; None if unknown.
    """

    worker: str
    id: TaskId
    run: int
    percent: int
    change: PaceChange | None = field(default=None, compare=False)
    share: float | None = field(default=None, compare=False)


Order = StartTask | StopTask | PaceTask
