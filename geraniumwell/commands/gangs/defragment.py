"""Defragmentation: moves running jobs when that lets a larger job start sooner."""

from geraniumwell.commands.gangs.backfill import Reservation
from geraniumwell.commands.gangs.estimates import elapsed_seconds, job_weight, lost_work
from geraniumwell.commands.gangs.placement import place_gang
from geraniumwell.commands.gangs.plan_state import PlanState
from geraniumwell.commands.gangs.policy import MoveForGain, NoDefragmentation
from geraniumwell.commands.gangs.preemption import PreemptionChoice, PreemptionSearch
from geraniumwell.commands.gangs.reclaim import reclaim_seconds
from geraniumwell.model.job import Checkpointable, Job, JobRecord

# A job runs for at least this many times its checkpoint time before it is moved. This
# bounds the work lost to moves; without it, jobs displaced each other in turn.
MIN_RUN_TO_CHECKPOINT_RATIO = 60.0
# Prefers several small victims to one large victim of the same total size, because
# small jobs are easier to place again.
SMALL_FIRST_EXPONENT = 2.0


def find_move(
    state: PlanState, record: JobRecord, reservation: Reservation
) -> PreemptionChoice | None:
    """Return a preemption that lets a job start now and gains more than it costs.

    Only checkpointable jobs are moved, and only if all of them can be placed again at
    once, so that no other job has to wait.
    """
    match state.policy.defragmentation:
        case NoDefragmentation():
            return None
        case MoveForGain(ratio=ratio):
            pass
    job = record.job
    wanted = job.shape.members * job.shape.accelerators
    if not wanted or wanted > state.occ_after_stops.free_accelerators():
        return None
    search = PreemptionSearch(
        state.view, state.now, lambda j: is_movable(state, j), SMALL_FIRST_EXPONENT
    )
    gain = (reservation.at - state.now) * job_weight(job)
    for found in search.find_all(
        state.occ_after_stops, job.shape, state.list_workers_to_avoid(record)
    ):
        jobs = [state.view.jobs[j].job for j in found.victims]
        cost = sum(lost_work(state.view, j, state.now) for j in jobs)
        if gain < ratio * cost or not state.allows(job, found.slots):
            continue
        if can_move_all(state, job, found):
            return found
    return None


def is_movable(state: PlanState, job: Job) -> bool:
    """Return whether a running job may be moved."""
    if job.job_id in state.stopped or job.urgent or job.guaranteed:
        return False
    if not isinstance(job.interruption, Checkpointable):
        return False
    elapsed = elapsed_seconds(state.view, job.job_id, state.now)
    return elapsed >= MIN_RUN_TO_CHECKPOINT_RATIO * reclaim_seconds(job)


def can_move_all(state: PlanState, job: Job, choice: PreemptionChoice) -> bool:
    """Return whether all victims can be placed again beside the job they move for."""
    trial = state.occ_after_stops.copy()
    for victim in choice.victims:
        for report in state.view.leases.list_by_job(victim):
            trial.release_lease(report.lease)
    trial.allocate(job.shape, choice.slots)
    records = [state.view.jobs[victim] for victim in choice.victims]
    for record in sorted(records, key=lambda r: -job_weight(r.job)):
        avoid = state.list_workers_to_avoid(record)
        slots = place_gang(trial, record.job.shape, state.policy.packing, avoid)
        if slots is None:
            return False
        trial.allocate(record.job.shape, slots)
    return True
