"""All that the scheduler of a deployment knows."""

from dataclasses import dataclass, field

from geraniumwell.model.batch.capacity import FleetIndex
from geraniumwell.model.batch.catalog import Catalog
from geraniumwell.model.batch.job import Job, Task, TaskId
from geraniumwell.model.batch.unit import StepKey, UnitQueue
from geraniumwell.model.batch.worker import Worker


@dataclass(slots=True, frozen=True)
class BatchPolicy:
    """Bounds that the platform sets, in seconds unless named otherwise.

    Parameters
    ----------
    lease_limit : float
        Longest lease that a worker grants.
    result_seconds : float
        How long the state of an ended job is kept.
    far_factor : float
        How many times as long a task takes away from its rack.
    """

    lease_limit: float = 10.0
    result_seconds: float = 120.0
    far_factor: float = 3.0


@dataclass(slots=True)
class Cluster:
    """State of the scheduler; owned by one actor.

    Parameters
    ----------
    epoch : int
        Fencing token of this scheduler.
    evacuated : frozenset of str
        Data centres whose workers get no new tasks.
    changed : set of str
        Jobs whose progress is not stored yet.
    early_cancels : set of str
        Cancelled jobs whose definition was not seen yet.
    touched_workers, touched_jobs : set of str
        Workers and jobs that have changed since the last round of planning.
    poll_candidates : set of str
        Workers for which it is to be decided whether they are looked at.
    unsaved : set of str
        Workers with ends whose effect is not stored yet.
    stopping : dict
        Tasks that a stop was ordered for.
    broken : set of StepKey
        Gangs that have lost a member.
    unopened : set of str
        Jobs with occurrences whose time has not come.
    pending : dict
        Queue of each job that has not begun, by the job's id.
    taken_up : int
        Number of jobs that were taken up so far.
    """

    epoch: int
    policy: BatchPolicy
    catalog: Catalog
    evacuated: frozenset[str] = frozenset()
    workers: dict[str, Worker] = field(default_factory=dict)
    jobs: dict[str, Job] = field(default_factory=dict)
    changed: set[str] = field(default_factory=set)
    early_cancels: set[str] = field(default_factory=set)
    touched_workers: set[str] = field(default_factory=set)
    touched_jobs: set[str] = field(default_factory=set)
    poll_candidates: set[str] = field(default_factory=set)
    unsaved: set[str] = field(default_factory=set)
    stopping: dict[TaskId, Task] = field(default_factory=dict)
    broken: set[StepKey] = field(default_factory=set)
    unopened: set[str] = field(default_factory=set)
    pending: dict[str, str] = field(default_factory=dict)
    taken_up: int = 0
    fleet: FleetIndex = field(default_factory=FleetIndex)
    queue: UnitQueue = field(default_factory=UnitQueue)

    def touch_worker(self, name: str) -> None:
        """Note that a worker, or what runs there, has changed."""
        self.touched_workers.add(name)
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
    """Order to stop a run of a task on a worker."""

    worker: str
    id: TaskId
    run: int


Order = StartTask | StopTask
