"""Reports the final state of each job once."""

from collections.abc import Iterable

from geraniumwell.helpers.batch_metrics import ENDED_JOBS, JOB_SECONDS
from geraniumwell.helpers.event_log import EVENT_LOG
from geraniumwell.model.batch.cluster import Cluster
from geraniumwell.model.batch.job import ENDED_STATES


class EndReporter:
    """Logs and counts final states of jobs once they are stored."""

    __slots__ = ("_reported",)

    def __init__(self) -> None:
        self._reported: set[str] = set()

    def report(self, cluster: Cluster, job_ids: Iterable[str]) -> None:
        """Report the jobs whose final state has just been stored."""
        for job_id in job_ids:
            job = cluster.jobs.get(job_id)
            if job is None or job.state not in ENDED_STATES:
                # The id of an ended job may be used again.
                self._reported.discard(job_id)
                continue
            if job_id in self._reported:
                continue
            self._reported.add(job_id)
            ENDED_JOBS.labels(job.state.value).inc()
            seconds = job.ended_at - job.spec.accepted_at
            JOB_SECONDS.labels(str(job.spec.priority)).observe(max(0.0, seconds))
            EVENT_LOG.write(
                "job_ended",
                job=job_id,
                queue=job.spec.queue,
                state=job.state.value,
                seconds=round(seconds, 3),
            )

    def forget(self, job_ids: Iterable[str]) -> None:
        """Forget jobs whose retention time is over."""
        self._reported.difference_update(job_ids)
