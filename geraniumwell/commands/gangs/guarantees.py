"""Feasibility of all guarantees at once, and workers whose loss would break them."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from geraniumwell.commands.gangs.occupancy import Occupancy, Slot
from geraniumwell.commands.gangs.placement import place_gang
from geraniumwell.commands.gangs.policy import BuddyCells, FirstFit, Packing
from geraniumwell.commands.gangs.reclaim import (
    build_reclaimable,
    count_claims,
    usable_workers,
)
from geraniumwell.model.gang_view import GangView
from geraniumwell.model.guarantee import Guarantee
from geraniumwell.model.job import SameDataCentre, SameRack, SameWorker, Shape
from geraniumwell.model.worker import Worker


@dataclass(slots=True, frozen=True)
class GuaranteeCopy:
    """One of the ``count`` copies of a guarantee."""

    guarantee: str
    number: int
    shape: Shape


@dataclass(slots=True, frozen=True)
class PackedCopy:
    """A copy of a guarantee and the slots where it could run."""

    copy: GuaranteeCopy
    slots: tuple[Slot, ...]


@dataclass(slots=True, frozen=True)
class Feasible:
    """All copies fit at once; ``packing`` holds their slots."""

    packing: tuple[PackedCopy, ...]


@dataclass(slots=True, frozen=True)
class Infeasible:
    """No packing of all copies was found; ``packing`` holds the copies that fit."""

    reason: str
    missing: tuple[GuaranteeCopy, ...]
    packing: tuple[PackedCopy, ...] = ()


Feasibility = Feasible | Infeasible


@dataclass(slots=True, frozen=True)
class WorkerAtRisk:
    """A worker whose loss would break guarantees."""

    worker: str
    guarantees: tuple[str, ...]
    reason: str


def check_guarantees(
    workers: Mapping[str, Worker],
    guarantees: Iterable[Guarantee],
    claimed: Mapping[str, int] | None = None,
    occ: Occupancy | None = None,
) -> Feasibility:
    """Return whether all unclaimed copies of guarantees fit at once.

    Parameters
    ----------
    workers : mapping of str to Worker
        Usable workers of a data centre.
    guarantees : iterable of Guarantee
        Guarantees of that data centre.
    claimed : mapping of str to int, optional
        Number of copies of each guarantee that are already in use.
    occ : Occupancy, optional
        Resources that are free or can be reclaimed in time; by default all.
    """
    if occ is None:
        occ = Occupancy(dict(workers))
    return pack_copies(occ, list_copies(guarantees, claimed or {}))


def list_copies(
    guarantees: Iterable[Guarantee], claimed: Mapping[str, int]
) -> list[GuaranteeCopy]:
    """Return the unclaimed copies, the hardest to place first."""
    copies = [
        GuaranteeCopy(g.name, number, g.shape)
        for g in guarantees
        for number in range(claimed.get(g.name, 0), g.count)
    ]
    copies.sort(key=lambda c: (*placement_difficulty(c.shape), c.guarantee, c.number))
    return copies


def placement_difficulty(shape: Shape) -> tuple[int, ...]:
    """Return a sort key that puts shapes that are hard to place first.

    For aligned power-of-two blocks alone, placing the largest first is optimal.
    """
    match shape.spread:
        case SameWorker():
            block = shape.members * shape.accelerators
            return (-block, 1, -shape.cores * shape.members)
        case SameRack():
            return (-shape.accelerators, 0, -shape.members)
        case SameDataCentre():
            return (-shape.accelerators, 2, -shape.members)


def pack_copies(
    occ: Occupancy, copies: list[GuaranteeCopy], avoid: frozenset[str] = frozenset()
) -> Feasibility:
    """Place copies greedily, with a second packing policy if the first one fails."""
    if not copies:
        return Feasible(())
    attempts: list[Infeasible] = []
    for packing in (BuddyCells(), FirstFit()):
        placed, missing = pack_greedily(occ, copies, packing, avoid)
        if not missing:
            return Feasible(tuple(placed))
        first = missing[0]
        reason = (
            f"{len(placed)} of {len(copies)} guaranteed copies fit at once; "
            f"no slots are left for copy {first.number + 1} of {first.guarantee} "
            f"({describe_shape(first.shape)})"
        )
        attempts.append(Infeasible(reason, tuple(missing), tuple(placed)))
    return min(attempts, key=lambda a: len(a.missing))


def pack_greedily(
    occ: Occupancy, copies: list[GuaranteeCopy], packing: Packing, avoid: frozenset[str]
) -> tuple[list[PackedCopy], list[GuaranteeCopy]]:
    """Return the copies that were placed and those that did not fit."""
    remaining = occ.copy()
    placed: list[PackedCopy] = []
    missing: list[GuaranteeCopy] = []
    for copy in copies:
        slots = place_gang(remaining, copy.shape, packing, avoid)
        if slots is None:
            missing.append(copy)
            continue
        remaining.allocate(copy.shape, slots)
        placed.append(PackedCopy(copy, slots))
    return placed, missing


def describe_shape(shape: Shape) -> str:
    """Return a shape in words, for messages to operators."""
    match shape.spread:
        case SameWorker():
            where = "on one worker"
        case SameRack():
            where = "in one rack"
        case SameDataCentre():
            where = "in the data centre"
    return (
        f"{shape.members} x {shape.accelerators} accelerators, {shape.cores} cores, "
        f"{shape.memory_gb} GB {where}"
    )


def local_guarantees(view: GangView) -> list[Guarantee]:
    """Return the guarantees of a view's data centre, sorted by name."""
    guarantees = view.cfg.guarantees
    return [
        guarantees[n]
        for n in sorted(guarantees)
        if guarantees[n].data_centre == view.data_centre
    ]


