"""Order in which waiting jobs are tried."""

from geraniumwell.commands.gangs.estimates import job_weight, remaining_seconds
from geraniumwell.commands.gangs.policy import AgedOrder, FifoOrder, Order
from geraniumwell.model.gang_view import GangView
from geraniumwell.model.job import Job, JobRecord, JobState

# Keeps the ratio finite for jobs that declare next to nothing.
SHORTEST_SECONDS = 10.0


def order_queue(view: GangView, order: Order, now: float) -> list[JobRecord]:
    """Return the waiting jobs: claims, then urgent jobs, then the rest in order."""
    waiting = [
        record
        for job_id, record in view.jobs.items()
        if record.state is JobState.ACCEPTED
        and not view.leases.holds(job_id)
        and job_id not in view.health.bad_jobs
    ]
    match order:
        case FifoOrder():
            waiting.sort(key=lambda r: (r.job.submitted_at, r.job.job_id))
        case AgedOrder(age_factor=factor):
            waiting.sort(key=lambda r: aged_key(r, factor, now))
    return waiting


def aged_key(
    record: JobRecord, factor: float, now: float
) -> tuple[int, float, float, str]:
    """Return the sort key of a job under ageing.

    The ratio of waiting time to expected work rises fastest for small jobs and
    without bound for all, so none starves.
    """
    job = record.job
    rank = urgency_rank(job)
    if rank < 2:
        return (rank, 0.0, job.submitted_at, job.job_id)
    work = max(SHORTEST_SECONDS, remaining_seconds(record)) * job_weight(job)
    wait = max(0.0, now - job.submitted_at)
    ratio = (SHORTEST_SECONDS + factor * wait) / max(work, SHORTEST_SECONDS)
    return (rank, -ratio, job.submitted_at, job.job_id)


def urgency_rank(job: Job) -> int:
    """Return 0 for claims, 1 for urgent jobs and 2 for the rest."""
    if job.guaranteed:
        return 0
    return 1 if job.urgent else 2
