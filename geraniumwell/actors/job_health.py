"""What the outcomes of gangs say of workers and jobs, and when to try a job again.

Part of the decider's state; only the decider's thread uses it.
"""

from collections.abc import Mapping
from dataclasses import replace

from loguru import logger

from geraniumwell.actors.worker_pool import WorkerPool
from geraniumwell.commands.gangs.health import (
    record_failure,
    record_job_end,
    record_probe,
    record_success,
    without,
)
from geraniumwell.model.gang_run import (
    AllFinished,
    GangAttempt,
    GangOutcome,
    MemberFailed,
    MemberLost,
)
from geraniumwell.model.gang_view import HealthState
from geraniumwell.model.instant import Instant

# A gang that can't start would otherwise be tried again at every plan.
FIRST_RETRY_SECONDS = 0.5
LAST_RETRY_SECONDS = 30.0
# Where every worker has failed the job once, none is left to tell a bad job by.
FAILED_ATTEMPTS_LIMIT = 5
AVOIDANCE_SECONDS = 10.0


class JobHealth:
    """Keeps the unexplained failures and the delays of retries."""

    __slots__ = ("_pool", "_retries", "_retry_at", "_failures", "_failed_at", "state")

    def __init__(self, pool: WorkerPool) -> None:
        self._pool = pool
        self._retries: dict[str, int] = {}
        self._retry_at: dict[str, float] = {}
        self._failures: dict[str, int] = {}
        self._failed_at: dict[str, float] = {}
        self.state = HealthState()

    def leave_out(self, jobs: Mapping[str, object], now: float) -> set[str]:
        """Return the jobs that are not to be tried yet."""
        return {j for j, due in self._retry_at.items() if due > now and j in jobs}

    def note_outcome(
        self, gang: GangAttempt, outcome: GangOutcome, at: Instant
    ) -> None:
        """Note how an attempt ended."""
        match outcome:
            case AllFinished():
                for worker in {lease.worker for lease in gang.leases}:
                    self.state = record_success(
                        self.state, gang.job_id, worker, at.wall
                    )
            case MemberLost(worker):
                self._pool.rest(worker, at.monotonic)
                self._delay(gang.job_id, at.monotonic)
            case MemberFailed(worker):
                self.state = record_failure(self.state, gang.job_id, worker, at.wall)
                self._delay(gang.job_id, at.monotonic)
                self._count_failure(gang.job_id, worker, at.monotonic)

    def _delay(self, job_id: str, now: float) -> None:
        retries = self._retries.get(job_id, 0)
        self._retries[job_id] = retries + 1
        wait = min(LAST_RETRY_SECONDS, FIRST_RETRY_SECONDS * 2**retries)
        self._retry_at[job_id] = now + wait

    def _count_failure(self, job_id: str, worker: str, now: float) -> None:
        self._failed_at[job_id] = now
        count = self._failures[job_id] = self._failures.get(job_id, 0) + 1
        if count >= FAILED_ATTEMPTS_LIMIT and job_id not in self.state.bad_jobs:
            reason = f"failed in {count} attempts, last on worker {worker}"
            bad_jobs = {**self.state.bad_jobs, job_id: reason}
            self.state = replace(self.state, bad_jobs=bad_jobs)

    def note_waiting(self, job_id: str, now: float) -> None:
        """Let a job that finds no other place try again where it failed."""
        failed_at = self._failed_at.get(job_id)
        if failed_at is None or now < failed_at + AVOIDANCE_SECONDS:
            return
        del self._failed_at[job_id]
        left = without(self.state.failed_workers, job_id)
        self.state = replace(self.state, failed_workers=left)

    def note_probe_sent(self, worker: str, at: Instant) -> None:
        """Note that a quarantined worker is being probed."""
        self.state = record_probe(self.state, worker, at.wall)

    def note_probes(self, results: list[tuple[str, bool]], at: Instant) -> None:
        """Take over the results of probes, and empty their list."""
        while results:
            worker, is_sound = results.pop()
            logger.info(
                "probe of worker {}: {}", worker, "ok" if is_sound else "failed"
            )
            if is_sound:
                self.state = record_success(self.state, "", worker, at.wall)

    def forget_job(self, job_id: str) -> None:
        """Drop what was kept of a job that has ended."""
        self.state = record_job_end(self.state, job_id)
        self._retries.pop(job_id, None)
        self._retry_at.pop(job_id, None)
        self._failures.pop(job_id, None)
        self._failed_at.pop(job_id, None)
