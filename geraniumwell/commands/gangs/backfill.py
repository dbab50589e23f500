"""The reservation of the first job that does not fit (EASY backfill)."""

from collections.abc import Container
from dataclasses import dataclass
from math import isqrt

from geraniumwell.commands.gangs.estimates import predict_end
from geraniumwell.commands.gangs.occupancy import Occupancy, Slot
from geraniumwell.commands.gangs.placement import place_gang
from geraniumwell.commands.gangs.policy import Packing
from geraniumwell.model.gang_view import GangView
from geraniumwell.model.job import JobState, Shape


@dataclass(slots=True, frozen=True)
class Reservation:
    """Where and when a job is expected to start, and what has to end before."""

    at: float
    slots: tuple[Slot, ...]
    after: tuple[str, ...]


def list_ends(
    view: GangView,
    now: float,
    trust_declared: bool,
    stopped: Container[str] = (),
) -> list[tuple[float, str]]:
    """Return the expected ends of the running jobs, the earliest first.

    Jobs in ``stopped`` are being stopped by this plan, which counts them as free.
    """
    ends: list[tuple[float, str]] = []
    for job_id in view.leases.job_ids():
        record = view.jobs.get(job_id)
        if record is None or record.state is JobState.STOPPING or job_id in stopped:
            continue
        ends.append((predict_end(view, record, now, trust_declared), job_id))
    ends.sort()
    return ends


def find_reservation(
    view: GangView,
    occ: Occupancy,
    shape: Shape,
    packing: Packing,
    ends: list[tuple[float, str]],
    avoid: frozenset[str] = frozenset(),
) -> Reservation | None:
    """Return when enough running jobs are expected to have ended for a shape.

    Jobs are released in groups of about the square root of their number, then one
    by one inside the group that makes room, so few placements are tried.
    """
    step = max(1, isqrt(len(ends)))
    left = occ.copy()
    for start in range(0, len(ends), step):
        group = ends[start : start + step]
        before = left.copy()
        for _, job_id in group:
            release_job_leases(view, left, job_id, shape)
        if place_gang(left, shape, packing, avoid) is None:
            continue
        for at, job_id in group:
            release_job_leases(view, before, job_id, shape)
            slots = place_gang(before, shape, packing, avoid)
            if slots is not None:
                return Reservation(at, slots, list_blocking_jobs(view, slots, shape))
    return None


def release_job_leases(
    view: GangView, occ: Occupancy, job_id: str, shape: Shape
) -> None:
    """Mark what a job holds as free, where it matters for a shape."""
    needs_accelerators = bool(shape.accelerators)
    for report in view.leases.of_job(job_id):
        worker = occ.workers.get(report.lease.worker)
        if worker is None or (needs_accelerators and not worker.accelerators):
            continue
        occ.give_lease(report.lease)


def list_blocking_jobs(
    view: GangView, slots: tuple[Slot, ...], shape: Shape
) -> tuple[str, ...]:
    """Return the jobs that now hold accelerators of slots, or else share workers."""
    found: dict[str, None] = {}
    for worker, first in slots:
        bits = ((1 << shape.accelerators) - 1) << first
        for report in view.leases.of_worker(worker):
            lease = report.lease
            mask = ((1 << lease.accelerators) - 1) << lease.first_accelerator
            if not shape.accelerators or mask & bits:
                found[lease.job_id] = None
    return tuple(found)
