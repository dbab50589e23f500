"""Answers about jobs: their state, and how many have not begun."""

from geraniumwell.model.batch.cluster import Cluster
from geraniumwell.model.batch.job import ENDED_STATES, Job, JobState


def get_state(job: Job) -> JobState:
    """Return the state that a job's caller is shown."""
    if job.state in ENDED_STATES:
        return job.state
    return JobState.RUNNING if job.has_begun else JobState.QUEUED


def count_pending(cluster: Cluster) -> dict[str, int]:
    """Return the number of jobs that have not begun, by queue."""
    pending: dict[str, int] = {}
    for job in cluster.jobs.values():
        if get_state(job) is JobState.QUEUED:
            pending[job.spec.queue] = pending.get(job.spec.queue, 0) + 1
    return pending
