"""Keeps guarantees reclaimable while a plan places jobs."""

from geraniumwell.commands.gangs.blocks import block_mask
from geraniumwell.commands.gangs.guarantees import (
    Feasible,
    GuaranteeCopy,
    Infeasible,
    PackedCopy,
    list_copies,
    local_guarantees,
    pack_copies,
)
from geraniumwell.commands.gangs.occupancy import Occupancy, Slot
from geraniumwell.commands.gangs.placement import place_gang
from geraniumwell.commands.gangs.planned_stops import list_stops
from geraniumwell.commands.gangs.policy import BuddyCells
from geraniumwell.commands.gangs.reclaim import (
    build_reclaimable,
    count_claims,
    find_guarantee,
    is_reclaimable,
)
from geraniumwell.model.gang_view import GangView
from geraniumwell.model.guarantee import Guarantee
from geraniumwell.model.job import Job, Shape
from geraniumwell.model.worker import Worker

Placements = tuple[tuple[Shape, tuple[Slot, ...]], ...]


class GuaranteeGuard:
    """A packing of all unclaimed copies of guarantees, kept valid by each placement.

    ``free_after_reclaim`` holds the resources that are free once all reclaimable jobs
    have stopped; ``unreserved`` holds those of them that the packing does not use. For
    each worker and each planned stop, ``relocations`` holds the slots to which the
    copies on the lost workers would move, or ``None`` if there are none. ``by_worker``
    holds the packed copies on each worker, by their index in ``packing``. A job that
    fits in ``unreserved`` without using slots of a relocation breaks no guarantee, so
    most checks need no new packing.
    """

    __slots__ = (
        "by_worker",
        "claimed",
        "copies",
        "guarantees",
        "free_after_reclaim",
        "missing",
        "initially_missing",
        "packing",
        "relocations",
        "unreserved",
        "view",
    )

    def __init__(self, view: GangView, workers: dict[str, Worker], now: float) -> None:
        self.view = view
        self.guarantees = local_guarantees(view)
        self.claimed = count_claims(view, self.guarantees) if self.guarantees else {}
        if all(g.shape.accelerators for g in self.guarantees):
            workers = {n: w for n, w in workers.items() if w.accelerators}
        self.free_after_reclaim = build_reclaimable(
            view, workers if self.guarantees else {}
        )
        self.relocations: dict[frozenset[str], Placements | None] = {}
        self.refresh()
        self.initially_missing = len(self.missing)
        if not self.guarantees:
            return
        for worker in workers:
            self.relocations[frozenset({worker})] = ()
        for stop in list_stops(view, now):
            group = {
                s.target
                for s in list_stops(view, now)
                if s.starts_at < stop.ends_at and stop.starts_at < s.ends_at
            }
            self.relocations[frozenset(group)] = ()
        self.relocations = {
            lost: self.find_relocation(lost) for lost in self.relocations
        }

    def refresh(self) -> None:
        """Compute a new packing of all unclaimed copies."""
        self.copies = list_copies(self.guarantees, self.claimed)
        match pack_copies(self.free_after_reclaim, self.copies):
            case Feasible(packing=packing):
                self.packing: tuple[PackedCopy, ...] = packing
                self.missing: tuple[GuaranteeCopy, ...] = ()
            case Infeasible(packing=packing, missing=missing):
                self.packing, self.missing = packing, missing
        self.unreserved = self.free_after_reclaim.copy()
        self.by_worker: dict[str, dict[int, PackedCopy]] = {}
        for index, packed in enumerate(self.packing):
            self.unreserved.allocate(packed.copy.shape, packed.slots)
            for worker, _ in packed.slots:
                self.by_worker.setdefault(worker, {})[index] = packed

    def find_relocation(self, lost: frozenset[str]) -> Placements | None:
        """Return new slots for copies on lost workers, or ``None`` if none fit."""
        found_copies: dict[int, PackedCopy] = {}
        for worker in lost:
            found_copies |= self.by_worker.get(worker, {})
        moved = [found_copies[index] for index in sorted(found_copies)]
        shapes = [p.copy.shape for p in moved] + self.list_claimed_shapes(lost)
        if not shapes:
            return ()
        remaining = self.unreserved.copy()
        for packed in moved:
            remaining.release(packed.copy.shape, packed.slots)
        found: list[tuple[Shape, tuple[Slot, ...]]] = []
        for shape in shapes:
            slots = place_gang(remaining, shape, BuddyCells(), lost)
            if slots is None:
                return None
            remaining.allocate(shape, slots)
            found.append((shape, slots))
        return tuple(found)

    def list_claimed_shapes(self, lost: frozenset[str]) -> list[Shape]:
        """Return the guaranteed shapes of the running claims that use lost workers."""
        if not self.claimed:
            return []
        jobs = {
            r.lease.job_id for w in lost for r in self.view.leases.list_by_worker(w)
        }
        shapes: list[Shape] = []
        for job_id in sorted(jobs):
            record = self.view.jobs.get(job_id)
            if record is None or not record.job.guaranteed:
                continue
            guarantee = find_guarantee(record.job, self.guarantees)
            if guarantee is not None:
                shapes.append(guarantee.shape)
        return shapes

    def find_claimable_guarantee(self, job: Job) -> Guarantee | None:
        """Return the guarantee of which a claim may use an unclaimed copy."""
        claimable = [g for g in self.guarantees if self.has_unclaimed_copy(g)]
        return find_guarantee(job, claimable)

    def has_unclaimed_copy(self, guarantee: Guarantee) -> bool:
        """Return whether a guarantee has an unclaimed copy."""
        return self.claimed.get(guarantee.name, 0) < guarantee.count

    def find_packed_slots(
        self, guarantee: Guarantee, job: Job
    ) -> tuple[Slot, ...] | None:
        """Return the slots that the packing reserves for a claim of a guarantee."""
        for packed in self.packing:
            if packed.copy.guarantee == guarantee.name:
                return packed.slots[: job.shape.members]
        return None

    def allows(self, job: Job, slots: tuple[Slot, ...]) -> bool:
        """Return whether a job that is no guarantee claim may take slots."""
        if not self.guarantees or is_reclaimable(job):
            return True
        if not fits(self.unreserved, job.shape, slots):
            return self.allows_repacked(job, slots)
        return all(
            self.tolerates_loss(lost, job.shape, slots)
            for lost, placed in self.relocations.items()
            if placed is not None
        )

    def tolerates_loss(
        self, lost: frozenset[str], shape: Shape, slots: tuple[Slot, ...]
    ) -> bool:
        """Return whether copies on lost workers still have other slots beside a job."""
        if any(worker in lost for worker, _ in slots):
            return True
        placed = self.relocations[lost]
        if not placed:
            return True
        taken = {w for _, group in placed for w, _ in group}
        if not any(worker in taken for worker, _ in slots):
            return True
        unreserved, self.unreserved = self.unreserved, self.unreserved.copy()
        self.unreserved.allocate(shape, slots)
        relocated = self.find_relocation(lost)
        self.unreserved = unreserved
        return relocated is not None

    def allows_repacked(self, job: Job, slots: tuple[Slot, ...]) -> bool:
        """Return whether a new packing keeps all guarantees when a job takes slots."""
        if not fits(self.free_after_reclaim, job.shape, slots):
            return False
        trial = self.copy_for_trial()
        trial.free_after_reclaim.allocate(job.shape, slots)
        trial.refresh()
        if len(trial.missing) > len(self.missing):
            return False
        return all(
            trial.find_relocation(lost) is not None
            for lost, placed in self.relocations.items()
            if placed is not None
        )

    def describe_conflict(self, job: Job, slots: tuple[Slot, ...]) -> str:
        """Return which guarantees a job would break if it took slots."""
        trial = self.copy_for_trial()
        trial.free_after_reclaim.allocate(job.shape, slots)
        trial.refresh()
        known = {(c.guarantee, c.number) for c in self.missing}
        names = sorted(
            {
                copy.guarantee
                for copy in trial.missing
                if (copy.guarantee, copy.number) not in known
            }
        )
        bound = "it can't be stopped within the reclaim bound"
        if names:
            return f"{bound}, and {', '.join(names)} could not be reclaimed beside it"
        return (
            f"{bound}, and beside it guarantees would not survive the loss of a worker "
            "or a planned stop"
        )

    def allows_claim(
        self, guarantee: Guarantee, job: Job, slots: tuple[Slot, ...]
    ) -> bool:
        """Return whether all other copies stay reclaimable when a claim takes slots."""
        if not fits(self.free_after_reclaim, job.shape, slots):
            return False
        trial = self.copy_for_trial()
        trial.claimed[guarantee.name] = trial.claimed.get(guarantee.name, 0) + 1
        trial.free_after_reclaim.allocate(job.shape, slots)
        trial.refresh()
        return len(trial.missing) <= len(self.missing)

    def commit(self, job: Job, slots: tuple[Slot, ...]) -> None:
        """Update the packing after a job was placed."""
        if not self.guarantees or is_reclaimable(job):
            return
        if job.guaranteed:
            guarantee = self.find_claimable_guarantee(job)
            if guarantee is not None:
                count = self.claimed.get(guarantee.name, 0) + 1
                self.claimed[guarantee.name] = count
        keeps_packing = not job.guaranteed and fits(self.unreserved, job.shape, slots)
        self.free_after_reclaim.allocate(job.shape, slots)
        if keeps_packing:
            # A new packing might miss a copy that the current one has slots for.
            self.unreserved.allocate(job.shape, slots)
        else:
            self.refresh()
        self.relocations = {
            lost: None if placed is None else self.find_relocation(lost)
            for lost, placed in self.relocations.items()
        }

    def copy_for_trial(self) -> "GuaranteeGuard":
        """Return a copy for a trial placement, which shares the relocations."""
        other = GuaranteeGuard.__new__(GuaranteeGuard)
        other.view, other.guarantees = self.view, self.guarantees
        other.claimed, other.free_after_reclaim = (
            self.claimed.copy(),
            self.free_after_reclaim.copy(),
        )
        other.relocations = self.relocations
        return other


def fits(occ: Occupancy, shape: Shape, slots: tuple[Slot, ...]) -> bool:
    """Return whether slots are free; workers outside the index are ignored."""
    cores: dict[str, int] = {}
    for worker, first in slots:
        if worker not in occ.masks:
            continue
        bits = block_mask(first, shape.accelerators)
        if occ.masks[worker] & bits != bits:
            return False
        cores[worker] = cores.get(worker, 0) + 1
    return all(
        occ.cores[worker] >= count * shape.cores
        and occ.memory[worker] >= count * shape.memory_gb
        for worker, count in cores.items()
    )
