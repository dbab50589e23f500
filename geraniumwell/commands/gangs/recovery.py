"""What a new decider does with the gangs and leases that it finds."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from geraniumwell.model.gang_run import (
    AllFinished,
    GangOutcome,
    MemberFailed,
    MemberLost,
    StoppedOnRequest,
)
from geraniumwell.model.job import JobRecord, JobState
from geraniumwell.model.worker import Inventory, TaskLease, TaskReport, TaskState

ALIVE_STATES = (TaskState.RUNNING, TaskState.CHECKPOINTING, TaskState.FINISHED)
STARTABLE_STATES = (TaskState.RESERVED, TaskState.RUNNING)


@dataclass(slots=True, frozen=True)
class AdoptGang:
    """All members run, as far as their workers answer; renew their leases."""


@dataclass(slots=True, frozen=True)
class ResumeStart:
    """All members hold leases but not all run; go on with the start."""


@dataclass(slots=True, frozen=True)
class StopAttempt:
    """The gang is not whole, or was being stopped; stop what is left of it."""

    outcome: GangOutcome


@dataclass(slots=True, frozen=True)
class NothingToRecover:
    """The record says that no task of this job runs."""


Recovery = AdoptGang | ResumeStart | StopAttempt | NothingToRecover


def recover_job(
    record: JobRecord,
    leases: tuple[TaskLease, ...],
    inventories: Mapping[str, Inventory],
) -> Recovery:
    """Return what a new decider does with one job.

    Parameters
    ----------
    record : JobRecord
        The job's record.
    leases : tuple of TaskLease
        Leases of the recorded placement, in order of the members.
    inventories : mapping of str to Inventory
        Inventories by worker; a worker that did not answer has none.
    """
    if record.state is JobState.STOPPING:
        return StopAttempt(StoppedOnRequest(record.reason))
    if record.state not in (JobState.STARTING, JobState.RUNNING):
        return NothingToRecover()
    if not leases:
        return StopAttempt(MemberLost("", "no placement is recorded"))
    found: list[TaskReport | None] = []
    for lease in leases:
        inventory = inventories.get(lease.worker)
        if inventory is None:
            found.append(None)
            continue
        report = _find_report(inventory, lease)
        if report is None:
            reason = f"worker {lease.worker} does not hold the lease"
            return StopAttempt(MemberLost(lease.worker, reason))
        found.append(report)
    return _judge(record.state, leases, found)


def _find_report(inventory: Inventory, lease: TaskLease) -> TaskReport | None:
    return next(
        (t for t in inventory.tasks if t.lease.lease_id == lease.lease_id), None
    )


def _judge(
    state: JobState, leases: tuple[TaskLease, ...], found: list[TaskReport | None]
) -> Recovery:
    for lease, report in zip(leases, found, strict=True):
        if report is None or report.state in (*ALIVE_STATES, *STARTABLE_STATES):
            continue
        if report.state is TaskState.FAILED:
            return StopAttempt(MemberFailed(lease.worker, report.reason))
        return StopAttempt(MemberLost(lease.worker, report.reason))
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
    missing = next((ls for ls, r in zip(leases, found, strict=True) if r is None), None)
    worker = (missing or leases[0]).worker
    return StopAttempt(MemberLost(worker, "the start was interrupted"))


def list_orphaned_tasks(
    inventory: Inventory, held: Iterable[TaskLease]
) -> tuple[TaskReport, ...]:
    """Return the leases of a worker that belong to no gang of this decider."""
    known = {lease.lease_id for lease in held}
    return tuple(t for t in inventory.tasks if t.lease.lease_id not in known)
