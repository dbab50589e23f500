"""Takes over the gangs that earlier deciders left.

Part of the decider's state; only the decider's thread uses it.
"""

from collections.abc import Mapping

from loguru import logger

from geraniumwell.actors.gang_runner import GangNews, GangRunner
from geraniumwell.actors.worker_pool import WorkerPool
from geraniumwell.commands.gangs.recovery import (
    AdoptGang,
    NothingToRecover,
    ResumeStart,
    StopAttempt,
    recover_job,
)
from geraniumwell.commands.gangs.start import (
    Step,
    adopt_running,
    adopt_stopping,
    begin_start,
)
from geraniumwell.model.job import JobRecord
from geraniumwell.model.worker import Inventory, TaskLease


def recover_gangs(
    records: Mapping[str, JobRecord],
    placements: Mapping[str, tuple[TaskLease, ...]],
    runner: GangRunner,
    pool: WorkerPool,
    now: float,
) -> list[GangNews]:
    """Adopt, complete or stop what is recorded, and release every other lease."""
    news: list[GangNews] = []
    for job_id, record in list(records.items()):
        leases = placements.get(job_id, ())
        if leases and leases[0].attempt != record.attempt:
            leases = ()
        step = _recover_job(record, leases, pool.inventories, now)
        if step is not None:
            news += runner.put(*step, now)
    for worker, inventory in list(pool.inventories.items()):
        runner.release_strays(worker, inventory, now)
    return news


def _recover_job(
    record: JobRecord,
    leases: tuple[TaskLease, ...],
    inventories: Mapping[str, Inventory],
    now: float,
) -> Step | None:
    job_id, attempt = record.job.job_id, record.attempt
    match recover_job(record, leases, inventories):
        case NothingToRecover():
            return None
        case AdoptGang():
            logger.info("job {} attempt {} is adopted", job_id, attempt)
            return adopt_running(job_id, attempt, leases, now)
        case ResumeStart():
            logger.info("job {} attempt {} goes on starting", job_id, attempt)
            return begin_start(job_id, attempt, leases, now)
        case StopAttempt(outcome):
            logger.info("job {} attempt {} is stopped: {}", job_id, attempt, outcome)
            return adopt_stopping(job_id, attempt, leases, outcome, now)


def find_progress(
    leases: tuple[TaskLease, ...], inventories: Mapping[str, Inventory]
) -> float:
    """Return for how many seconds the members of an adopted gang have run."""
    ids = {lease.lease_id for lease in leases}
    workers = {lease.worker for lease in leases} & inventories.keys()
    tasks = (t for worker in workers for t in inventories[worker].tasks)
    found = (t.progress_seconds for t in tasks if t.lease.lease_id in ids)
    return max(found, default=0.0)
