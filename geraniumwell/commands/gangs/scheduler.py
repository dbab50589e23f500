"""The plan: what the decider of a data centre does next."""

from geraniumwell.commands.gangs.admission import Rejected, check_place, check_quota
from geraniumwell.commands.gangs.backfill import (
    Reservation,
    find_reservation,
    list_ends,
    list_holders,
)
from geraniumwell.commands.gangs.claims import evict, start_claim, start_urgent
from geraniumwell.commands.gangs.defragment import find_move
from geraniumwell.commands.gangs.estimates import remaining_seconds
from geraniumwell.commands.gangs.health import list_due_probes
from geraniumwell.commands.gangs.occupancy import Occupancy, Slot
from geraniumwell.commands.gangs.ordering import order_queue
from geraniumwell.commands.gangs.placement import place_gang
from geraniumwell.commands.gangs.plan_checks import check_plan
from geraniumwell.commands.gangs.plan_state import PlanState
from geraniumwell.commands.gangs.policy import (
    EasyBackfill,
    KeepReclaimable,
    LeastLostWork,
    NoBackfill,
    Policy,
)
from geraniumwell.commands.gangs.reclaim import is_reclaimable
from geraniumwell.commands.gangs.stops import stop_leaving
from geraniumwell.model.gang_view import (
    FailJob,
    GangPlanEffect,
    GangView,
    ProbeWorker,
    RejectJob,
)
from geraniumwell.model.job import JobRecord, JobState


def plan(view: GangView, policy: Policy, now: float) -> list[GangPlanEffect]:
    """Return the effects that follow from a view; the same view gives the same."""
    state = PlanState(view, policy, now)
    fail_bad_jobs(state)
    state.effects.extend(ProbeWorker(w) for w in list_due_probes(view.health, now))
    for effect in stop_leaving(view, state.stops, now).values():
        state.add_stop(effect)
    place_queue(state, order_queue(view, policy.order, now))
    check_plan(state)
    return state.effects


def fail_bad_jobs(state: PlanState) -> None:
    """End the jobs that fail wherever they run."""
    for job_id, reason in state.view.health.bad_jobs.items():
        record = state.view.jobs.get(job_id)
        if record is not None and record.state in (
            JobState.ACCEPTED,
            JobState.STARTING,
            JobState.RUNNING,
        ):
            state.effects.append(FailJob(job_id, reason))


def place_queue(state: PlanState, queue: list[JobRecord]) -> None:
    """Place claims and urgent jobs, then the rest up to and past a blocked head."""
    guarded = isinstance(state.policy.guard, KeepReclaimable)
    preempts = isinstance(state.policy.preemption, LeastLostWork)
    if guarded:
        for record in queue:
            if record.job.guaranteed:
                start_claim(state, record)
        queue = [r for r in queue if not r.job.guaranteed]
    if preempts:
        queue = sorted(queue, key=lambda r: not r.job.urgent)
    for index, record in enumerate(queue):
        if held_by_quota(state, record):
            continue
        if record.job.urgent and preempts and start_urgent(state, record):
            continue
        if start_now(state, record, state.occ, None) is not None:
            continue
        if reject_impossible(state, record) or held_by_guarantee(state, record):
            continue
        place_past_head(state, record, queue[index + 1 :])
        return


def held_by_quota(state: PlanState, record: JobRecord) -> bool:
    """Record that the quota keeps a job waiting; it blocks no other job."""
    reason = state.find_quota_block(record.job)
    if reason is None:
        return False
    refusal = check_quota(state.view, record.job, state.now)
    if refusal is None:
        state.wait(record.job, reason)
    else:
        reject(state, record, refusal)
    return True


def held_by_guarantee(state: PlanState, record: JobRecord) -> bool:
    """Record that guarantees alone keep a job waiting; it blocks no other job.

    Work that can be reclaimed may use the place meanwhile, since that changes nothing
    for the guarantees.
    """
    job = record.job
    packing = state.policy.packing
    slots = place_gang(state.occ, job.shape, packing, state.avoid_for(record))
    if slots is None or state.allows(job, slots):
        return False
    state.wait(job, state.guard.describe_conflict(job, slots))
    return True


