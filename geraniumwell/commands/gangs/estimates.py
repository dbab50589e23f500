"""Estimates of run times and of the work that is lost when a job is stopped."""

from geraniumwell.commands.gangs.reclaim import reclaim_seconds
from geraniumwell.model.gang_view import GangView
from geraniumwell.model.job import Checkpointable, Job, JobRecord

# A job that has run past its declared time is expected to run as long again: with
# heavy-tailed run times the expected remaining time grows with the elapsed time.
OVERRUN_FACTOR = 2.0
# Accelerators that one core counts as when the sizes of jobs are compared.
CORE_WEIGHT = 0.02


def job_weight(job: Job) -> float:
    """Return the size of a job in accelerators, with its cores counted in."""
    shape = job.shape
    return shape.members * (shape.accelerators + CORE_WEIGHT * shape.cores)


def elapsed_seconds(view: GangView, job_id: str, now: float) -> float:
    """Return how long the current attempt of a job has run."""
    started = view.started_at.get(job_id)
    if started is not None:
        return max(0.0, now - started)
    reports = view.leases.list_by_job(job_id)
    return max((r.progress_seconds for r in reports), default=0.0)


def remaining_seconds(record: JobRecord) -> float:
    """Return how long a waiting job is expected to run."""
    declared = record.job.declared_seconds
    saved = record.saved_progress_seconds
    if saved >= declared:
        return saved * (OVERRUN_FACTOR - 1.0)
    return declared - saved


def predict_end(
    view: GangView, record: JobRecord, now: float, trust_declared: bool = False
) -> float:
    """Return when a running job is expected to end."""
    elapsed = elapsed_seconds(view, record.job.job_id, now)
    total = elapsed + record.saved_progress_seconds
    declared = record.job.declared_seconds
    if trust_declared:
        return now + max(0.0, declared - total)
    if total >= declared:
        return now + max(1.0, total * (OVERRUN_FACTOR - 1.0))
    return now + declared - total


def lost_work(view: GangView, job: Job, now: float) -> float:
    """Return the accelerator seconds of work lost when a running job is stopped.

    A checkpointable job loses twice its checkpoint time, any other job the whole run
    time of its attempt.
    """
    match job.interruption:
        case Checkpointable():
            lost = 2.0 * reclaim_seconds(job)
        case _:
            lost = elapsed_seconds(view, job.job_id, now) + 1.0
    return lost * job_weight(job)
