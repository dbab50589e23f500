"""Placement of all members of a gang on free resources, or of none of them."""

from collections.abc import Callable, Iterable, Iterator

from geraniumwell.commands.gangs.blocks import buddy_blocks, first_blocks
from geraniumwell.commands.gangs.occupancy import Occupancy, Slot
from geraniumwell.commands.gangs.policy import BestFit, BuddyCells, FirstFit, Packing
from geraniumwell.model.job import SameDataCentre, SameRack, SameWorker, Shape

NO_WORKERS: frozenset[str] = frozenset()


def place_gang(
    occ: Occupancy, shape: Shape, packing: Packing, avoid: frozenset[str] = NO_WORKERS
) -> tuple[Slot, ...] | None:
    """Return one slot for each gang member, or ``None`` if they don't all fit."""
    names = order_workers(occ, shape, packing, avoid)
    match shape.spread:
        case SameWorker():
            for name in names:
                slots = fit_on_worker(occ, name, shape, packing, shape.members)
                if len(slots) == shape.members:
                    return slots
            return None
        case SameRack():
            return place_in_rack(occ, shape, packing, names)
        case SameDataCentre():
            return fill_in_order(occ, shape, packing, names)


def fill_in_order(
    occ: Occupancy, shape: Shape, packing: Packing, names: Iterable[str]
) -> tuple[Slot, ...] | None:
    """Place gang members on workers in the given order until all have a slot."""
    found: list[Slot] = []
    for name in names:
        wanted = shape.members - len(found)
        found.extend(fit_on_worker(occ, name, shape, packing, wanted))
        if len(found) == shape.members:
            return tuple(found)
    return None


def place_in_rack(
    occ: Occupancy, shape: Shape, packing: Packing, names: Iterable[str]
) -> tuple[Slot, ...] | None:
    """Place all gang members in one rack.

    ``BuddyCells`` tries the racks with the fewest candidate workers first.
    """
    racks: dict[str, list[str]] = {}
    for name in names:
        racks.setdefault(occ.workers[name].rack, []).append(name)
    ordered = list(racks.values())
    if isinstance(packing, BuddyCells):
        ordered.sort(key=len)
    for group in ordered:
        slots = fill_in_order(occ, shape, packing, group)
        if slots is not None:
            return slots
    return None


def fit_on_worker(
    occ: Occupancy, name: str, shape: Shape, packing: Packing, wanted: int
) -> tuple[Slot, ...]:
    """Return slots for as many gang members as fit on a worker, up to ``wanted``."""
    count = wanted
    if shape.cores:
        count = min(count, occ.cores[name] // shape.cores)
    if shape.memory_gb:
        count = min(count, occ.memory[name] // shape.memory_gb)
    if count <= 0:
        return ()
    if not shape.accelerators:
        return (Slot((name, 0)),) * count
    choose = buddy_blocks if isinstance(packing, BuddyCells) else first_blocks
    total = occ.workers[name].accelerators
    starts = choose(occ.masks[name], total, shape.accelerators, count)
    return tuple(Slot((name, first)) for first in starts)


def order_workers(
    occ: Occupancy, shape: Shape, packing: Packing, avoid: frozenset[str]
) -> Iterator[str]:
    """Yield the workers that may have a slot for a gang member, the preferred first."""
    size = shape.accelerators
    if not size:
        names = [n for n, free in occ.cores.items() if free >= shape.cores]
        groups = [(names, core_only_key(occ, packing))]
    else:
        sizes = sorted(
            block_size
            for block_size in occ.workers_by_largest_block
            if block_size >= size
        )
        key = accelerator_key(occ, packing)
        groups = [
            ([*occ.workers_by_largest_block[block_size]], key) for block_size in sizes
        ]
        if not isinstance(packing, BuddyCells):
            groups = [([n for names, _ in groups for n in names], key)]
    for names, key in groups:
        if avoid:
            names = [n for n in names if n not in avoid]
        names.sort(key=key)
        yield from names


def accelerator_key(
    occ: Occupancy, packing: Packing
) -> Callable[[str], tuple[object, ...]]:
    """Return the sort key of workers for shapes that need accelerators."""
    workers, masks = occ.workers, occ.masks
    match packing:
        case FirstFit():
            return lambda n: (workers[n].rack, n)
        case BestFit():
            return lambda n: (masks[n].bit_count(), occ.cores[n], n)
        case BuddyCells():
            # Applies among workers whose largest free blocks have the same size.
            free = occ.rack_free
            return lambda n: (free[workers[n].rack], masks[n].bit_count(), n)


def core_only_key(
    occ: Occupancy, packing: Packing
) -> Callable[[str], tuple[object, ...]]:
    """Return the sort key of workers for shapes that need only cores.

    Workers with the fewest accelerators come first, which keeps cores free for shapes
    that need accelerators.
    """
    workers, cores = occ.workers, occ.cores
    match packing:
        case FirstFit():
            return lambda n: (workers[n].accelerators, workers[n].rack, n)
        case BestFit() | BuddyCells():
            return lambda n: (workers[n].accelerators, cores[n], n)
