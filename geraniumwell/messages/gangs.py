"""Messages of the decider of gang jobs."""

from dataclasses import dataclass

from pykka import Future

from geraniumwell.model.job import Job, JobRecord


@dataclass(slots=True, frozen=True)
class JobAccepted:
    """The job is recorded; it will run as a whole gang or be reported as not run."""

    job_id: str


@dataclass(slots=True, frozen=True)
class JobRefused:
    """The job is not recorded and did not run."""

    job_id: str
    code: str
    reason: str


@dataclass(slots=True, frozen=True)
class JobOutcomeUnknown:
    """The platform gave no response, so the job may or may not be recorded."""

    job_id: str
    reason: str


SubmitResult = JobAccepted | JobRefused | JobOutcomeUnknown


@dataclass(slots=True, frozen=True)
class SubmitJob:
    """Asks to admit and record a job; repeating it with the same id has no effect."""

    job: Job
    reply: Future[SubmitResult]


@dataclass(slots=True, frozen=True)
class CancelJob:
    """Asks to cancel a job."""

    job_id: str
    author: str
    reason: str
    reply: Future[SubmitResult]


@dataclass(slots=True, frozen=True)
class JobExplanation:
    """Why a job is in its state, one fact per line."""

    record: JobRecord | None
    lines: tuple[str, ...]


@dataclass(slots=True, frozen=True)
class ListJobs:
    """Asks for all records that this decider knows."""

    reply: Future[tuple[JobRecord, ...]]


@dataclass(slots=True, frozen=True)
class ExplainJob:
    """Asks why a job is in its state."""

    job_id: str
    reply: Future[JobExplanation]


@dataclass(slots=True, frozen=True)
class DeciderElected:
    """This daemon is the decider of its data centre under an epoch."""

    epoch: int


@dataclass(slots=True, frozen=True)
class DeciderRetired:
    """This daemon is no longer the decider; it must start and stop nothing."""

    epoch: int
