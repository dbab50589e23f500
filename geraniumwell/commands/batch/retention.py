"""Removes ended jobs from the store, and only then from the state of the scheduler.

A row of the job table that the scheduler doesn't know counts as a new job. Removals may
fail, may be executed late, and a read that began before may still return the row. So an
ended job stays known until the feed of the job table has shown that its row is gone and
the removal of its progress is confirmed.

A cancellation has a retention time of its own: another submission of its job, or one to
another queue, may still be stored late when the job that is known is removed.
"""

from collections.abc import Collection, Iterable, Set

from geraniumwell.model.batch.cancellation import Cancellation
from geraniumwell.model.batch.cluster import Cluster
from geraniumwell.model.batch.job import ENDED_STATES, Job
from geraniumwell.model.batch.removal import ExpiredJob

# Bounds the time for which a request occupies the connection.
JOBS_PER_REQUEST = 100
RETRY_SECONDS = 5.0


def request_removals(
    cluster: Cluster, uncommitted: Set[str], now: float, wall_now: float
) -> tuple[ExpiredJob, ...]:
    """Return the jobs whose rows are to be removed next, and mark them as requested.

    Parameters
    ----------
    uncommitted : set of str
        Ids of the jobs whose progress is in a transaction without confirmation.
    now, wall_now : float
        Present ``boottime_seconds``, and Unix time in seconds.
    """
    state = cluster.removals
    if state.in_flight or now < state.retry_at:
        return ()
    known = state.requested | state.removed
    expired = {
        job_id: cancellation.version
        for job_id, cancellation in cluster.cancellations.items()
        if is_cancellation_expired(cluster, cancellation, wall_now)
    }
    cancellations = [
        ExpiredJob(job_id, 0, version)
        for job_id, version in expired.items()
        if job_id not in cluster.jobs and job_id not in known
    ]
    jobs = [
        ExpiredJob(job_id, job.version, expired.get(job_id, 0))
        for job_id, job in cluster.jobs.items()
        if job_id not in known
        and job_id not in uncommitted
        and is_expired(cluster, job, wall_now)
    ]
    chosen = tuple([*jobs, *cancellations][:JOBS_PER_REQUEST])
    state.in_flight = frozenset(job.id for job in chosen)
    state.requested |= state.in_flight
    return chosen


def is_expired(cluster: Cluster, job: Job, wall_now: float) -> bool:
    """Return whether a job is stored as ended, and twice the retention time is over."""
    return (
        job.state in ENDED_STATES
        and wall_now - job.ended_at > cluster.policy.result_seconds * 2
        and job.spec.id not in cluster.unsaved_jobs
        # A worker that never ends a stopped run still reports it.
        and not any(task.worker for step in job.steps.values() for task in step.tasks)
    )


def is_cancellation_expired(
    cluster: Cluster, cancellation: Cancellation, wall_now: float
) -> bool:
    """Return whether twice the retention time of a cancellation is over.

    Submissions that are stored late arrive within seconds.
    """
    age = wall_now - cancellation.cancelled_at
    return age > cluster.policy.result_seconds * 2


def record_removals(cluster: Cluster, removed: Collection[str], now: float) -> None:
    """Record the result of a request; removals without a result are made again later.

    Parameters
    ----------
    removed : collection of str
        Ids of the jobs whose rows are gone by this request or by an earlier one.
    """
    state = cluster.removals
    failed = state.in_flight.difference(removed)
    state.in_flight = frozenset()
    state.requested -= failed
    if failed:
        state.retry_at = now + RETRY_SECONDS


def record_removed_row(cluster: Cluster, job_id: str, version: int) -> None:
    """Record that the row of a job was removed at a version of the store.

    A former leader may have asked for it, so the removal need not be requested here.
    """
    cluster.unreadable_jobs.discard(job_id)
    job = cluster.jobs.get(job_id)
    if job is not None and job.version < version:
        _mark_removed(cluster, job)


def record_all_rows(cluster: Cluster, present: Set[str]) -> None:
    """Record which jobs have a row in a later, complete read of the job table.

    The caller applies the rows after this, and with them the cancellations.
    """
    for job_id in list(cluster.cancellations):
        _forget_cancellation(cluster, job_id)
    for job_id, job in cluster.jobs.items():
        if job_id not in present:
            _mark_removed(cluster, job)


def _mark_removed(cluster: Cluster, job: Job) -> None:
    if job.state in ENDED_STATES:
        cluster.removals.requested.discard(job.spec.id)
        cluster.removals.removed.add(job.spec.id)


def record_removed_cancellation(cluster: Cluster, job_id: str, version: int) -> None:
    """Record that the cancellation of a job id was removed at a version of the store.

    After a complete read the feed may report a removal that is older than the row.
    """
    cancellation = cluster.cancellations.get(job_id)
    if cancellation is not None and cancellation.version < version:
        _forget_cancellation(cluster, job_id)


def _forget_cancellation(cluster: Cluster, job_id: str) -> None:
    del cluster.cancellations[job_id]
    if job_id not in cluster.jobs:
        cluster.removals.requested.discard(job_id)


def record_orphans(cluster: Cluster, job_ids: Iterable[str]) -> None:
    """Record the stored progress of jobs whose rows a former leader has removed."""
    cluster.removals.removed.update(job_ids)


def is_new_row(cluster: Cluster, job_id: str, version: int) -> bool:
    """Return whether a row of the job table holds a job that isn't known yet.

    The id of an ended job may be used again once its row was removed.
    """
    if job_id in cluster.unreadable_jobs:
        return False
    job = cluster.jobs.get(job_id)
    return job is None or (job.state in ENDED_STATES and job.version < version)


def release_job_id(cluster: Cluster, job_id: str) -> bool:
    """Forget the ended job whose id a new one uses.

    Return whether progress of the ended job may still be stored; the progress of the
    new job has to replace it.
    """
    state = cluster.removals
    has_progress = job_id in cluster.jobs or job_id in state.removed
    cluster.jobs.pop(job_id, None)
    state.requested.discard(job_id)
    state.removed.discard(job_id)
    return has_progress


def forget_jobs(cluster: Cluster, job_ids: Iterable[str]) -> None:
    """Forget the jobs whose progress was removed, unless their ids are in use again."""
    for job_id in cluster.removals.removed.intersection(job_ids):
        cluster.removals.removed.discard(job_id)
        cluster.jobs.pop(job_id, None)
        cluster.unsaved_jobs.discard(job_id)
        cluster.unsaved_stalls.discard(job_id)
        cluster.jobs_with_stall_rows.discard(job_id)
