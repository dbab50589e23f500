"""Invariants of a plan, checked on what its effects add to the leases in force."""

from geraniumwell.commands.gangs.guard import fits
from geraniumwell.commands.gangs.plan_state import PlanState
from geraniumwell.model.gang_view import StartGang, WorkerUsage, mask_of
from geraniumwell.util.invariants import check_invariant


def check_plan(state: PlanState) -> None:
    """Raise an error if a plan breaks an invariant."""
    added: dict[str, WorkerUsage] = {}
    for effect in state.started:
        check_whole(state, effect)
        for lease in effect.leases:
            check_lease(state, added, effect, lease.member)
    check_guarantees_kept(state)


def check_whole(state: PlanState, effect: StartGang) -> None:
    """Raise an error if a gang is placed in part or twice."""
    members = state.view.jobs[effect.job_id].job.shape.members
    placed = {lease.member for lease in effect.leases}
    whole = len(effect.leases) == members == len(placed)
    check_invariant(
        "gang placed whole",
        whole and not state.view.leases.holds(effect.job_id),
        lambda: f"{effect.job_id}: {len(effect.leases)} leases for {members} members",
    )


def check_lease(
    state: PlanState, added: dict[str, WorkerUsage], effect: StartGang, member: int
) -> None:
    """Raise an error if a lease takes what is not free, and count it."""
    lease = effect.leases[member]
    worker = state.workers.get(lease.worker)
    check_invariant(
        "worker usable",
        worker is not None,
        lambda: f"{lease.lease_id} is on {lease.worker}",
    )
    if worker is None:
        return
    if lease.worker not in added:
        use = state.view.leases.usage_of(lease.worker) or WorkerUsage()
        added[lease.worker] = WorkerUsage(use.mask, use.cores, use.memory_gb)
    total = added[lease.worker]
    bits = mask_of(lease)
    check_invariant(
        "accelerator leased once",
        total.mask & bits == 0 and bits >> worker.accelerators == 0,
        lambda: f"{lease.lease_id} takes {bits:b} of {total.mask:b} on {worker.name}",
    )
    total.mask |= bits
    total.cores += lease.cores
    total.memory_gb += lease.memory_gb
    check_invariant(
        "cores and memory within worker",
        total.cores <= worker.cores and total.memory_gb <= worker.memory_gb,
        lambda: f"{total.cores} cores, {total.memory_gb} GB on {worker.name}",
    )


def check_guarantees_kept(state: PlanState) -> None:
    """Raise an error if fewer guaranteed copies are reclaimable than before.

    A plan that places no claim and no work that outlasts the reclaim bound needs no
    guard and changes nothing that guarantees rely on.
    """
    if not state.has_guard:
        return
    guard = state.guard
    left = guard.hard.copy()
    valid = True
    for packed in guard.packing:
        valid = valid and fits(left, packed.copy.shape, packed.slots)
        left.take(packed.copy.shape, packed.slots)
    check_invariant(
        "guarantees reclaimable",
        valid and len(guard.missing) <= guard.missing_before,
        lambda: f"copies without a place: {guard.missing}, packing valid: {valid}",
    )
