"""Reservation for the first job that does not fit, as in EASY backfill."""

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
    """Slots and expected start of a job, with the jobs that have to end before.

    Parameters
    ----------
    at : float
        Expected start in Unix seconds.
    slots : tuple of Slot
        Slots of the gang members.
    after : tuple of str
        Jobs that hold the slots now.
    """

    at: float
    slots: tuple[Slot, ...]
    after: tuple[str, ...]


def list_expected_ends(
    view: GangView,
    now: float,
    trust_declared: bool,
    stopped: Container[str] = (),
) -> list[tuple[float, str]]:
    """Return the expected end of each running job with its id, the earliest first.

    Jobs in ``stopped`` are left out: this plan stops them and already counts their
    resources as free.
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
    """Return the earliest time at which the expected ends of jobs let a shape fit.

    The leases of jobs are released in groups of about the square root of the number
    of jobs, then one by one inside the first group after which the shape fits. This
    keeps the number of tried placements low.
    """
    step = max(1, isqrt(len(ends)))
    remaining = occ.copy()
    for start in range(0, len(ends), step):
        group = ends[start : start + step]
        before = remaining.copy()
        for _, job_id in group:
            release_job_leases(view, remaining, job_id, shape)
        if place_gang(remaining, shape, packing, avoid) is None:
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
    """Release a job's leases on the workers that can hold a shape."""
    needs_accelerators = bool(shape.accelerators)
    for report in view.leases.list_by_job(job_id):
        worker = occ.workers.get(report.lease.worker)
        if worker is None or (needs_accelerators and not worker.accelerators):
            continue
        occ.release_lease(report.lease)


def list_blocking_jobs(
    view: GangView, slots: tuple[Slot, ...], shape: Shape
) -> tuple[str, ...]:
    """Return the jobs that hold accelerators of slots.

    For a shape without accelerators, return all jobs on the workers of the slots.
    """
    found: dict[str, None] = {}
    for worker, first in slots:
        bits = ((1 << shape.accelerators) - 1) << first
        for report in view.leases.list_by_worker(worker):
            lease = report.lease
            mask = ((1 << lease.accelerators) - 1) << lease.first_accelerator
            if not shape.accelerators or mask & bits:
                found[lease.job_id] = None
    return tuple(found)
