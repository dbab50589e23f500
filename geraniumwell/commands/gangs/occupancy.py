"""Index of the free resources of workers, for trial placements."""

from collections.abc import Iterable

from geraniumwell.commands.gangs.blocks import block_mask, largest_block
from geraniumwell.model.gang_view import LeaseTable, make_accelerator_mask
from geraniumwell.model.job import Shape
from geraniumwell.model.worker import TaskLease, Worker


class Slot(tuple[str, int]):
    """Worker and first accelerator of one gang member."""

    __slots__ = ()


class Occupancy:
    """Free accelerators, cores and memory of each usable worker.

    Workers are also indexed by the size of their largest free block, so a search for a
    block visits only the workers that can hold it.
    """

    __slots__ = (
        "cores",
        "largest_block_by_worker",
        "workers_by_largest_block",
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
        self.largest_block_by_worker: dict[str, int] = {}
        self.workers_by_largest_block: dict[int, set[str]] = {}
        self.rack_free: dict[str, int] = {}
        for name, worker in workers.items():
            mask = (1 << worker.accelerators) - 1
            cores, memory = worker.cores, worker.memory_gb
            usage = leases.usage_of(name) if leases is not None else None
            if usage is not None:
                mask &= ~usage.mask
                cores -= usage.cores
                memory -= usage.memory_gb
            self.masks[name] = mask
            self.cores[name] = cores
            self.memory[name] = memory
            block_size = largest_block(mask, worker.accelerators) if mask else 0
            self.largest_block_by_worker[name] = block_size
            self.workers_by_largest_block.setdefault(block_size, set()).add(name)
            free = self.rack_free.get(worker.rack, 0)
            self.rack_free[worker.rack] = free + mask.bit_count()

    def copy(self) -> "Occupancy":
        """Return an independent copy, which shares only the table of workers."""
        other = Occupancy.__new__(Occupancy)
        other.workers = self.workers
        other.masks = self.masks.copy()
        other.cores = self.cores.copy()
        other.memory = self.memory.copy()
        other.largest_block_by_worker = self.largest_block_by_worker.copy()
        other.workers_by_largest_block = {
            block_size: names.copy()
            for block_size, names in self.workers_by_largest_block.items()
        }
        other.rack_free = self.rack_free.copy()
        return other

    def set_mask(self, name: str, mask: int) -> None:
        """Set the free accelerators of a worker and update the index."""
        worker = self.workers[name]
        change = mask.bit_count() - self.masks[name].bit_count()
        self.rack_free[worker.rack] += change
        self.masks[name] = mask
        old = self.largest_block_by_worker[name]
        new = largest_block(mask, worker.accelerators)
        if old == new:
            return
        self.largest_block_by_worker[name] = new
        self.workers_by_largest_block[old].discard(name)
        self.workers_by_largest_block.setdefault(new, set()).add(name)

    def allocate(self, shape: Shape, slots: Iterable[Slot]) -> None:
        """Allocate the resources of gang members; unknown workers are ignored."""
        for worker, first in slots:
            if worker not in self.masks:
                continue
            if shape.accelerators:
                bits = block_mask(first, shape.accelerators)
                self.set_mask(worker, self.masks[worker] & ~bits)
            self.cores[worker] -= shape.cores
            self.memory[worker] -= shape.memory_gb

    def release(self, shape: Shape, slots: Iterable[Slot]) -> None:
        """Free the resources of gang members; unknown workers are ignored."""
        for worker, first in slots:
            if worker not in self.masks:
                continue
            if shape.accelerators:
                bits = block_mask(first, shape.accelerators)
                self.set_mask(worker, self.masks[worker] | bits)
            self.cores[worker] += shape.cores
            self.memory[worker] += shape.memory_gb

    def allocate_lease(self, lease: TaskLease) -> None:
        """Allocate the resources of a lease; an unknown worker is ignored."""
        if lease.worker not in self.masks:
            return
        if lease.accelerators:
            self.set_mask(
                lease.worker, self.masks[lease.worker] & ~make_accelerator_mask(lease)
            )
        self.cores[lease.worker] -= lease.cores
        self.memory[lease.worker] -= lease.memory_gb

    def release_lease(self, lease: TaskLease) -> None:
        """Free the resources of a lease; an unknown worker is ignored."""
        if lease.worker not in self.masks:
            return
        if lease.accelerators:
            self.set_mask(
                lease.worker, self.masks[lease.worker] | make_accelerator_mask(lease)
            )
        self.cores[lease.worker] += lease.cores
        self.memory[lease.worker] += lease.memory_gb

    def free_accelerators(self) -> int:
        """Return the number of free accelerators."""
        return sum(self.rack_free.values())


def intersect(occ: Occupancy, other: Occupancy) -> Occupancy:
    """Return the resources that are free in both; ``other`` may cover fewer workers."""
    both = occ.copy()
    for name, mask in other.masks.items():
        if name not in both.masks:
            continue
        both.set_mask(name, both.masks[name] & mask)
        both.cores[name] = min(both.cores[name], other.cores[name])
        both.memory[name] = min(both.memory[name], other.memory[name])
    return both
