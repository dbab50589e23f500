"""Recovery of gangs and leases by a new decider."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from geraniumwell.model.gang_run import (
    AllFinished,
    GangMemberFailed,
    GangMemberLost,
    GangOutcome,
    StoppedOnRequest,
)
from geraniumwell.model.job import JobRecord, JobState
from geraniumwell.model.worker import Inventory, TaskLease, TaskReport, TaskState

ALIVE_STATES = (TaskState.RUNNING, TaskState.CHECKPOINTING, TaskState.FINISHED)
STARTABLE_STATES = (TaskState.RESERVED, TaskState.RUNNING)


@dataclass(slots=True, frozen=True)
class AdoptGang:
    """All gang members on reachable workers run; renew their leases."""


@dataclass(slots=True, frozen=True)
class ResumeStart:
    """All gang members hold leases but not all run; continue the start."""


@dataclass(slots=True, frozen=True)
class StopAttempt:
    """The gang has ended, is incomplete or was being stopped; stop what remains."""

    outcome: GangOutcome


@dataclass(slots=True, frozen=True)
class NothingToRecover:
    """The job's recorded state has no tasks."""


Recovery = AdoptGang | ResumeStart | StopAttempt | NothingToRecover


def recover_job(
    record: JobRecord,
    leases: tuple[TaskLease, ...],
    inventories: Mapping[str, Inventory],
) -> Recovery:
    """Return how a new decider recovers a job.

    Parameters
    ----------
    record : JobRecord
        The job's record.
    leases : tuple of TaskLease
        Leases of the recorded placement, in the order of the gang members.
    inventories : mapping of str to Inventory
        Inventory of each worker; a worker that did not answer is missing.
    """
    if record.state is JobState.STOPPING:
        return StopAttempt(StoppedOnRequest(record.reason))
    if record.state not in (JobState.STARTING, JobState.RUNNING):
        return NothingToRecover()
    if not leases:
        return StopAttempt(GangMemberLost("", "no placement is recorded"))
    found: list[TaskReport | None] = []
    for lease in leases:
        inventory = inventories.get(lease.worker)
        if inventory is None:
            found.append(None)
            continue
        report = _find_report(inventory, lease)
        if report is None:
            reason = f"worker {lease.worker} does not hold the lease"
            return StopAttempt(GangMemberLost(lease.worker, reason))
        found.append(report)
    return _choose_recovery(record.state, leases, found)


def _find_report(inventory: Inventory, lease: TaskLease) -> TaskReport | None:
    return next(
        (t for t in inventory.tasks if t.lease.lease_id == lease.lease_id), None
    )


def _choose_recovery(
    state: JobState, leases: tuple[TaskLease, ...], found: list[TaskReport | None]
) -> Recovery:
    for lease, report in zip(leases, found, strict=True):
        if report is None or report.state in (*ALIVE_STATES, *STARTABLE_STATES):
            continue
        if report.state is TaskState.FAILED:
            return StopAttempt(GangMemberFailed(lease.worker, report.reason))
        return StopAttempt(GangMemberLost(lease.worker, report.reason))
    known = [report.state for report in found if report is not None]
    if len(known) == len(leases) and set(known) == {TaskState.FINISHED}:
        return StopAttempt(AllFinished())
    if all(s in ALIVE_STATES for s in known) and (
        state is JobState.RUNNING or len(known) == len(leases)
    ):
        return AdoptGang()
    is_whole = len(known) == len(leases) and all(s in STARTABLE_STATES for s in known)
    if is_whole and state is JobState.STARTING:
        return ResumeStart()
    missing = next(
        (lease for lease, r in zip(leases, found, strict=True) if r is None), None
    )
    worker = (missing or leases[0]).worker
    return StopAttempt(GangMemberLost(worker, "the start was interrupted"))


def list_orphaned_tasks(
    inventory: Inventory, held: Iterable[TaskLease]
) -> tuple[TaskReport, ...]:
    """Return a worker's tasks whose leases belong to no gang of this decider."""
    known = {lease.lease_id for lease in held}
    return tuple(t for t in inventory.tasks if t.lease.lease_id not in known)
