"""Chooses workers for the tasks of a unit."""

from collections.abc import Callable, Iterable, Iterator

from geraniumwell.commands.batch.capacity import (
    count_allowed_tasks,
    count_fitting,
    find_reserved_resources,
    is_suitable,
)
from geraniumwell.model.batch.capacity import CapacityBuckets, Pool, WorkerCapacity
from geraniumwell.model.batch.resources import Resources
from geraniumwell.model.batch.unit import Unit

# Workers, with the number of tasks for each.
Placement = list[tuple[WorkerCapacity, int]]
GetResources = Callable[[WorkerCapacity], Resources]


def get_free(capacity: WorkerCapacity) -> Resources:
    """Return the resources that are free now."""
    return capacity.free


def get_total(capacity: WorkerCapacity) -> Resources:
    """Return the total resources of a worker."""
    return capacity.worker.entry.capacity


def get_free_after_stops(capacity: WorkerCapacity) -> Resources:
    """Return the resources that are free once the stopping tasks have ended."""
    return capacity.free_after_stops


def place_now(
    pool: Pool,
    unit: Unit,
    may_use_headroom: bool,
    is_remote_allowed: Callable[[], bool],
    is_usable: Callable[[WorkerCapacity], bool] | None = None,
) -> Placement:
    """Return a placement of a unit on free capacity; empty if there is none.

    Parameters
    ----------
    may_use_headroom : bool
        Whether the workers that are reserved for urgent work may be used.
    is_remote_allowed : callable
        Returns whether tasks may run outside their preferred rack. Called only if the
        answer affects the placement.
    is_usable : callable or None
        Returns whether a worker may be used; None if all of them may.

    Notes
    -----
    A gang is placed in one data centre if it fits into one: if any member's data centre
    is cut off from the others, the whole gang is lost.
    """
    buckets = [pool.general, pool.headroom] if may_use_headroom else [pool.general]
    if not may_fit(buckets, unit):
        return []
    is_local = bool(unit.spec.rack or unit.spec.is_same_rack)
    if not is_local and not unit.spec.is_gang:
        return fill(iterate_fitting(buckets, unit, is_usable), unit)
    fitting = list(iterate_fitting(buckets, unit, is_usable))
    if is_local:
        found = place_locally(fitting, unit)
        if found or not is_remote_allowed():
            return found
    return place_in_one_group(fitting, unit, get_data_centre) or fill(fitting, unit)


def place_in_order(
    pool: Pool,
    unit: Unit,
    may_use_headroom: bool,
    has_property: Callable[[WorkerCapacity], bool],
    preferred: bool,
) -> Placement:
    """Return a placement of independent tasks that fills preferred workers first.

    Empty for tasks that prefer a rack: data in the rack matters more.

    Parameters
    ----------
    has_property : callable
        Returns the property of a worker that has to equal ``preferred``.
    """
    if unit.spec.rack or unit.spec.is_same_rack:
        return []
    buckets = [pool.general, pool.headroom] if may_use_headroom else [pool.general]
    fitting = list(iterate_fitting(buckets, unit))
    fitting.sort(key=lambda item: has_property(item[0]) is not preferred)
    return fill(fitting, unit)


def place(
    capacities: Iterable[WorkerCapacity],
    unit: Unit,
    get_resources: GetResources,
    is_remote_allowed: Callable[[], bool],
) -> Placement:
    """Return a placement of a unit by the resources that ``get_resources`` returns."""
    fitting = find_fitting(capacities, unit, get_resources)
    if not unit.spec.rack and not unit.spec.is_same_rack:
        return fill(fitting, unit)
    found = place_locally(fitting, unit)
    if found or not fitting or not is_remote_allowed():
        return found
    return fill(fitting, unit)


def place_locally(fitting: Placement, unit: Unit) -> Placement:
    """Return a placement in the preferred rack, or an empty one.

    The preferred rack is that with the data of the tasks, or any single rack.
    """
    if unit.spec.rack:
        local = [
            item for item in fitting if item[0].worker.entry.rack == unit.spec.rack
        ]
        return fill(local, unit)
    return place_in_one_group(fitting, unit, get_rack)


def is_placed_locally(placement: Placement, unit: Unit) -> bool:
    """Return whether a placement is in the preferred rack, if there is one."""
    racks = {capacity.worker.entry.rack for capacity, _ in placement}
    if unit.spec.rack:
        return racks == {unit.spec.rack}
    return not unit.spec.is_same_rack or len(racks) == 1


