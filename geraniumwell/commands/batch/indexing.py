"""Updates the index of the fleet's free capacity incrementally.

Only workers that have changed since the last planning round are indexed again, so the
cost of a round depends on the number of changes and not on the size of the fleet.
"""

from heapq import heappop, heappush

from geraniumwell.commands.batch.capacity import (
    find_reserved_resources,
    is_eligible,
    make_worker_capacity,
    record_step,
)
from geraniumwell.commands.batch.headroom import choose_headroom
from geraniumwell.commands.batch.health import (
    MIN_UNRESPONSIVE_WORKERS,
    find_unresponsive_data_centres,
)
from geraniumwell.commands.batch.speeds import refresh_slow_workers
from geraniumwell.model.batch.capacity import (
    CapacityBuckets,
    FleetIndex,
    Pool,
    WorkerCapacity,
)
from geraniumwell.model.batch.cluster import Cluster
from geraniumwell.model.batch.unit import Unit
from geraniumwell.model.batch.worker import WorkerState


def refresh_fleet(cluster: Cluster, now: float) -> None:
    """Index all changed workers again, and choose the headroom workers."""
    fleet = cluster.fleet
    changed = cluster.changed_workers
    if fleet.catalog_version != cluster.catalog.version:
        # Priorities of queues may have changed, which affects all workers.
        fleet.catalog_version = cluster.catalog.version
        changed.update(cluster.workers)
    while fleet.avoidance_ends and fleet.avoidance_ends[0][0] <= now:
        changed.add(heappop(fleet.avoidance_ends)[1])
    affected = (
        _update_unresponsive(cluster)
        | cluster.evacuated_data_centres ^ fleet.evacuated_data_centres
    )
    fleet.evacuated_data_centres = cluster.evacuated_data_centres
    changed.update(_list_workers(cluster, affected))
    for name in sorted(changed):
        _rebuild(cluster, name, now)
    changed.clear()
    refresh_slow_workers(cluster, now)
    for pool in fleet.pools.values():
        if pool.is_stale:
            pool.is_stale = False
            _set_headroom(pool, choose_headroom(pool))


def _list_workers(cluster: Cluster, data_centres: frozenset[str]) -> list[str]:
    if not data_centres:
        return []
    return [
        name
        for name, worker in cluster.workers.items()
        if worker.entry.data_centre in data_centres
    ]


def _update_unresponsive(cluster: Cluster) -> frozenset[str]:
    """Update the unresponsive data centres; return those that changed."""
    fleet = cluster.fleet
    for name in cluster.changed_workers:
        worker = cluster.workers.get(name)
        if worker is not None and worker.unresponsive_at > worker.last_answer_at:
            fleet.unresponsive.add(name)
        else:
            fleet.unresponsive.discard(name)
    found: frozenset[str] = frozenset()
    if len(fleet.unresponsive) >= MIN_UNRESPONSIVE_WORKERS:
        found = find_unresponsive_data_centres(cluster.workers.values())
    changed = found ^ fleet.unresponsive_data_centres
    fleet.unresponsive_data_centres = found
    return changed


def _rebuild(cluster: Cluster, name: str, now: float) -> None:
    fleet = cluster.fleet
    before = fleet.capacities.pop(name, None)
    if before is not None:
        _remove(fleet, before)
    worker = cluster.workers.get(name)
    if worker is None:
        return
    capacity = make_worker_capacity(cluster, worker)
    fleet.capacities[name] = capacity
    for org, count in capacity.urgent.items():
        fleet.urgent_use[org] = fleet.urgent_use.get(org, 0) + count
    if now < worker.avoid_until:
        heappush(fleet.avoidance_ends, (worker.avoid_until, name))
    if not is_eligible(worker, now):
        return
    affected = fleet.unresponsive_data_centres | fleet.evacuated_data_centres
    if worker.entry.data_centre not in affected:
        _insert(fleet, capacity)


def _remove(fleet: FleetIndex, capacity: WorkerCapacity) -> None:
    for org, count in capacity.urgent.items():
        fleet.urgent_use[org] -= count
    entry = capacity.worker.entry
    # The service in the entry may have changed since, so all pools are searched.
    for pool in fleet.pools.values():
        if pool.capacities.get(entry.id) is not capacity:
            continue
        del pool.capacities[entry.id]
        pool.accelerators -= capacity.accelerators
        _remove_from_bucket(pool, capacity)
        for rack, names in list(pool.idle.items()):
            names.discard(entry.id)
            if not names:
                del pool.idle[rack]
        pool.is_stale = True


def _insert(fleet: FleetIndex, capacity: WorkerCapacity) -> None:
    worker = capacity.worker
    pool = fleet.pools.setdefault(worker.entry.service, Pool())
    name = worker.entry.id
    pool.capacities[name] = capacity
    pool.accelerators += capacity.accelerators
    capacity.is_headroom = name in pool.headroom_workers
    _add_to_bucket(pool, capacity)
    if not worker.tasks and worker.state is WorkerState.READY:
        pool.idle.setdefault(worker.entry.rack, set()).add(name)
    pool.is_stale = True


def _set_headroom(pool: Pool, names: frozenset[str]) -> None:
    """Set the workers that are reserved for urgent work."""
    for name in pool.headroom_workers ^ names:
        capacity = pool.capacities.get(name)
        if capacity is not None:
            _remove_from_bucket(pool, capacity)
            capacity.is_headroom = name in names
            _add_to_bucket(pool, capacity)
    pool.headroom_workers = names


def _get_buckets(pool: Pool, capacity: WorkerCapacity) -> CapacityBuckets:
    return pool.headroom if capacity.is_headroom else pool.general


def _add_to_bucket(pool: Pool, capacity: WorkerCapacity) -> None:
    bucket = _get_buckets(pool, capacity).setdefault(capacity.free.accelerators, {})
    bucket[capacity.worker.entry.id] = capacity
    pool.free += capacity.free.accelerators


def _remove_from_bucket(pool: Pool, capacity: WorkerCapacity) -> None:
    buckets = _get_buckets(pool, capacity)
    bucket = buckets[capacity.free.accelerators]
    del bucket[capacity.worker.entry.id]
    pool.free -= capacity.free.accelerators
    if not bucket:
        del buckets[capacity.free.accelerators]


def allocate(
    cluster: Cluster, capacity: WorkerCapacity, unit: Unit, count: int
) -> None:
    """Subtract ``count`` tasks of a unit from all amounts of free capacity of a worker.

    The worker is indexed again in the next round, so capacity that was only reserved
    for a unit becomes free again.
    """
    pool = cluster.fleet.pools[unit.service]
    needs = find_reserved_resources(unit.spec)
    _remove_from_bucket(pool, capacity)
    for _ in range(count):
        capacity.free.subtract(needs)
        capacity.free_after_stops.subtract(needs)
        capacity.free_after_preemption.subtract(needs)
    record_step(capacity, unit.spec, unit.ids[0], count)
    _add_to_bucket(pool, capacity)
    cluster.changed_workers.add(capacity.worker.entry.id)
