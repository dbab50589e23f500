"""One attempt of a gang job: its phases, events, effects and outcomes."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum

from geraniumwell.model.worker import TaskLease, TaskReport


class Phase(StrEnum):
    """Step that a gang is in."""

    RESERVING = "reserving"
    STARTING = "starting"
    EXTENDING = "extending"
    RUNNING = "running"
    SAVING = "saving"
    STOPPING = "stopping"
    ENDED = "ended"


@dataclass(slots=True, frozen=True)
class AllFinished:
    """Every member ran to its end."""


@dataclass(slots=True, frozen=True)
class MemberFailed:
    """A task failed, so the others were stopped."""

    worker: str
    reason: str


@dataclass(slots=True, frozen=True)
class MemberLost:
    """A member could not be reached or kept, so the others were stopped."""

    worker: str
    reason: str


@dataclass(slots=True, frozen=True)
class StoppedOnRequest:
    """The whole gang was stopped."""

    reason: str


GangOutcome = AllFinished | MemberFailed | MemberLost | StoppedOnRequest


@dataclass(slots=True, frozen=True)
class ReserveTask:
    """Reserve the lease for a short time."""

    lease: TaskLease


@dataclass(slots=True, frozen=True)
class StartTask:
    """Start the task of a reserved lease."""

    lease: TaskLease


@dataclass(slots=True, frozen=True)
class ExtendTask:
    """Let the lease of a started task run for the long time."""

    lease: TaskLease


@dataclass(slots=True, frozen=True)
class CheckpointTask:
    """Begin to save the progress of a task."""

    lease: TaskLease


@dataclass(slots=True, frozen=True)
class StopTask:
    """End a lease for good."""

    lease: TaskLease


@dataclass(slots=True, frozen=True)
class RecordRunning:
    """All members run under long leases."""


@dataclass(slots=True, frozen=True)
class RecordEnd:
    """No member runs any more."""

    outcome: GangOutcome
    saved_seconds: float


TaskEffect = ReserveTask | StartTask | ExtendTask | CheckpointTask | StopTask
GangEffect = TaskEffect | RecordRunning | RecordEnd


@dataclass(slots=True, frozen=True)
class TaskReported:
    """A worker answered a call with the state of a lease."""

    report: TaskReport


@dataclass(slots=True, frozen=True)
class TaskExtended:
    """A worker extended the lease."""

    lease_id: str


@dataclass(slots=True, frozen=True)
class TaskMissing:
    """A worker does not hold the lease."""

    lease_id: str


@dataclass(slots=True, frozen=True)
class CallFailed:
    """A call for the lease got no answer; it may have taken effect if it was sent."""

    lease_id: str
    was_sent: bool = True


@dataclass(slots=True, frozen=True)
class StopRequested:
    """The gang is to be stopped, after ``save_seconds`` for a checkpoint."""

    reason: str
    save_seconds: float = 0.0


@dataclass(slots=True, frozen=True)
class ClockTick:
    """Repeat what got no answer, and give up what took too long."""


GangEvent = (
    TaskReported | TaskExtended | TaskMissing | CallFailed | StopRequested | ClockTick
)


@dataclass(slots=True, frozen=True)
class GangAttempt:
    """One attempt of a job.

    ``pending`` holds the leases whose step is not confirmed, ``in_flight`` those with
    a call under way, ``heard`` when a worker last confirmed to hold the lease.
    ``extended`` tells whether long leases were asked for, and ``unsure`` holds the
    leases of which a call got no answer, so that it may still arrive.
    """

    job_id: str
    attempt: int
    leases: tuple[TaskLease, ...]
    phase: Phase
    since: float
    pending: frozenset[str] = frozenset()
    in_flight: frozenset[str] = frozenset()
    ended: frozenset[str] = frozenset()
    finished: frozenset[str] = frozenset()
    heard: Mapping[str, float] = field(default_factory=dict)
    saved: Mapping[str, float] = field(default_factory=dict)
    extended: bool = False
    unsure: frozenset[str] = frozenset()
    save_seconds: float = 0.0
    outcome: GangOutcome = AllFinished()

    def find(self, lease_id: str) -> TaskLease | None:
        """Return the lease with this id."""
        return next((ls for ls in self.leases if ls.lease_id == lease_id), None)