def could_fit_locally(capacities: Iterable[WorkerCapacity], unit: Unit) -> bool:
    """Return whether a unit would fit into its preferred rack on idle workers."""
    if unit.spec.rack:
        capacities = [c for c in capacities if c.worker.entry.rack == unit.spec.rack]
        return bool(find_fitting(capacities, unit, get_total))
    if not unit.spec.is_same_rack:
        return True
    fitting = find_fitting(capacities, unit, get_total)
    return bool(place_in_one_group(fitting, unit, get_rack))


def may_fit(buckets: list[CapacityBuckets], unit: Unit) -> bool:
    """Return whether a unit may fit, by the number of free accelerators alone.

    This upper bound avoids visiting the individual workers.
    """
    wanted = unit.spec.needs.accelerators
    remaining = len(unit.ids) if unit.spec.is_gang else 1
    if not wanted:
        return True
    for bucket in buckets:
        for free, capacities in bucket.items():
            if free >= wanted:
                remaining -= len(capacities) * (free // wanted)
    return remaining <= 0


def iterate_fitting(
    buckets: list[CapacityBuckets],
    unit: Unit,
    is_usable: Callable[[WorkerCapacity], bool] | None = None,
) -> Iterator[tuple[WorkerCapacity, int]]:
    """Yield the workers on which tasks of a unit fit now, the least free one first."""
    levels = sorted({free for bucket in buckets for free in bucket})
    for free in levels:
        if free < unit.spec.needs.accelerators:
            continue
        capacities = [
            capacity
            for bucket in buckets
            for capacity in bucket.get(free, {}).values()
            if is_usable is None or is_usable(capacity)
        ]
        yield from find_fitting(capacities, unit, get_free)


def find_fitting(
    capacities: Iterable[WorkerCapacity], unit: Unit, get_resources: GetResources
) -> Placement:
    """Return the workers on which tasks of a unit fit, the least free one first."""
    needs = find_reserved_resources(unit.spec)
    wanted = needs.accelerators
    max_tasks = len(unit.ids)
    fitting: Placement = []
    for capacity in capacities:
        amount = get_resources(capacity)
        if amount.accelerators < wanted or not is_suitable(capacity, unit):
            continue
        if unit.spec.max_per_worker:
            max_tasks = min(len(unit.ids), count_allowed_tasks(capacity, unit))
        if count := count_fitting(amount, needs, max_tasks):
            fitting.append((capacity, count))
    # Using the least free worker first keeps whole workers idle for large tasks.
    fitting.sort(key=lambda item: _get_fullness_key(item[0], get_resources(item[0])))
    return fitting


def _get_fullness_key(
    capacity: WorkerCapacity, amount: Resources
) -> tuple[int, int, int, str]:
    name = capacity.worker.entry.id
    return (amount.accelerators, amount.memory_mb, amount.cpu_millis, name)


def get_rack(capacity: WorkerCapacity) -> str:
    """Return the rack of a worker."""
    return capacity.worker.entry.rack


def get_data_centre(capacity: WorkerCapacity) -> str:
    """Return the data centre of a worker."""
    return capacity.worker.entry.data_centre


def place_in_one_group(
    fitting: Placement, unit: Unit, get_group: Callable[[WorkerCapacity], str]
) -> Placement:
    """Return a placement in the group that has the least capacity left after it.

    Groups are racks or data centres. The placement is empty if the unit fits into none.
    """
    by_group: dict[str, Placement] = {}
    for item in fitting:
        by_group.setdefault(get_group(item[0]), []).append(item)
    best: Placement = []
    best_unused = 0
    for items in by_group.values():
        found = fill(items, unit)
        if not found:
            continue
        unused = sum(count for _, count in items) - len(unit.ids)
        if not best or unused < best_unused:
            best, best_unused = found, unused
    return best


def fill(fitting: Iterable[tuple[WorkerCapacity, int]], unit: Unit) -> Placement:
    """Assign the tasks of a unit to workers in the given order.

    A gang is placed as a whole or not at all, other tasks as far as they fit.
    """
    remaining = len(unit.ids)
    found: Placement = []
    for capacity, count in fitting:
        assigned = min(count, remaining)
        found.append((capacity, assigned))
        remaining -= assigned
        if not remaining:
            return found
    return [] if unit.spec.is_gang else found
