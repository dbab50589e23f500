"""Job records that follow from a cancellation or from the end of an attempt."""

from dataclasses import dataclass, replace

from geraniumwell.model.gang_run import (
    AllFinished,
    GangMemberFailed,
    GangMemberLost,
    GangOutcome,
    StoppedOnRequest,
)
from geraniumwell.model.job import JobRecord, JobState

ENDED_JOB_STATES = (
    JobState.FINISHED,
    JobState.FAILED,
    JobState.CANCELLED,
    JobState.NOT_RUN,
)


@dataclass(slots=True, frozen=True)
class CancelRefused:
    """The job can't be cancelled."""

    code: str
    reason: str


@dataclass(slots=True, frozen=True)
class CancelDone:
    """The job was already cancelled, so nothing changes."""


@dataclass(slots=True, frozen=True)
class CancelByRecord:
    """Writing this record cancels the job, or stops it first if it has tasks."""

    record: JobRecord


CancelDecision = CancelRefused | CancelDone | CancelByRecord


def decide_cancel(record: JobRecord | None, author: str, reason: str) -> CancelDecision:
    """Return how to cancel a job in its current state."""
    if record is None:
        return CancelRefused("job_unknown", "no such job is recorded")
    if record.state is JobState.CANCELLED:
        return CancelDone()
    if record.state in ENDED_JOB_STATES:
        return CancelRefused("job_ended", f"the job has ended as {record.state}")
    text = f"cancelled by {author}: {reason}"
    if record.state is JobState.ACCEPTED:
        return CancelByRecord(replace(record, state=JobState.CANCELLED, reason=text))
    return CancelByRecord(begin_stop(record, JobState.CANCELLED, text))


def begin_stop(record: JobRecord, after_stop: JobState, reason: str) -> JobRecord:
    """Return the record of a job whose tasks are to be stopped."""
    return replace(
        record, state=JobState.STOPPING, after_stop=after_stop, reason=reason
    )


def record_end(
    record: JobRecord, outcome: GangOutcome, saved_seconds: float
) -> JobRecord:
    """Return the record of a job after all tasks of its attempt have ended."""
    saved = max(saved_seconds, record.saved_progress_seconds)
    record = replace(record, saved_progress_seconds=saved)
    match outcome:
        case AllFinished():
            return replace(record, state=JobState.FINISHED, reason="")
        case _ if record.state is JobState.STOPPING:
            return replace(record, state=record.after_stop)
        case GangMemberFailed(reason=reason) | GangMemberLost(reason=reason):
            return replace(record, state=JobState.ACCEPTED, reason=reason)
        case StoppedOnRequest(reason):
            return replace(record, state=JobState.ACCEPTED, reason=reason)