def find_workers_at_risk(view: GangView, now: float) -> tuple[WorkerAtRisk, ...]:
    """Return the workers whose loss alone would break guarantees."""
    guarantees = local_guarantees(view)
    if not guarantees:
        return ()
    found: list[WorkerAtRisk] = []
    workers = usable_workers(view, now)
    if all(g.shape.accelerators for g in guarantees):
        workers = {n: w for n, w in workers.items() if w.accelerators}
    needed = find_critical_workers(view, workers, guarantees)
    for name in workers:
        if name not in needed:
            continue
        left = {n: w for n, w in workers.items() if n != name}
        lost_jobs = frozenset(r.lease.job_id for r in view.leases.list_by_worker(name))
        occ = build_reclaimable(view, left, lost_jobs)
        claimed = count_claims(view, guarantees, lost_jobs)
        match check_guarantees(left, guarantees, claimed, occ):
            case Infeasible(reason=reason, missing=missing):
                names = tuple(sorted({c.guarantee for c in missing}))
                found.append(WorkerAtRisk(name, names, reason))
            case Feasible():
                pass
    return tuple(found)


def find_critical_workers(
    view: GangView, workers: dict[str, Worker], guarantees: list[Guarantee]
) -> frozenset[str]:
    """Return the workers whose loss could break a guarantee.

    If all copies fit now, these are the workers that the packing uses and those that
    run guarantee claims; the packing does not need the others. Otherwise, these are
    all workers.
    """
    occ = build_reclaimable(view, workers)
    claimed = count_claims(view, guarantees)
    match check_guarantees(workers, guarantees, claimed, occ):
        case Infeasible():
            return frozenset(workers)
        case Feasible(packing=packing):
            pass
    needed = {worker for packed in packing for worker, _ in packed.slots}
    for name in workers:
        for report in view.leases.list_by_worker(name):
            record = view.jobs.get(report.lease.job_id)
            if record is None or record.job.guaranteed:
                needed.add(name)
    return frozenset(needed)
