"""State of jobs, and the number of jobs that have not begun."""

from collections import Counter

from geraniumwell.model.batch.cluster import Cluster
from geraniumwell.model.batch.job import ENDED_STATES, Job, JobState


def get_state(job: Job) -> JobState:
    """Return the state of a job as reported to its caller."""
    if job.state in ENDED_STATES:
        return job.state
    return JobState.RUNNING if job.has_begun else JobState.QUEUED


def count_pending(cluster: Cluster) -> dict[str, int]:
    """Return the number of jobs that have not begun, by queue."""
    if cluster.earlier_pending is not None:
        return cluster.earlier_pending
    return dict(Counter(cluster.pending_jobs.values()))
