"""Quarantine of bad workers and detection of bad jobs, by where tasks fail."""

from collections.abc import Mapping
from dataclasses import replace
from typing import TypeVar

from geraniumwell.model.gang_view import HealthState, Quarantine

T = TypeVar("T")

# One failure may be the job's fault; a second job that fails on the same worker points
# to the worker.
WORKER_FAILED_JOBS = 2
# With 2, one bad worker and one chance failure would mark a healthy job as bad.
JOB_FAILED_WORKERS = 3
INITIAL_PROBE_DELAY_SECONDS = 30.0
MAX_PROBE_DELAY_SECONDS = 1800.0


def record_failure(
    state: HealthState, job_id: str, worker: str, now: float
) -> HealthState:
    """Return the state after a task of a job failed on a worker.

    A worker on which several different jobs failed is quarantined, and its failures no
    longer count against those jobs. A job that failed on several workers that are not
    quarantined is bad, and its failures no longer count against those workers.
    """
    if worker in state.quarantined:
        return state
    of_worker = state.failed_jobs.get(worker, frozenset()) | {job_id}
    of_job = state.failed_workers.get(job_id, frozenset()) | {worker}
    state = replace(
        state,
        failed_jobs={**state.failed_jobs, worker: of_worker},
        failed_workers={**state.failed_workers, job_id: of_job},
    )
    if len(of_worker) >= WORKER_FAILED_JOBS:
        names = ", ".join(sorted(of_worker))
        return quarantine_worker(state, worker, now, f"jobs {names} failed on it")
    if len(of_job) >= JOB_FAILED_WORKERS:
        reason = f"failed on workers {', '.join(sorted(of_job))}"
        state = replace(state, bad_jobs={**state.bad_jobs, job_id: reason})
        return clear_job(state, job_id)
    return state


def record_success(
    state: HealthState, job_id: str, worker: str, now: float
) -> HealthState:
    """Return the state after a task or probe succeeded on a worker."""
    del now
    state = clear_worker(state, worker)
    if worker not in state.quarantined:
        return state
    return replace(state, quarantined=drop_key(state.quarantined, worker))


def record_job_end(state: HealthState, job_id: str) -> HealthState:
    """Return the state without the entries of a job that has ended."""
    return replace(clear_job(state, job_id), bad_jobs=drop_key(state.bad_jobs, job_id))


def record_probe(state: HealthState, worker: str, now: float) -> HealthState:
    """Return the state after a probe was sent; the interval to the next one doubles."""
    known = state.quarantined.get(worker)
    if known is None:
        return state
    wait = min(known.wait_seconds * 2, MAX_PROBE_DELAY_SECONDS)
    later = replace(known, probe_at=now + wait, wait_seconds=wait)
    return replace(state, quarantined={**state.quarantined, worker: later})


def quarantine_worker(
    state: HealthState, worker: str, now: float, reason: str
) -> HealthState:
    """Return the state with a worker quarantined and its recorded failures cleared."""
    if worker in state.quarantined:
        return state
    entry = Quarantine(
        now, now + INITIAL_PROBE_DELAY_SECONDS, INITIAL_PROBE_DELAY_SECONDS, reason
    )
    state = clear_worker(state, worker)
    return replace(state, quarantined={**state.quarantined, worker: entry})


def list_due_probes(state: HealthState, now: float) -> tuple[str, ...]:
    """Return the quarantined workers whose next probe is due."""
    return tuple(w for w, q in sorted(state.quarantined.items()) if q.probe_at <= now)


def clear_worker(state: HealthState, worker: str) -> HealthState:
    """Return the state without the unexplained failures on a worker."""
    if worker not in state.failed_jobs:
        return state
    jobs = {
        job_id: left
        for job_id, workers in state.failed_workers.items()
        if (left := workers - {worker})
    }
    return replace(
        state, failed_jobs=drop_key(state.failed_jobs, worker), failed_workers=jobs
    )


def clear_job(state: HealthState, job_id: str) -> HealthState:
    """Return the state without the unexplained failures of a job."""
    if job_id not in state.failed_workers:
        return state
    workers = {
        worker: left
        for worker, jobs in state.failed_jobs.items()
        if (left := jobs - {job_id})
    }
    return replace(
        state,
        failed_jobs=workers,
        failed_workers=drop_key(state.failed_workers, job_id),
    )


def drop_key(table: Mapping[str, T], key: str) -> dict[str, T]:
    """Return a copy of a table without one key."""
    return {k: v for k, v in table.items() if k != key}
