"""Batch jobs as handed in, and their progress."""

from dataclasses import dataclass, field
from enum import Enum

from geraniumwell.model.batch.resources import Resources


@dataclass(slots=True, frozen=True)
class TaskId:
    """Name of a task; ``occurrence`` counts the runs of a job on a clock."""

    job: str
    occurrence: int
    step: int
    index: int


@dataclass(slots=True, frozen=True)
class StepSpec:
    """A step of a job: alike tasks that may start once earlier steps are done.

    Parameters
    ----------
    after : tuple of int
        Numbers of the steps that must be done first.
    label : str
        Label that a worker must have; empty if any worker will do.
    rack : str
        Rack with the step's data; empty if there is none.
    max_per_worker : int
        Most tasks of the step on one worker; 0 if there is no limit.
    """

    count: int
    needs: Resources
    estimate_seconds: float
    after: tuple[int, ...] = ()
    is_gang: bool = False
    is_same_rack: bool = False
    is_long_running: bool = False
    is_filler: bool = False
    has_checkpoints: bool = False
    label: str = ""
    rack: str = ""
    max_per_worker: int = 0
    target_ms: int = 0


@dataclass(slots=True, frozen=True)
class JobSpec:
    """A job as its caller handed it in, with what its queue said at that time.

    Parameters
    ----------
    payload : str
        Text that is passed to each task.
    accepted_at : float
        Unix time of acceptance, in seconds.
    first_due : float
        Unix time at which the first occurrence may start.
    occurrences : int
        Number of times that the steps run; 1 for a job that is not on a clock.
    """

    id: str
    queue: str
    organisation: str
    service: str
    priority: int
    max_attempts: int
    payload: str
    steps: tuple[StepSpec, ...]
    accepted_at: float
    target_seconds: float
    stretch: float
    is_timed: bool = False
    first_due: float = 0.0
    period_seconds: float = 0.0
    occurrences: int = 1


class JobState(Enum):
    """State of a job as its caller sees it."""

    QUEUED = "queued"
    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"
    CANCELLED = "cancelled"


class Phase(Enum):
    """Phase of one task."""

    WAITING = 0
    STARTING = 1
    RUNNING = 2
    STOPPING = 3
    DONE = 4
    FAILED = 5


ENDED_STATES = (JobState.DONE, JobState.FAILED, JobState.CANCELLED)
PLACED_PHASES = (Phase.STARTING, Phase.RUNNING, Phase.STOPPING)


@dataclass(slots=True)
class Task:
    """Progress of one task.

    Parameters
    ----------
    run : int
        Number of the last start; 0 before the first one.
    failures : int
        Runs that ended as failed.
    start_settled_at : float or None
        Time from which a worker that does not list the run no longer has it. None
        while a start may still take effect.
    is_start_sent : bool
        Whether the start was sent; before that only the plan knows of it.
    progress : int
        Percent of the work done, as the worker last told.
    progressed_at : float
        Time at which ``progress`` last changed.
    progressed_clock_ms : int or None
        The worker's clock when it first listed ``progress``; None before the first
        report of the run.
    stopped_at : float or None
        Time of the last stop order of this run.
    """

    id: TaskId
    phase: Phase = Phase.WAITING
    run: int = 0
    failures: int = 0
    worker: str = ""
    checkpoint: str = ""
    start_settled_at: float | None = None
    is_start_sent: bool = False
    started_at: float = 0.0
    progress: int = 0
    progressed_at: float = 0.0
    progressed_clock_ms: int | None = None
    stopped_at: float | None = None
    failed_on: tuple[str, ...] = ()


@dataclass(slots=True)
class StepRun:
    """Progress of one step of one occurrence.

    Parameters
    ----------
    waiting_since : float
        Time from which the step could have started; 0 before.
    broken_at : float
        Time at which the present run of a gang lost its first member; 0 before.
    """

    spec: StepSpec
    occurrence: int
    step: int
    tasks: list[Task]
    gang_failures: int = 0
    failed_run: int = 0
    waiting_since: float = 0.0
    broken_at: float = 0.0

    def is_done(self) -> bool:
        """Tell whether all tasks have ended as done."""
        return all(task.phase is Phase.DONE for task in self.tasks)


@dataclass(slots=True)
class Job:
    """Progress of one job.

    Parameters
    ----------
    finished_occurrences : set of int
        Occurrences whose steps are all done; they are no longer kept in ``steps``.
    has_begun : bool
        Whether any task was ever started.
    ended_at : float
        Unix time at which the job ended; 0 while it lasts.
    sequence : int
        Rises with each job that a scheduler takes up; settles ties.
    """

    spec: JobSpec
    state: JobState = JobState.QUEUED
    steps: dict[tuple[int, int], StepRun] = field(default_factory=dict)
    finished_occurrences: set[int] = field(default_factory=set)
    opened_occurrences: int = 0
    has_begun: bool = False
    ended_at: float = 0.0
    sequence: int = 0


def open_occurrence(job: Job, occurrence: int) -> None:
    """Make the steps of one occurrence."""
    for number, spec in enumerate(job.spec.steps):
        tasks = [
            Task(TaskId(job.spec.id, occurrence, number, index))
            for index in range(spec.count)
        ]
        job.steps[occurrence, number] = StepRun(spec, occurrence, number, tasks)
