"""Batch jobs as submitted, and their progress."""

from dataclasses import dataclass, field
from enum import Enum

from geraniumwell.model.batch.resources import Resources


@dataclass(slots=True, frozen=True)
class TaskId:
    """Identifier of a task; ``occurrence`` counts the repetitions of a timed job."""

    job: str
    occurrence: int
    step: int
    index: int


@dataclass(slots=True, frozen=True)
class StepSpec:
    """A step of a job: identical tasks that start once earlier steps are done.

    Parameters
    ----------
    count : int
        Number of tasks.
    needs : Resources
        Resources of one task.
    after : tuple of int
        Numbers of the steps that must be done first.
    is_gang : bool
        Whether all tasks run at the same time or not at all.
    is_same_rack : bool
        Whether the tasks run fastest inside one rack.
    is_long_running : bool
        Whether the tasks run without an end of their own.
    is_filler : bool
        Whether the tasks use only spare processor time.
    label : str
        Label that a worker must have; empty if any worker is suitable.
    rack : str
        Rack with the step's data; empty if there is none.
    max_per_worker : int
        Maximum number of tasks of the step on one worker; 0 if there is no limit.
    target_ms : int
        Latency target of tasks that serve users; 0 if there is none.
    image : str
        Name of the program that the tasks run; empty if it is not given. Tasks of the
        same image behave alike.
    may_miss : int
        Number of tasks with a latency target that may be unavailable at a time.
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
    image: str = ""
    may_miss: int = 0


@dataclass(slots=True, frozen=True)
class JobSpec:
    """A submitted job, with the settings of its queue at that time.

    Parameters
    ----------
    payload : str
        Text that is passed to each task.
    accepted_at : float
        Unix time of acceptance, in seconds.
    first_due : float
        Unix time at which the first occurrence may start.
    occurrences : int
        Number of times that the steps run; 1 for a job that is not timed.
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
    """State of a job as reported to its caller."""

    QUEUED = "queued"
    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"
    CANCELLED = "cancelled"


class Phase(Enum):
    """Phase of one task; the values are stored."""

    WAITING = 0
    STARTING = 1
    RUNNING = 2
    STOPPING = 3
    DONE = 4
    FAILED = 5


class StopReason(Enum):
    """Why a run is stopped; the values are log fields and metric labels."""

    STALLED = "stalled"
    PREEMPTED = "preempted"
    JOB_CANCELLED = "cancelled"
    JOB_FAILED = "failed"
    GANG_BROKEN = "gang_broken"
    UNKNOWN_RUN = "unknown_run"
    START_FAILED = "unanswered_start"
    WORKER_LEAVING = "evacuated"
    DISTURBING = "disturbing"
    RESTORED = "restored"


ENDED_STATES = (JobState.DONE, JobState.FAILED, JobState.CANCELLED)
PLACED_PHASES = (Phase.STARTING, Phase.RUNNING, Phase.STOPPING)


@dataclass(slots=True)
class Task:
    """Progress of one task.

    Parameters
    ----------
    run : int
        Number of the latest run; 0 before the first start.
    failures : int
        Number of runs that ended as failed.
    start_settled_at : float or None
        Time at which the outcome of the start was known. A worker that is polled later
        and does not report the run no longer has it. None while the start may still
        take effect.
    is_start_sent : bool
        Whether the start order was sent; before that it exists only in the plan.
    progress : int
        Percentage of the work done, as last reported by the worker.
    progressed_at : float
        Time at which ``progress`` last changed.
    progressed_clock_ms : int or None
        The worker's clock when it first reported ``progress``; None before the first
        report of the run.
    base_progress, base_clock_ms : int, int or None
        The first percentage above 0 that the worker reported for this run, and its
        clock at that time. The rate of the run is measured from there.
    has_speed_sample : bool
        Whether the rate of this run already counts for the speed of its worker.
    stopped_at : float or None
        Time of the latest stop order for this run.
    stop_reason : StopReason or None
        Why this run is stopped; None if it is not.
    failed_on : tuple of str
        Workers on which runs of the task failed.
    usage : int or None
        Latest usage that the worker reported for this run, None if it reported none.
    pace : int or None
        Percentage of its full pace that was last ordered for this run; None after a
        takeover, which does not know it.
    is_pace_confirmed : bool
        Whether the worker has confirmed ``pace``.
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
    base_progress: int = 0
    base_clock_ms: int | None = None
    has_speed_sample: bool = False
    stopped_at: float | None = None
    stop_reason: StopReason | None = None
    failed_on: tuple[str, ...] = ()
    usage: int | None = None
    pace: int | None = 100
    is_pace_confirmed: bool = True


@dataclass(slots=True)
class StepRun:
    """Progress of one step of one occurrence.

    Parameters
    ----------
    gang_failures : int
        Number of gang runs that failed.
    failed_run : int
        Number of the last gang run that was counted as failed.
    waiting_since : float
        Time from which the step could have started; 0 before that.
    broken_at : float
        Time at which the current run of a gang lost its first gang member; 0 before
        that.
    stalls : int
        Number of times that the step was stopped because it stood still.
    stall_suspects : tuple of str
        Workers that took part in each of these stalls, and may be at fault.
    stalled_at : float
        Time of the last stall; 0 before the first one, and after a takeover.
    former_workers : tuple of str
        Workers of the members of a gang that has to stop and will start again; one
        entry for each member that has ended.
    resumed_since : float
        Time from which the gang waits to start again; 0 if it does not.
    """

    spec: StepSpec
    occurrence: int
    step: int
    tasks: list[Task]
    gang_failures: int = 0
    failed_run: int = 0
    waiting_since: float = 0.0
    broken_at: float = 0.0
    stalls: int = 0
    stall_suspects: tuple[str, ...] = ()
    stalled_at: float = 0.0
    former_workers: tuple[str, ...] = ()
    resumed_since: float = 0.0

    def is_done(self) -> bool:
        """Return whether all tasks have ended as done."""
        return all(task.phase is Phase.DONE for task in self.tasks)


@dataclass(slots=True)
class Job:
    """Progress of one job.

    Parameters
    ----------
    steps : dict
        Steps of the opened occurrences, by number of the occurrence and of the step.
    finished_occurrences : set of int
        Occurrences whose steps are all done.
    opened_occurrences : int
        Number of occurrences whose steps have been created.
    has_begun : bool
        Whether a worker has begun any task.
    ended_at : float
        Unix time at which the job ended; 0 before that.
    sequence : int
        Position in the order in which the scheduler accepted the jobs; breaks ties.
    version : int
        Version of the job's row in the store.
    """

    spec: JobSpec
    state: JobState = JobState.QUEUED
    steps: dict[tuple[int, int], StepRun] = field(default_factory=dict)
    finished_occurrences: set[int] = field(default_factory=set)
    opened_occurrences: int = 0
    has_begun: bool = False
    ended_at: float = 0.0
    sequence: int = 0
    version: int = 0


def open_occurrence(job: Job, occurrence: int) -> None:
    """Create the steps of one occurrence."""
    for number, spec in enumerate(job.spec.steps):
        tasks = [
            Task(TaskId(job.spec.id, occurrence, number, index))
            for index in range(spec.count)
        ]
        job.steps[occurrence, number] = StepRun(spec, occurrence, number, tasks)
