"""Starts of guarantee claims and urgent jobs, which may preempt running jobs."""

from geraniumwell.commands.gangs.guard import fits
from geraniumwell.commands.gangs.occupancy import Occupancy, Slot
from geraniumwell.commands.gangs.placement import place_gang
from geraniumwell.commands.gangs.plan_state import PlanState
from geraniumwell.commands.gangs.policy import LeastLostWork, NoPreemption
from geraniumwell.commands.gangs.preemption import PreemptionChoice, PreemptionSearch
from geraniumwell.commands.gangs.reclaim import find_guarantee, is_reclaimable
from geraniumwell.model.gang_view import make_accelerator_mask
from geraniumwell.model.guarantee import Guarantee
from geraniumwell.model.job import Job, JobRecord


def start_claim(state: PlanState, record: JobRecord) -> None:
    """Start a guarantee claim, preempt jobs for it, or record why it waits."""
    job = record.job
    guarantee = state.guard.find_claimable_guarantee(job)
    if guarantee is None:
        known = find_guarantee(job, state.guard.guarantees)
        name = known.name if known else "a guarantee that no longer covers it"
        state.record_wait(job, f"all copies of {name} are in use")
        return
    avoid = state.list_workers_to_avoid(record)
    for occ in (state.free_now, state.occ_after_stops):
        slots = find_claim_slots(state, occ, guarantee, job, avoid)
        if slots is not None:
            start_or_hold(state, record, slots)
            return
    if isinstance(state.policy.preemption, NoPreemption):
        state.record_wait(job, f"its copy of {guarantee.name} is in use by other jobs")
        return
    choice = find_claim_preemption(state, guarantee, job, avoid)
    if choice is None:
        cause = "too few usable workers are left to reclaim capacity for it"
        state.record_wait(job, f"{guarantee.name} can't be honoured now: {cause}")
        return
    preempt(state, record, choice, f"claim of {guarantee.name}")


def find_claim_slots(
    state: PlanState,
    occ: Occupancy,
    guarantee: Guarantee,
    job: Job,
    avoid: frozenset[str],
) -> tuple[Slot, ...] | None:
    """Return free slots for a claim that leave all other copies reclaimable."""
    slots = place_gang(occ, job.shape, state.policy.packing, avoid)
    if slots is not None and state.guard.allows_claim(guarantee, job, slots):
        return slots
    packed = state.guard.find_packed_slots(guarantee, job)
    if packed is None or any(worker in avoid for worker, _ in packed):
        return None
    if fits(occ, job.shape, packed) and state.guard.allows_claim(
        guarantee, job, packed
    ):
        return packed
    return None


def find_claim_preemption(
    state: PlanState, guarantee: Guarantee, job: Job, avoid: frozenset[str]
) -> PreemptionChoice | None:
    """Return the cheapest preemption, or else one that frees the packed slots."""
    search = PreemptionSearch(state.view, state.now, lambda j: is_preemptible(state, j))
    found = search.find(state.occ_after_stops, job.shape, avoid)
    if found is not None and state.guard.allows_claim(guarantee, job, found.slots):
        return found
    packed = state.guard.find_packed_slots(guarantee, job)
    if packed is None:
        return None
    victims = list_victims(state, search, job, packed)
    if victims is None:
        return None
    # The lost work is not computed, because no other choice is compared with this one.
    return PreemptionChoice(packed, victims, 0.0)


def is_preemptible(state: PlanState, job: Job) -> bool:
    """Return whether a running job may be stopped for another one."""
    return is_reclaimable(job) and job.job_id not in state.stopped


def list_victims(
    state: PlanState, search: PreemptionSearch, job: Job, slots: tuple[Slot, ...]
) -> tuple[str, ...] | None:
    """Return the jobs to stop so that the given slots become free."""
    trial = state.occ_after_stops.copy()
    victims: dict[str, None] = {}
    for worker, first in slots:
        bits = ((1 << job.shape.accelerators) - 1) << first
        reports = state.view.leases.list_by_worker(worker)
        overlapping = [r for r in reports if make_accelerator_mask(r.lease) & bits]
        for report in (*overlapping, *reports):
            if fits(trial, job.shape, slots):
                break
            job_id = report.lease.job_id
            if job_id in victims or search.cost_of(job_id) is None:
                continue
            victims[job_id] = None
            for other in state.view.leases.list_by_job(job_id):
                trial.release_lease(other.lease)
    return tuple(victims) if fits(trial, job.shape, slots) else None


def start_urgent(state: PlanState, record: JobRecord) -> bool:
    """Start an urgent job or preempt other jobs for it; return whether it did."""
    job = record.job
    avoid = state.list_workers_to_avoid(record)
    for occ in (state.free_now, state.occ_after_stops):
        slots = state.find_slots(record, occ)
        if slots is not None:
            start_or_hold(state, record, slots)
            return True
    match state.policy.preemption:
        case NoPreemption():
            return False
        case LeastLostWork():
            search = PreemptionSearch(
                state.view,
                state.now,
                lambda j: is_preemptible(state, j) and not j.urgent,
            )
            found = search.find(state.occ_after_stops, job.shape, avoid)
            if found is None or not state.allows(job, found.slots):
                return False
            preempt(state, record, found, "urgent job")
            return True


def start_or_hold(state: PlanState, record: JobRecord, slots: tuple[Slot, ...]) -> None:
    """Start a job if its slots are free now, else hold them until jobs have stopped."""
    if fits(state.free_now, record.job.shape, slots):
        state.start(record, slots)
        return
    state.hold(record, slots)
    state.record_wait(
        record.job, "its slots are free once the jobs on them have stopped"
    )


def preempt(
    state: PlanState, record: JobRecord, choice: PreemptionChoice, why: str
) -> None:
    """Stop the victims and hold their slots for a job."""
    job = record.job
    for job_id in choice.victims:
        state.stop(job_id, f"its slots are needed for the {why} {job.job_id}")
    state.hold(record, choice.slots)
    names = state.describe_jobs(choice.victims)
    state.record_wait(job, f"it starts once {names} have stopped")
