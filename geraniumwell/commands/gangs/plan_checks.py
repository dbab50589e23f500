"""Invariants of a plan, checked on its new leases together with the existing ones."""

from geraniumwell.commands.gangs.guard import fits
from geraniumwell.commands.gangs.plan_state import PlanState
from geraniumwell.model.gang_view import StartGang, WorkerUsage, make_accelerator_mask
from geraniumwell.util.invariants import check_invariant


def check_plan(state: PlanState) -> None:
    """Raise an error if a plan violates an invariant."""
    added: dict[str, WorkerUsage] = {}
    for effect in state.started:
        check_gang_complete(state, effect)
        for lease in effect.leases:
            check_lease(state, added, effect, lease.member)
    check_guarantees_kept(state)


def check_gang_complete(state: PlanState, effect: StartGang) -> None:
    """Raise an error if a gang is placed partly or twice."""
    members = state.view.jobs[effect.job_id].job.shape.members
    placed = {lease.member for lease in effect.leases}
    is_complete = len(effect.leases) == members == len(placed)
    check_invariant(
        "gang placed whole",
        is_complete and not state.view.leases.holds(effect.job_id),
        lambda: f"{effect.job_id}: {len(effect.leases)} leases for {members} members",
    )


def check_lease(
    state: PlanState, added: dict[str, WorkerUsage], effect: StartGang, member: int
) -> None:
    """Raise an error if a lease takes resources that are not free, else count it."""
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
        usage = state.view.leases.usage_of(lease.worker) or WorkerUsage()
        added[lease.worker] = WorkerUsage(usage.mask, usage.cores, usage.memory_gb)
    total = added[lease.worker]
    bits = make_accelerator_mask(lease)
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
    """Raise an error if fewer copies of guarantees are reclaimable than before.

    A plan without a guard placed no guarantee claim and no job that outlasts the
    reclaim bound, so it can't have broken a guarantee.
    """
    if not state.has_guard:
        return
    guard = state.guard
    remaining = guard.free_after_reclaim.copy()
    valid = True
    for packed in guard.packing:
        valid = valid and fits(remaining, packed.copy.shape, packed.slots)
        remaining.allocate(packed.copy.shape, packed.slots)
    check_invariant(
        "guarantees reclaimable",
        valid and len(guard.missing) <= guard.initially_missing,
        lambda: f"copies without slots: {guard.missing}, packing valid: {valid}",
    )
