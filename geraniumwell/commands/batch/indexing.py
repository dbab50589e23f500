"""Keeps the index of the fleet's room up to date.

Only workers that were touched since the last round are counted anew, so the cost of a
round follows what has changed and not the size of the fleet.
"""

from heapq import heappop, heappush

from geraniumwell.commands.batch.capacity import (
    can_receive,
    find_needs,
    make_worker_capacity,
    note_step,
)
from geraniumwell.commands.batch.headroom import choose_headroom
from geraniumwell.commands.batch.health import CUT_OFF_WORKERS, find_silent_data_centres
from geraniumwell.model.batch.capacity import FleetIndex, Pool, Shelves, WorkerCapacity
from geraniumwell.model.batch.cluster import Cluster
from geraniumwell.model.batch.unit import Unit
from geraniumwell.model.batch.worker import WorkerState


def refresh_fleet(cluster: Cluster, now: float) -> None:
    """Count the room of all touched workers anew, and choose the held workers."""
    fleet = cluster.fleet
    touched = cluster.changed_workers
    if fleet.catalog_version != cluster.catalog.version:
        # Priorities of queues may have changed.
        fleet.catalog_version = cluster.catalog.version
        touched.update(cluster.workers)
    while fleet.wake_ups and fleet.wake_ups[0][0] <= now:
        touched.add(heappop(fleet.wake_ups)[1])
    closed = (
        _update_silence(cluster)
        | cluster.evacuated_data_centres ^ fleet.evacuated_data_centres
    )
    fleet.evacuated_data_centres = cluster.evacuated_data_centres
    touched.update(_list_workers(cluster, closed))
    for name in sorted(touched):
        _rebuild(cluster, name, now)
    touched.clear()
    for pool in fleet.pools.values():
        if pool.is_stale:
            pool.is_stale = False
            _hold(pool, choose_headroom(pool))


def _list_workers(cluster: Cluster, data_centres: frozenset[str]) -> list[str]:
    if not data_centres:
        return []
    return [
        name
        for name, worker in cluster.workers.items()
        if worker.entry.data_centre in data_centres
    ]


def _update_silence(cluster: Cluster) -> frozenset[str]:
    """Find the cut off data centres anew; return those that changed."""
    fleet = cluster.fleet
    for name in cluster.changed_workers:
        worker = cluster.workers.get(name)
        if worker is not None and worker.unresponsive_at > worker.last_answer_at:
            fleet.silent.add(name)
        else:
            fleet.silent.discard(name)
    found: frozenset[str] = frozenset()
    if len(fleet.silent) >= CUT_OFF_WORKERS:
        found = find_silent_data_centres(cluster.workers.values())
    changed = found ^ fleet.silent_data_centres
    fleet.silent_data_centres = found
    return changed


def _rebuild(cluster: Cluster, name: str, now: float) -> None:
    fleet = cluster.fleet
    before = fleet.rooms.pop(name, None)
    if before is not None:
        _remove(fleet, before)
    worker = cluster.workers.get(name)
    if worker is None:
        return
    room = make_worker_capacity(cluster, worker)
    fleet.rooms[name] = room
    for org, count in room.urgent.items():
        fleet.urgent_use[org] = fleet.urgent_use.get(org, 0) + count
    if now < worker.avoid_until:
        heappush(fleet.wake_ups, (worker.avoid_until, name))
    if not can_receive(worker, now):
        return
    closed = fleet.silent_data_centres | fleet.evacuated_data_centres
    if worker.entry.data_centre not in closed:
        _insert(fleet, room)


def _remove(fleet: FleetIndex, room: WorkerCapacity) -> None:
    for org, count in room.urgent.items():
        fleet.urgent_use[org] -= count
    entry = room.worker.entry
    # The entry may name another service by now, so the room is looked for by itself.
    for pool in fleet.pools.values():
        if pool.rooms.get(entry.id) is not room:
            continue
        del pool.rooms[entry.id]
        pool.accelerators -= room.accelerators
        _unshelve(pool, room)
        for rack, names in list(pool.idle.items()):
            names.discard(entry.id)
            if not names:
                del pool.idle[rack]
        pool.is_stale = True


def _insert(fleet: FleetIndex, room: WorkerCapacity) -> None:
    worker = room.worker
    pool = fleet.pools.setdefault(worker.entry.service, Pool())
    name = worker.entry.id
    pool.rooms[name] = room
    pool.accelerators += room.accelerators
    room.is_headroom = name in pool.headroom_workers
    _shelve(pool, room)
    if not worker.tasks and worker.state is WorkerState.READY:
        pool.idle.setdefault(worker.entry.rack, set()).add(name)
    pool.is_stale = True


def _hold(pool: Pool, names: frozenset[str]) -> None:
    """Move rooms between those for all work and those for urgent work only."""
    for name in pool.headroom_workers ^ names:
        room = pool.rooms.get(name)
        if room is not None:
            _unshelve(pool, room)
            room.is_headroom = name in names
            _shelve(pool, room)
    pool.headroom_workers = names


def _get_shelves(pool: Pool, room: WorkerCapacity) -> Shelves:
    return pool.headroom if room.is_headroom else pool.general


def _shelve(pool: Pool, room: WorkerCapacity) -> None:
    shelf = _get_shelves(pool, room).setdefault(room.free.accelerators, {})
    shelf[room.worker.entry.id] = room
    pool.free += room.free.accelerators


def _unshelve(pool: Pool, room: WorkerCapacity) -> None:
    shelves = _get_shelves(pool, room)
    shelf = shelves[room.free.accelerators]
    del shelf[room.worker.entry.id]
    pool.free -= room.free.accelerators
    if not shelf:
        del shelves[room.free.accelerators]


def allocate(cluster: Cluster, room: WorkerCapacity, unit: Unit, count: int) -> None:
    """Take the room of ``count`` tasks of a unit, now and later.

    The worker is counted anew in the next round, so room that was only kept for a unit
    does not stay taken.
    """
    pool = cluster.fleet.pools[unit.service]
    needs = find_needs(unit.spec)
    _unshelve(pool, room)
    for _ in range(count):
        room.free.subtract(needs)
        room.free_after_stops.subtract(needs)
        room.free_after_preemption.subtract(needs)
    note_step(room, unit.spec, unit.ids[0], count)
    _shelve(pool, room)
    cluster.changed_workers.add(room.worker.entry.id)
