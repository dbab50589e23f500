"""Recovery of the gangs of earlier deciders.

Part of the decider's state; used by the decider's thread only.
"""

from collections.abc import Mapping

from loguru import logger

from geraniumwell.actors.gang_runner import GangRunner, GangUpdate
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
) -> list[GangUpdate]:
    """Adopt, resume or stop recorded gangs, and release all other leases."""
    updates: list[GangUpdate] = []
    for job_id, record in list(records.items()):
        leases = placements.get(job_id, ())
        if leases and leases[0].attempt != record.attempt:
            leases = ()
        step = _recover_job(record, leases, pool.inventories, now)
        if step is not None:
            updates += runner.update_gang(*step, now)
    for worker, inventory in list(pool.inventories.items()):
        runner.release_orphaned_tasks(worker, inventory, now)
    return updates


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
            logger.info("adopting job {} attempt {}", job_id, attempt)
            return adopt_running(job_id, attempt, leases, now)
        case ResumeStart():
            logger.info("resuming the start of job {} attempt {}", job_id, attempt)
            return begin_start(job_id, attempt, leases, now)
        case StopAttempt(outcome):
            logger.info("stopping job {} attempt {}: {}", job_id, attempt, outcome)
            return adopt_stopping(job_id, attempt, leases, outcome, now)


def find_progress(
    leases: tuple[TaskLease, ...], inventories: Mapping[str, Inventory]
) -> float:
    """Return how long the members of an adopted gang have run, in seconds."""
    ids = {lease.lease_id for lease in leases}
    workers = {lease.worker for lease in leases} & inventories.keys()
    tasks = (t for worker in workers for t in inventories[worker].tasks)
    found = (t.progress_seconds for t in tasks if t.lease.lease_id in ids)
    return max(found, default=0.0)
