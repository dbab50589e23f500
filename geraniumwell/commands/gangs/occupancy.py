"""Index of the free resources of workers, for tentative placements."""

from collections.abc import Iterable

from geraniumwell.commands.gangs.blocks import block_mask, largest_block
from geraniumwell.model.gang_view import LeaseTable, mask_of
from geraniumwell.model.job import Shape
from geraniumwell.model.worker import TaskLease, Worker


class Slot(tuple[str, int]):
    """Place of one gang member: worker and first accelerator."""

    __slots__ = ()


class Occupancy:
    """Free accelerators, cores and memory of each usable worker.

    Workers are also kept by the size of their largest free block, so a search looks
    only at workers that can hold the block.
    """

    __slots__ = (
        "cores",
        "level_of",
        "levels",
        "masks",
        "memory",
        "rack_free",
        "workers",
    )

    def __init__(
        self, workers: dict[str, Worker], leases: LeaseTable | None = None
    ) -> None:
        self.workers = workers
        self.masks: dict[str, int] = {}
        self.cores: dict[str, int] = {}
        self.memory: dict[str, int] = {}
        self.level_of: dict[str, int] = {}
        self.levels: dict[int, set[str]] = {}
        self.rack_free: dict[str, int] = {}
        for name, worker in workers.items():
            mask = (1 << worker.accelerators) - 1
            cores, memory = worker.cores, worker.memory_gb
            use = leases.usage_of(name) if leases is not None else None
            if use is not None:
                mask &= ~use.mask
                cores -= use.cores
                memory -= use.memory_gb
            self.masks[name] = mask
            self.cores[name] = cores
            self.memory[name] = memory
            level = largest_block(mask, worker.accelerators) if mask else 0
            self.level_of[name] = level
            self.levels.setdefault(level, set()).add(name)
            free = self.rack_free.get(worker.rack, 0)
            self.rack_free[worker.rack] = free + mask.bit_count()

    def copy(self) -> "Occupancy":
        """Return an independent copy; the table of workers is shared."""
        other = Occupancy.__new__(Occupancy)
        other.workers = self.workers
        other.masks = self.masks.copy()
        other.cores = self.cores.copy()
        other.memory = self.memory.copy()
        other.level_of = self.level_of.copy()
        other.levels = {level: names.copy() for level, names in self.levels.items()}
        other.rack_free = self.rack_free.copy()
        return other

    def set_mask(self, name: str, mask: int) -> None:
        """Set the free accelerators of a worker and keep the index right."""
        worker = self.workers[name]
        change = mask.bit_count() - self.masks[name].bit_count()
        self.rack_free[worker.rack] += change
        self.masks[name] = mask
        old = self.level_of[name]
        new = largest_block(mask, worker.accelerators)
        if old == new:
            return
        self.level_of[name] = new
        self.levels[old].discard(name)
        self.levels.setdefault(new, set()).add(name)

    def take(self, shape: Shape, slots: Iterable[Slot]) -> None:
        """Mark the resources of gang members as taken; other workers are ignored."""
        for worker, first in slots:
            if worker not in self.masks:
                continue
            if shape.accelerators:
                bits = block_mask(first, shape.accelerators)
                self.set_mask(worker, self.masks[worker] & ~bits)
            self.cores[worker] -= shape.cores
            self.memory[worker] -= shape.memory_gb

    def give(self, shape: Shape, slots: Iterable[Slot]) -> None:
        """Mark the resources of gang members as free; other workers are ignored."""
        for worker, first in slots:
            if worker not in self.masks:
                continue
            if shape.accelerators:
                bits = block_mask(first, shape.accelerators)
                self.set_mask(worker, self.masks[worker] | bits)
            self.cores[worker] += shape.cores
            self.memory[worker] += shape.memory_gb

    def take_lease(self, lease: TaskLease) -> None:
        """Mark the resources of a lease as taken; other workers are ignored."""
        if lease.worker not in self.masks:
            return
        if lease.accelerators:
            self.set_mask(lease.worker, self.masks[lease.worker] & ~mask_of(lease))
        self.cores[lease.worker] -= lease.cores
        self.memory[lease.worker] -= lease.memory_gb

    def give_lease(self, lease: TaskLease) -> None:
        """Mark the resources of a lease as free; other workers are ignored."""
        if lease.worker not in self.masks:
            return
        if lease.accelerators:
            self.set_mask(lease.worker, self.masks[lease.worker] | mask_of(lease))
        self.cores[lease.worker] += lease.cores
        self.memory[lease.worker] += lease.memory_gb

    def free_accelerators(self) -> int:
        """Return the number of free accelerators."""
        return sum(self.rack_free.values())


def intersect(occ: Occupancy, other: Occupancy) -> Occupancy:
    """Return what is free in both, where ``other`` may cover fewer workers."""
    both = occ.copy()
    for name, mask in other.masks.items():
        if name not in both.masks:
            continue
        both.set_mask(name, both.masks[name] & mask)
        both.cores[name] = min(both.cores[name], other.cores[name])
        both.memory[name] = min(both.memory[name], other.memory[name])
    return both
