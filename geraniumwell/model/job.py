"""Gang jobs and their shapes.

Variants of a union are tagged structs, because the encoding of a union needs the
name of the variant.
"""

from dataclasses import dataclass
from enum import StrEnum

from msgspec import Struct


class SameWorker(Struct, frozen=True, tag=True):
    """All gang members run on one worker."""


class SameRack(Struct, frozen=True, tag=True):
    """All gang members run in one rack."""


class SameDataCentre(Struct, frozen=True, tag=True):
    """The gang members may run anywhere in one data centre."""


Spread = SameWorker | SameRack | SameDataCentre


@dataclass(slots=True, frozen=True)
class Shape:
    """Resources of a gang; all counts except ``members`` are per member."""

    members: int
    accelerators: int
    cores: int = 1
    memory_gb: int = 1
    spread: Spread = SameDataCentre()


class Stoppable(Struct, frozen=True, tag=True):
    """The job may be stopped at any time; its work since the start is lost."""

    stop_seconds: float = 1.0


class Checkpointable(Struct, frozen=True, tag=True):
    """The job can save its progress within ``checkpoint_seconds``."""

    checkpoint_seconds: float


class Uninterruptible(Struct, frozen=True, tag=True):
    """The job must not be stopped before it ends."""


Interruption = Stoppable | Checkpointable | Uninterruptible


class JobState(StrEnum):
    """Recorded state of a job."""

    ACCEPTED = "accepted"
    STARTING = "starting"
    RUNNING = "running"
    STOPPING = "stopping"
    FINISHED = "finished"
    FAILED = "failed"
    CANCELLED = "cancelled"
    NOT_RUN = "not_run"


@dataclass(slots=True, frozen=True)
class Job:
    """An accepted gang job; times are Unix seconds."""

    job_id: str
    organisation: str
    data_centre: str
    shape: Shape
    declared_seconds: float
    interruption: Interruption
    submitted_at: float
    urgent: bool = False
    guaranteed: bool = False


@dataclass(slots=True, frozen=True)
class JobRecord:
    """A job with its recorded state, as stored in the platform's table.

    ``epoch`` is the epoch of the decider that wrote the record. ``after_stop`` is the
    state of a stopping job once none of its tasks runs any more.
    """

    job: Job
    state: JobState
    attempt: int = 0
    epoch: int = 0
    reason: str = ""
    saved_progress_seconds: float = 0.0
    after_stop: JobState = JobState.ACCEPTED
