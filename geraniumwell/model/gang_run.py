"""State machine of one attempt of a gang job: phases, events, effects, outcomes."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum

from geraniumwell.model.worker import TaskLease, TaskReport


class GangPhase(StrEnum):
    """Phase of a gang attempt."""

    RESERVING = "reserving"
    STARTING = "starting"
    EXTENDING = "extending"
    RUNNING = "running"
    SAVING = "saving"
    STOPPING = "stopping"
    ENDED = "ended"


@dataclass(slots=True, frozen=True)
class AllFinished:
    """The tasks of all gang members finished."""


@dataclass(slots=True, frozen=True)
class GangMemberFailed:
    """The task of a gang member failed, so the others were stopped."""

    worker: str
    reason: str


@dataclass(slots=True, frozen=True)
class GangMemberLost:
    """A gang member was unreachable or lost its lease, so the others were stopped."""

    worker: str
    reason: str


@dataclass(slots=True, frozen=True)
class StoppedOnRequest:
    """The gang was stopped by a `StopRequested` event."""

    reason: str


GangOutcome = AllFinished | GangMemberFailed | GangMemberLost | StoppedOnRequest


@dataclass(slots=True, frozen=True)
class ReserveTask:
    """Ask the worker to reserve the lease for a short time."""

    lease: TaskLease


@dataclass(slots=True, frozen=True)
class StartTask:
    """Start the task of a reserved lease."""

    lease: TaskLease


@dataclass(slots=True, frozen=True)
class ExtendTask:
    """Extend the lease of a started task to the full lease time."""

    lease: TaskLease


@dataclass(slots=True, frozen=True)
class CheckpointTask:
    """Start a checkpoint of a task."""

    lease: TaskLease


@dataclass(slots=True, frozen=True)
class StopTask:
    """Stop the task and release its lease."""

    lease: TaskLease


@dataclass(slots=True, frozen=True)
class RecordRunning:
    """Record that all gang members run under full task leases."""


@dataclass(slots=True, frozen=True)
class RecordEnd:
    """Record that no gang member runs any more."""

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
    """The gang must stop; a checkpoint may take up to ``save_seconds``."""

    reason: str
    save_seconds: float = 0.0


@dataclass(slots=True, frozen=True)
class ClockTick:
    """Time has passed: unanswered calls are repeated, and overdue phases are ended."""


GangEvent = (
    TaskReported | TaskExtended | TaskMissing | CallFailed | StopRequested | ClockTick
)


@dataclass(slots=True, frozen=True)
class GangAttempt:
    """One attempt of a gang job.

    ``pending`` holds the leases whose current step is not confirmed, ``in_flight``
    those with a call in progress, and ``last_answer_at`` when the worker last confirmed
    each lease. ``saved_seconds`` is the checkpointed progress by lease. ``extended`` is
    whether full leases were requested. ``unanswered`` holds the leases with an
    unanswered call, which may still arrive at the worker. ``phase_started_at`` is when
    the phase began; starting, extending and running keep the time of the reservations.
    """

    job_id: str
    attempt: int
    leases: tuple[TaskLease, ...]
    phase: GangPhase
    phase_started_at: float
    pending: frozenset[str] = frozenset()
    in_flight: frozenset[str] = frozenset()
    ended: frozenset[str] = frozenset()
    finished: frozenset[str] = frozenset()
    last_answer_at: Mapping[str, float] = field(default_factory=dict)
    saved_seconds: Mapping[str, float] = field(default_factory=dict)
    extended: bool = False
    unanswered: frozenset[str] = frozenset()
    save_seconds: float = 0.0
    outcome: GangOutcome = AllFinished()

    def find(self, lease_id: str) -> TaskLease | None:
        """Return the lease with this id."""
        return next(
            (lease for lease in self.leases if lease.lease_id == lease_id), None
        )
