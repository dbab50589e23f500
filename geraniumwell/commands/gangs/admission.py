"""Admission of gang jobs: rejects jobs that can never run, with the reason."""

from dataclasses import dataclass
from enum import StrEnum

from geraniumwell.commands.gangs.blocks import is_block_size
from geraniumwell.commands.gangs.guarantees import (
    Feasible,
    Infeasible,
    describe_shape,
    list_copies,
    local_guarantees,
    pack_copies,
)
from geraniumwell.commands.gangs.occupancy import Occupancy
from geraniumwell.commands.gangs.placement import place_gang
from geraniumwell.commands.gangs.planned_stops import min_seconds_before_stop
from geraniumwell.commands.gangs.policy import BuddyCells
from geraniumwell.commands.gangs.reclaim import find_guarantee, is_reclaimable
from geraniumwell.model.gang_view import GangView
from geraniumwell.model.job import Job, JobRecord, JobState
from geraniumwell.model.worker import Worker


class GangRefusal(StrEnum):
    """Stable codes of the reasons for which jobs are refused."""

    GUARANTEE_MISSING = "guarantee_missing"
    ORGANISATION_UNKNOWN = "organisation_unknown"
    QUOTA_EXCEEDED = "quota_exceeded"
    SHAPE_IMPOSSIBLE = "shape_impossible"
    SHAPE_INVALID = "shape_invalid"
    STOP_PLANNED = "stop_planned"
    WOULD_BREAK_GUARANTEE = "would_break_guarantee"
    WRONG_DATA_CENTRE = "wrong_data_centre"


@dataclass(slots=True, frozen=True)
class Admitted:
    """The job can run at some time with the current configuration."""


@dataclass(slots=True, frozen=True)
class Rejected:
    """The job can never run with the current configuration."""

    code: str
    reason: str


Admission = Admitted | Rejected


def admit(view: GangView, job: Job, now: float) -> Admission:
    """Return whether a job can ever run as a whole, with the reason if not."""
    for check in (
        check_request,
        check_quota,
        check_guarantee_claim,
        check_shape_fits,
        check_fits_beside_guarantees,
    ):
        refusal = check(view, job, now)
        if refusal is not None:
            return refusal
    return Admitted()


def check_request(view: GangView, job: Job, now: float) -> Rejected | None:
    """Refuse a job that is malformed or not for this data centre."""
    del now
    shape = job.shape
    if job.data_centre != view.data_centre:
        reason = f"its data centre is {job.data_centre}, not {view.data_centre}"
        return Rejected(GangRefusal.WRONG_DATA_CENTRE, reason)
    if job.organisation not in view.cfg.organisations:
        reason = f"organisation {job.organisation} is not configured"
        return Rejected(GangRefusal.ORGANISATION_UNKNOWN, reason)
    if shape.members < 1 or shape.cores < 0 or shape.memory_gb < 0:
        reason = f"{describe_shape(shape)} has no gang members or a negative count"
        return Rejected(GangRefusal.SHAPE_INVALID, reason)
    if not is_block_size(shape.accelerators):
        reason = f"{shape.accelerators} accelerators are not a power of two"
        return Rejected(GangRefusal.SHAPE_INVALID, reason)
    if job.declared_seconds <= 0:
        return Rejected(
            GangRefusal.SHAPE_INVALID, "its declared run time is not positive"
        )
    return None


def check_quota(view: GangView, job: Job, now: float) -> Rejected | None:
    """Refuse a job that exceeds its organisation's quota on its own.

    Guarantee claims do not count against the quota.
    """
    del now
    quota = view.cfg.organisations[job.organisation].quota_accelerators
    wanted = job.shape.members * job.shape.accelerators
    if job.guaranteed or quota is None or wanted <= quota:
        return None
    reason = f"it needs {wanted} accelerators; quota of {job.organisation} is {quota}"
    return Rejected(GangRefusal.QUOTA_EXCEEDED, reason)


def check_guarantee_claim(view: GangView, job: Job, now: float) -> Rejected | None:
    """Refuse a guarantee claim that no guarantee of the organisation covers."""
    del now
    if not job.guaranteed or find_guarantee(job, local_guarantees(view)):
        return None
    shape = describe_shape(job.shape)
    reason = f"no guarantee of {job.organisation} covers {shape}"
    return Rejected(GangRefusal.GUARANTEE_MISSING, reason)


def check_shape_fits(view: GangView, job: Job, now: float) -> Rejected | None:
    """Refuse a shape that doesn't fit even when all long-term workers are empty."""
    occ = Occupancy(long_term_workers(view, job, now))
    if place_gang(occ, job.shape, BuddyCells()) is None:
        return explain_unplaceable(view, job)
    return None


def check_fits_beside_guarantees(
    view: GangView, job: Job, now: float
) -> Rejected | None:
    """Refuse a job that can't be reclaimed and doesn't fit beside all guarantees."""
    if job.guaranteed or is_reclaimable(job):
        return None
    workers = long_term_workers(view, job, now)
    copies = list_copies(local_guarantees(view), {})
    match pack_copies(Occupancy(workers), copies):
        case Infeasible():
            # The guarantees don't fit even without this job.
            return None
        case Feasible(packing=packing):
            pass
    occ = Occupancy(workers)
    for packed in packing:
        occ.allocate(packed.copy.shape, packed.slots)
    if place_gang(occ, job.shape, BuddyCells()) is not None:
        return None
    # The packing may have split the blocks that the job needs, so retry with the job
    # placed first.
    occ = Occupancy(workers)
    occ.allocate(job.shape, place_gang(occ, job.shape, BuddyCells()) or ())
    match pack_copies(occ, copies):
        case Infeasible(reason=reason):
            return Rejected(
                GangRefusal.WOULD_BREAK_GUARANTEE,
                f"it can't be stopped within the reclaim bound, and beside it {reason}",
            )
        case Feasible():
            return None


def explain_unplaceable(view: GangView, job: Job) -> Rejected:
    """Return why a job does not fit on the long-term workers."""
    workers = {
        name: worker
        for name, worker in view.cfg.workers.items()
        if worker.data_centre == view.data_centre
    }
    shape = describe_shape(job.shape)
    if place_gang(Occupancy(workers), job.shape, BuddyCells()) is None:
        reason = f"{shape} does not fit on the workers even when all are empty"
        return Rejected(GangRefusal.SHAPE_IMPOSSIBLE, reason)
    reason = f"{shape} does not fit on the workers without a planned stop or drain"
    return Rejected(GangRefusal.STOP_PLANNED, reason)


def long_term_workers(view: GangView, job: Job, now: float) -> dict[str, Worker]:
    """Return the workers that are neither drained nor stopped for good too early.

    A stop for good is too early if it begins before a job that starts now could use
    the worker. Unreachable and quarantined workers are included, since they may
    return, and so are workers that return after a planned stop.
    """
    ready = now + min_seconds_before_stop(JobRecord(job, JobState.ACCEPTED))
    stopped = {
        s.target
        for s in view.cfg.stops.values()
        if s.starts_at <= ready and s.ends_at == float("inf")
    }
    excluded = stopped | view.cfg.drained
    return {
        name: worker
        for name, worker in sorted(view.cfg.workers.items())
        if worker.data_centre == view.data_centre and name not in excluded
    }
