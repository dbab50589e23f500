"""Planning of gang jobs: what the decider of a data centre does next."""

from geraniumwell.commands.gangs.admission import (
    Rejected,
    check_quota,
    check_shape_fits,
)
from geraniumwell.commands.gangs.backfill import (
    Reservation,
    find_reservation,
    list_blocking_jobs,
    list_expected_ends,
)
from geraniumwell.commands.gangs.claims import preempt, start_claim, start_urgent
from geraniumwell.commands.gangs.defragment import find_move
from geraniumwell.commands.gangs.estimates import remaining_seconds
from geraniumwell.commands.gangs.health import list_due_probes
from geraniumwell.commands.gangs.occupancy import Occupancy, Slot
from geraniumwell.commands.gangs.ordering import order_queue
from geraniumwell.commands.gangs.placement import place_gang
from geraniumwell.commands.gangs.plan_checks import check_plan
from geraniumwell.commands.gangs.plan_state import PlanState
from geraniumwell.commands.gangs.planned_stops import stop_before_planned_stops
from geraniumwell.commands.gangs.policy import (
    EasyBackfill,
    KeepReclaimable,
    LeastLostWork,
    NoBackfill,
    Policy,
)
from geraniumwell.commands.gangs.reclaim import is_reclaimable
from geraniumwell.model.gang_view import (
    FailJob,
    GangPlanEffect,
    GangView,
    ProbeWorker,
    RejectJob,
)
from geraniumwell.model.job import JobRecord, JobState


def plan(view: GangView, policy: Policy, now: float) -> list[GangPlanEffect]:
    """Return the effects that follow from a view; equal views give equal effects."""
    state = PlanState(view, policy, now)
    fail_bad_jobs(state)
    state.effects.extend(ProbeWorker(w) for w in list_due_probes(view.health, now))
    for effect in stop_before_planned_stops(view, state.stops, now).values():
        state.add_stop(effect)
    place_queue(state, order_queue(view, policy.order, now))
    check_plan(state)
    return state.effects


def fail_bad_jobs(state: PlanState) -> None:
    """Fail the jobs that failed on several different workers."""
    for job_id, reason in state.view.health.bad_jobs.items():
        record = state.view.jobs.get(job_id)
        if record is not None and record.state in (
            JobState.ACCEPTED,
            JobState.STARTING,
            JobState.RUNNING,
        ):
            state.effects.append(FailJob(job_id, reason))


def place_queue(state: PlanState, queue: list[JobRecord]) -> None:
    """Place guarantee claims and urgent jobs, then the other waiting jobs in order.

    From the first job that does not fit, go on with a reservation and backfill.
    """
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
        if record_quota_wait(state, record):
            continue
        if record.job.urgent and preempts and start_urgent(state, record):
            continue
        if start_now(state, record, state.free_now, None) is not None:
            continue
        if reject_impossible(state, record) or record_guarantee_wait(state, record):
            continue
        reserve_and_backfill(state, record, queue[index + 1 :])
        return


def record_quota_wait(state: PlanState, record: JobRecord) -> bool:
    """Record that a job waits for its quota, which delays no other job.

    A job that exceeds its quota on its own is rejected. Return whether either applies.
    """
    reason = state.explain_quota_wait(record.job)
    if reason is None:
        return False
    refusal = check_quota(state.view, record.job, state.now)
    if refusal is None:
        state.record_wait(record.job, reason)
    else:
        reject(state, record, refusal)
    return True


def record_guarantee_wait(state: PlanState, record: JobRecord) -> bool:
    """Record that a job waits only because of guarantees, which delays no other job.

    Reclaimable jobs may use the slots meanwhile, since that does not affect the
    guarantees. Return whether the job waits.
    """
    job = record.job
    packing = state.policy.packing
    slots = place_gang(
        state.free_now, job.shape, packing, state.list_workers_to_avoid(record)
    )
    if slots is None or state.allows(job, slots):
        return False
    state.record_wait(job, state.guard.describe_conflict(job, slots))
    return True


def start_now(
    state: PlanState,
    record: JobRecord,
    occ: Occupancy,
    failed: set[object] | None,
) -> tuple[Slot, ...] | None:
    """Start a job if it fits in ``occ`` and return its slots.

    ``failed`` collects the shapes that did not fit, so that they are not tried again.
    """
    avoid = state.list_workers_to_avoid(record)
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
    """Reject a job that can no longer run, as after a change of the configuration."""
    refusal = check_shape_fits(state.view, record.job, state.now)
    if refusal is None:
        return False
    reject(state, record, refusal)
    return True


def reject(state: PlanState, record: JobRecord, refusal: Rejected) -> None:
    """End a job that can no longer run, as "not run" only if it never ran."""
    job_id, reason = record.job.job_id, refusal.reason
    ran = record.attempt > 0
    state.effects.append(FailJob(job_id, reason) if ran else RejectJob(job_id, reason))


def reserve_and_backfill(
    state: PlanState, head: JobRecord, rest: list[JobRecord]
) -> None:
    """Reserve slots for the first job, or move jobs for it, and backfill the others."""
    match state.policy.backfill:
        case NoBackfill():
            for record in (head, *rest):
                state.record_wait(
                    record.job, "no slots are free for the first job in the queue"
                )
            return
        case EasyBackfill(trust_declared=trust):
            pass
    ends = list_expected_ends(state.view, state.now, trust, state.stopped)
    shape, packing = head.job.shape, state.policy.packing
    avoid = state.list_workers_to_avoid(head)
    reservation = reserve_stopping_slots(state, head) or find_reservation(
        state.view, state.occ_after_stops, shape, packing, ends, avoid
    )
    free_beside = state.free_now.copy()
    if reservation is None:
        reason = "no slots are left beside those reserved for earlier jobs"
        state.record_wait(head.job, reason)
        backfill(state, rest, free_beside, float("inf"))
        return
    move = None
    if reservation.at > state.now:
        move = find_move(state, head, reservation)
    if move is not None:
        preempt(state, head, move, "larger job")
        backfill(state, rest, state.free_now.copy(), float("inf"))
        return
    names = state.describe_jobs(reservation.after)
    reason = f"its expected slots are free once {names} have ended"
    state.record_wait(head.job, f"it is first in the queue; {reason}")
    free_beside.allocate(shape, reservation.slots)
    backfill(state, rest, free_beside, reservation.at)


def reserve_stopping_slots(state: PlanState, head: JobRecord) -> Reservation | None:
    """Return a reservation that uses resources of stopping jobs, if the head fits."""
    shape, packing = head.job.shape, state.policy.packing
    slots = place_gang(
        state.occ_after_stops, shape, packing, state.list_workers_to_avoid(head)
    )
    if slots is None or place_gang(state.free_now, shape, packing) == slots:
        return None
    after = list_blocking_jobs(state.view, slots, shape)
    return Reservation(state.now, slots, after)


def backfill(
    state: PlanState, rest: list[JobRecord], free_beside: Occupancy, until: float
) -> None:
    """Start jobs that don't use the reserved slots or end before ``until``."""
    failed_beside: set[object] = set()
    failed_before: set[object] = set()
    for record in rest:
        if record_quota_wait(state, record):
            continue
        slots = start_now(state, record, free_beside, failed_beside)
        if slots is None and state.now + remaining_seconds(record) <= until:
            slots = start_now(state, record, state.free_now, failed_before)
        if slots is not None:
            free_beside.allocate(record.job.shape, slots)
            continue
        if record_guarantee_wait(state, record):
            continue
        reason = "no slots are free beside the reservation of the first job"
        state.record_wait(record.job, reason)
