"""Choice of workers for a group of tasks."""

from collections.abc import Callable, Iterable, Iterator

from geraniumwell.commands.batch.capacity import (
    count_fitting,
    find_needs,
    is_suitable,
    limit_of_step,
)
from geraniumwell.model.batch.capacity import Pool, Shelves, WorkerCapacity
from geraniumwell.model.batch.resources import Resources
from geraniumwell.model.batch.unit import Unit

# Workers with the number of tasks that each gets.
Placement = list[tuple[WorkerCapacity, int]]
GetAmount = Callable[[WorkerCapacity], Resources]


def get_free(room: WorkerCapacity) -> Resources:
    """Return what can be taken at once."""
    return room.free


def get_capacity(room: WorkerCapacity) -> Resources:
    """Return what the worker has when it is empty."""
    return room.worker.entry.capacity


def get_later(room: WorkerCapacity) -> Resources:
    """Return what can be taken once stopped tasks have ended."""
    return room.free_after_stops


def place_now(
    pool: Pool, unit: Unit, may_use_headroom: bool, is_far_allowed: Callable[[], bool]
) -> Placement:
    """Return where the tasks of a unit start; empty if they can't.

    Parameters
    ----------
    may_use_headroom : bool
        Whether the workers that are held for urgent work may be used.
    is_far_allowed : callable
        Tells whether tasks may run away from the rack where they run fastest; asked
        only where it matters.
    """
    shelves = [pool.general, pool.headroom] if may_use_headroom else [pool.general]
    if not may_fit(shelves, unit):
        return []
    if not unit.spec.rack and not unit.spec.is_same_rack:
        return fill(iterate_fitting(shelves, unit), unit)
    fitting = list(iterate_fitting(shelves, unit))
    return choose_near(fitting, unit) or (
        fill(fitting, unit) if is_far_allowed() else []
    )


def place(
    rooms: Iterable[WorkerCapacity],
    unit: Unit,
    get_amount: GetAmount,
    is_far_allowed: Callable[[], bool],
) -> Placement:
    """Return where the tasks of a unit go, by any amount of the rooms."""
    fitting = find_fitting(rooms, unit, get_amount)
    if not unit.spec.rack and not unit.spec.is_same_rack:
        return fill(fitting, unit)
    found = choose_near(fitting, unit)
    if found or not fitting or not is_far_allowed():
        return found
    return fill(fitting, unit)


def choose_near(fitting: Placement, unit: Unit) -> Placement:
    """Return where a unit runs fastest, if it fits there."""
    if unit.spec.rack:
        near = [item for item in fitting if item[0].worker.entry.rack == unit.spec.rack]
        return fill(near, unit)
    return place_in_one_rack(fitting, unit)


def could_be_near(rooms: Iterable[WorkerCapacity], unit: Unit) -> bool:
    """Tell whether empty workers could hold a unit where it runs fastest."""
    if unit.spec.rack:
        rooms = [r for r in rooms if r.worker.entry.rack == unit.spec.rack]
        return bool(find_fitting(rooms, unit, get_capacity))
    if not unit.spec.is_same_rack:
        return True
    return bool(place_in_one_rack(find_fitting(rooms, unit, get_capacity), unit))


def may_fit(shelves: list[Shelves], unit: Unit) -> bool:
    """Tell whether the free accelerators could hold a unit.

    It is a bound that takes no look at single workers.
    """
    wanted = unit.spec.needs.accelerators
    left = len(unit.ids) if unit.spec.is_gang else 1
    if not wanted:
        return True
    for shelf in shelves:
        for free, rooms in shelf.items():
            if free >= wanted:
                left -= len(rooms) * (free // wanted)
    return left <= 0


def iterate_fitting(
    shelves: list[Shelves], unit: Unit
) -> Iterator[tuple[WorkerCapacity, int]]:
    """Yield the workers on which tasks of a unit fit now, the fullest first."""
    levels = sorted({free for shelf in shelves for free in shelf})
    for free in levels:
        if free < unit.spec.needs.accelerators:
            continue
        rooms = [room for shelf in shelves for room in shelf.get(free, {}).values()]
        yield from find_fitting(rooms, unit, get_free)


def find_fitting(
    rooms: Iterable[WorkerCapacity], unit: Unit, get_amount: GetAmount
) -> Placement:
    """Return the workers on which tasks of a unit fit, the fullest first."""
    needs = find_needs(unit.spec)
    wanted = needs.accelerators
    most = len(unit.ids)
    fitting: Placement = []
    for room in rooms:
        amount = get_amount(room)
        if amount.accelerators < wanted or not is_suitable(room, unit):
            continue
        if unit.spec.max_per_worker:
            most = min(len(unit.ids), limit_of_step(room, unit))
        if count := count_fitting(amount, needs, most):
            fitting.append((room, count))
    # Filling the fullest first keeps whole workers free for large tasks.
    fitting.sort(key=lambda item: _rank_fullness(item[0], get_amount(item[0])))
    return fitting


def _rank_fullness(
    room: WorkerCapacity, amount: Resources
) -> tuple[int, int, int, str]:
    name = room.worker.entry.id
    return (amount.accelerators, amount.memory_mb, amount.cpu_millis, name)


def place_in_one_rack(fitting: Placement, unit: Unit) -> Placement:
    """Return a placement inside the rack that it fills best, if there is one."""
    by_rack: dict[str, Placement] = {}
    for item in fitting:
        by_rack.setdefault(item[0].worker.entry.rack, []).append(item)
    best: Placement = []
    best_rest = 0
    for items in by_rack.values():
        found = fill(items, unit)
        if not found:
            continue
        rest = sum(count for _, count in items) - len(unit.ids)
        if not best or rest < best_rest:
            best, best_rest = found, rest
    return best


def fill(fitting: Iterable[tuple[WorkerCapacity, int]], unit: Unit) -> Placement:
    """Give the tasks of a unit to workers in order.

    A gang is placed whole or not at all, other tasks as far as they fit.
    """
    left = len(unit.ids)
    found: Placement = []
    for room, count in fitting:
        taken = min(count, left)
        found.append((room, taken))
        left -= taken
        if not left:
            return found
    return [] if unit.spec.is_gang else found