def start_now(
    state: PlanState,
    record: JobRecord,
    occ: Occupancy,
    failed: set[object] | None,
) -> tuple[Slot, ...] | None:
    """Start a job if it fits in ``occ``; ``failed`` remembers what didn't fit."""
    avoid = state.avoid_for(record)
    key = (record.job.shape, avoid)
    if failed is not None and key in failed:
        return None
    slots = state.find_slots(record, occ)
    if slots is None:
        if failed is not None and is_reclaimable(record.job):
            failed.add(key)
        return None
    state.start(record, slots)
    return slots


def reject_impossible(state: PlanState, record: JobRecord) -> bool:
    """Refuse a job that can no longer run, as after a change of configuration."""
    refusal = check_place(state.view, record.job, state.now)
    if refusal is None:
        return False
    reject(state, record, refusal)
    return True


def reject(state: PlanState, record: JobRecord, refusal: Rejected) -> None:
    """End a job that can no longer run; "not run" is only for one that never did."""
    job_id, reason = record.job.job_id, refusal.reason
    ran = record.attempt > 0
    state.effects.append(FailJob(job_id, reason) if ran else RejectJob(job_id, reason))


def place_past_head(state: PlanState, head: JobRecord, rest: list[JobRecord]) -> None:
    """Reserve a place for the head, or make one, and backfill around it."""
    match state.policy.backfill:
        case NoBackfill():
            for record in (head, *rest):
                state.wait(record.job, "no place is free for the head of the queue")
            return
        case EasyBackfill(trust_declared=trust):
            pass
    ends = list_ends(state.view, state.now, trust, state.stopped)
    shape, packing = head.job.shape, state.policy.packing
    avoid = state.avoid_for(head)
    reservation = reserve_soon(state, head) or find_reservation(
        state.view, state.soon, shape, packing, ends, avoid
    )
    beside = state.occ.copy()
    if reservation is None:
        reason = "no place is left beside what jobs before it will use"
        state.wait(head.job, reason)
        backfill(state, rest, beside, float("inf"))
        return
    move = None
    if reservation.at > state.now:
        move = find_move(state, head, reservation)
    if move is not None:
        evict(state, head, move, "larger job")
        backfill(state, rest, state.occ.copy(), float("inf"))
        return
    names = state.describe_jobs(reservation.after)
    place = f"its expected place is free once {names} have ended"
    state.wait(head.job, f"it is first in the queue; {place}")
    beside.take(shape, reservation.slots)
    backfill(state, rest, beside, reservation.at)


def reserve_soon(state: PlanState, head: JobRecord) -> Reservation | None:
    """Return a reservation on what is being stopped, if that makes enough room."""
    shape, packing = head.job.shape, state.policy.packing
    slots = place_gang(state.soon, shape, packing, state.avoid_for(head))
    if slots is None or place_gang(state.occ, shape, packing) == slots:
        return None
    after = list_holders(state.view, slots, shape)
    return Reservation(state.now, slots, after)


def backfill(
    state: PlanState, rest: list[JobRecord], beside: Occupancy, until: float
) -> None:
    """Start jobs that leave the reservation alone or end before it begins."""
    failed_beside: set[object] = set()
    failed_before: set[object] = set()
    for record in rest:
        if held_by_quota(state, record):
            continue
        slots = start_now(state, record, beside, failed_beside)
        if slots is None and state.now + remaining_seconds(record) <= until:
            slots = start_now(state, record, state.occ, failed_before)
        if slots is not None:
            beside.take(record.job.shape, slots)
            continue
        if held_by_guarantee(state, record):
            continue
        reason = "no place is free beside the reservation of the first job"
        state.wait(record.job, reason)
