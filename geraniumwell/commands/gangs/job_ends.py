"""Records that follow from a cancellation and from the end of an attempt."""

from dataclasses import dataclass, replace

from geraniumwell.model.gang_run import (
    AllFinished,
    GangOutcome,
    MemberFailed,
    MemberLost,
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
    """The job is cancelled already."""


@dataclass(slots=True, frozen=True)
class CancelByRecord:
    """The job is cancelled, or stops, once this record is written."""

    record: JobRecord


CancelDecision = CancelRefused | CancelDone | CancelByRecord


def decide_cancel(record: JobRecord | None, author: str, reason: str) -> CancelDecision:
    """Return what cancels a job in its present state."""
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
    """Return the record of a job whose tasks are being stopped."""
    return replace(
        record, state=JobState.STOPPING, after_stop=after_stop, reason=reason
    )


def record_end(
    record: JobRecord, outcome: GangOutcome, saved_seconds: float
) -> JobRecord:
    """Return the record of a job of whose attempt nothing runs any more."""
    saved = max(saved_seconds, record.saved_progress_seconds)
    record = replace(record, saved_progress_seconds=saved)
    match outcome:
        case AllFinished():
            return replace(record, state=JobState.FINISHED, reason="")
        case _ if record.state is JobState.STOPPING:
            return replace(record, state=record.after_stop)
        case MemberFailed(reason=reason) | MemberLost(reason=reason):
            return replace(record, state=JobState.ACCEPTED, reason=reason)
        case StoppedOnRequest(reason):
            return replace(record, state=JobState.ACCEPTED, reason=reason)
