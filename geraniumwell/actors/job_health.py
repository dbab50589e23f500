"""Health of workers and jobs derived from the outcomes of gangs, and retry delays.

Part of the decider's state; used by the decider's thread only.
"""

from collections.abc import Mapping
from dataclasses import replace

from loguru import logger

from geraniumwell.actors.worker_pool import WorkerPool
from geraniumwell.commands.gangs.health import (
    drop_key,
    record_failure,
    record_job_end,
    record_probe,
    record_success,
)
from geraniumwell.model.gang_run import (
    AllFinished,
    GangAttempt,
    GangMemberFailed,
    GangMemberLost,
    GangOutcome,
)
from geraniumwell.model.gang_view import HealthState
from geraniumwell.model.instant import Instant

# Without a delay, a gang that can't start would be retried with every plan.
MIN_RETRY_SECONDS = 0.5
MAX_RETRY_SECONDS = 30.0
# After this many failed attempts a job counts as bad. Comparing workers shows nothing
# once every worker that fits the job has failed it.
FAILED_ATTEMPTS_LIMIT = 5
AVOIDANCE_SECONDS = 10.0


class JobHealth:
    """Keeps the failures of jobs and workers and the retry delays of jobs."""

    __slots__ = ("_pool", "_retries", "_retry_at", "_failures", "_failed_at", "state")

    def __init__(self, pool: WorkerPool) -> None:
        self._pool = pool
        self._retries: dict[str, int] = {}
        self._retry_at: dict[str, float] = {}
        self._failures: dict[str, int] = {}
        self._failed_at: dict[str, float] = {}
        self.state = HealthState()

    def list_delayed(self, jobs: Mapping[str, object], now: float) -> set[str]:
        """Return the jobs whose retry is not due yet."""
        return {j for j, due in self._retry_at.items() if due > now and j in jobs}

    def record_outcome(
        self, gang: GangAttempt, outcome: GangOutcome, at: Instant
    ) -> None:
        """Record the outcome of an attempt."""
        match outcome:
            case AllFinished():
                for worker in {lease.worker for lease in gang.leases}:
                    self.state = record_success(
                        self.state, gang.job_id, worker, at.wall
                    )
            case GangMemberLost(worker):
                self._pool.back_off(worker, at.monotonic)
                self._delay(gang.job_id, at.monotonic)
            case GangMemberFailed(worker):
                self.state = record_failure(self.state, gang.job_id, worker, at.wall)
                self._delay(gang.job_id, at.monotonic)
                self._count_failure(gang.job_id, worker, at.monotonic)

    def _delay(self, job_id: str, now: float) -> None:
        retries = self._retries.get(job_id, 0)
        self._retries[job_id] = retries + 1
        wait = min(MAX_RETRY_SECONDS, MIN_RETRY_SECONDS * 2**retries)
        self._retry_at[job_id] = now + wait

    def _count_failure(self, job_id: str, worker: str, now: float) -> None:
        self._failed_at[job_id] = now
        count = self._failures[job_id] = self._failures.get(job_id, 0) + 1
        if count >= FAILED_ATTEMPTS_LIMIT and job_id not in self.state.bad_jobs:
            reason = f"failed in {count} attempts, last on worker {worker}"
            bad_jobs = {**self.state.bad_jobs, job_id: reason}
            self.state = replace(self.state, bad_jobs=bad_jobs)

    def allow_retry(self, job_id: str, now: float) -> None:
        """Allow a job that fits nowhere else to retry on workers where it failed."""
        failed_at = self._failed_at.get(job_id)
        if failed_at is None or now < failed_at + AVOIDANCE_SECONDS:
            return
        del self._failed_at[job_id]
        remaining = drop_key(self.state.failed_workers, job_id)
        self.state = replace(self.state, failed_workers=remaining)

    def record_probe_start(self, worker: str, at: Instant) -> None:
        """Record that a quarantined worker is being probed."""
        self.state = record_probe(self.state, worker, at.wall)

    def apply_probe_results(self, results: list[tuple[str, bool]], at: Instant) -> None:
        """Apply the results of probes and empty their list."""
        while results:
            worker, is_healthy = results.pop()
            logger.info(
                "probe of worker {}: {}", worker, "ok" if is_healthy else "failed"
            )
            if is_healthy:
                self.state = record_success(self.state, "", worker, at.wall)

    def remove_job(self, job_id: str) -> None:
        """Remove the state of a job that has ended."""
        self.state = record_job_end(self.state, job_id)
        self._retries.pop(job_id, None)
        self._retry_at.pop(job_id, None)
        self._failures.pop(job_id, None)
        self._failed_at.pop(job_id, None)
