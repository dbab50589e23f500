"""A planning round: decides which tasks are stopped and which are started."""

from dataclasses import dataclass, field, replace

from geraniumwell.commands.batch.capacity import find_reserved_resources
from geraniumwell.commands.batch.ends import mark_gang_broken
from geraniumwell.commands.batch.evacuation import evacuate_draining_workers
from geraniumwell.commands.batch.headroom import may_use_headroom
from geraniumwell.commands.batch.indexing import allocate, refresh_fleet
from geraniumwell.commands.batch.leases import find_expired_workers
from geraniumwell.commands.batch.lifecycle import (
    find_step_run,
    list_gang,
    mark_job_unsaved,
    release_task,
    request_stop,
    stop_gang,
)
from geraniumwell.commands.batch.placement import (
    Placement,
    could_fit_locally,
    get_free_after_stops,
    is_placed_locally,
    place,
    place_in_order,
    place_now,
)
from geraniumwell.commands.batch.preemption import find_preemption, is_guaranteed
from geraniumwell.commands.batch.priorities import URGENT_PRIORITY, find_step_spec
from geraniumwell.commands.batch.progress import is_paused, stop_stalled
from geraniumwell.commands.batch.resumption import is_resuming, keep_former_workers
from geraniumwell.commands.batch.speeds import can_afford_slow_worker
from geraniumwell.commands.batch.units import open_occurrences, refresh_queue
from geraniumwell.model.batch.capacity import Pool, WorkerCapacity
from geraniumwell.model.batch.cluster import (
    Cluster,
    Order,
    StartTask,
    StopTask,
)
from geraniumwell.model.batch.job import ENDED_STATES, Phase, StepRun, StopReason, Task
from geraniumwell.model.batch.unit import PlacementShape, Unit

# Time in which the other members of a broken gang end by themselves on healthy workers.
BROKEN_GANG_SECONDS = 0.8
# Time after which a stop order without effect is sent again.
STOP_REPEAT_SECONDS = 1.0
# Time after which a guaranteed unit may run outside its preferred rack. It takes
# several seconds longer there, but it has to start within about 3 s.
GUARANTEED_LOCAL_WAIT_SECONDS = 1.3
# Multiple of its estimated run time after which another unit may run outside its
# preferred rack, where it takes longer.
LOCAL_WAIT_FACTOR = 1.5
LOCAL_WAIT_LIMIT_SECONDS = 12.0


@dataclass(slots=True)
class RoundCache:
    """Results for shapes within one round, in which free capacity only decreases.

    Parameters
    ----------
    unfit : set
        Shapes that fit on no worker, each with whether the headroom was tried too.
    unfit_by_speed : set
        Gang shapes that fit on workers of both speeds only, each with whether the
        headroom was tried too and whether slow workers were preferred.
    unpreemptible : set of PlacementShape
        Shapes that would not fit after a preemption either.
    fits_locally : dict
        Whether a shape would fit into its preferred rack if the workers were idle.
    """

    unfit: set[tuple[PlacementShape, bool]] = field(default_factory=set)
    unfit_by_speed: set[tuple[PlacementShape | None, bool, bool]] = field(
        default_factory=set
    )
    unpreemptible: set[PlacementShape] = field(default_factory=set)
    fits_locally: dict[PlacementShape, bool] = field(default_factory=dict)


def plan(cluster: Cluster, now: float, wall_now: float) -> list[Order]:
    """Run one planning round; update the state and return the orders to send."""
    orders: list[Order] = []
    open_occurrences(cluster, wall_now)
    release_expired(cluster, now)
    orders += stop_broken_gangs(cluster, now)
    orders += stop_stalled(cluster, now)
    orders += repeat_stops(cluster, now)
    orders += evacuate_draining_workers(cluster, now)
    refresh_fleet(cluster, now)
    refresh_queue(cluster, now, wall_now)
    orders += place_units(cluster, now, wall_now)
    return orders


def release_expired(cluster: Cluster, now: float) -> None:
    """Release the tasks of workers whose leases must have expired."""
    for worker in find_expired_workers(cluster, now):
        for task in list(worker.tasks.values()):
            release_task(cluster, task)
            mark_gang_broken(cluster, task, now)


def stop_broken_gangs(cluster: Cluster, now: float) -> list[Order]:
    """Stop the remaining members of broken gangs."""
    orders: list[Order] = []
    for key in sorted(cluster.broken_gangs):
        step = find_step_run(cluster, key)
        if step is None or not step.broken_at:
            cluster.broken_gangs.discard(key)
            continue
        if now - step.broken_at < BROKEN_GANG_SECONDS:
            continue
        step.broken_at = 0.0
        cluster.broken_gangs.discard(key)
        if cluster.jobs[key[0]].state in ENDED_STATES:
            continue
        for task in step.tasks:
            orders += request_stop(cluster, task, StopReason.GANG_BROKEN, now)
    return orders


def repeat_stops(cluster: Cluster, now: float) -> list[Order]:
    """Return the stop orders to send again, because they have had no effect so far."""
    orders: list[Order] = []
    for task in list(cluster.stopping_tasks.values()):
        if task.phase is not Phase.STOPPING or task.stopped_at is None:
            del cluster.stopping_tasks[task.id]
        elif now - task.stopped_at >= STOP_REPEAT_SECONDS:
            task.stopped_at = now
            orders.append(StopTask(task.worker, task.id, task.run, task.stop_reason))
    return orders


def place_units(cluster: Cluster, now: float, wall_now: float) -> list[Order]:
    """Start units that fit, in order of urgency, and preempt for guaranteed units."""
    orders: list[Order] = []
    cache = RoundCache()
    postponed: list[Unit] = []
    use = dict(cluster.fleet.urgent_use)
    for unit in list(cluster.queue.units):
        pool = cluster.fleet.pools.get(unit.service)
        if pool is None:
            continue
        if unit.priority != URGENT_PRIORITY and postponed:
            # Guaranteed units come before the gangs that only had to stop.
            for stopped in postponed:
                keep_former_workers(cluster, pool, stopped)
            postponed.clear()
        may_preempt = is_guaranteed(cluster, unit, use)
        if not unit.is_complete:
            if is_resuming(unit, now):
                postponed.append(unit)
            continue
        if is_paused(pool, unit, may_preempt, now):
            continue
        found = find_placement(pool, unit, may_preempt, cache, now, wall_now)
        if found:
            orders += start_unit(cluster, unit, found, now)
            count_urgent_use(use, unit, sum(count for _, count in found))
        elif may_preempt and unit.shape not in cache.unpreemptible:
            stops, is_reserved = preempt(cluster, pool, unit, cache, now)
            orders += stops
            if is_reserved:
                count_urgent_use(use, unit, len(unit.ids))
        elif is_resuming(unit, now):
            postponed.append(unit)
    return orders


def count_urgent_use(use: dict[str, int], unit: Unit, tasks: int) -> None:
    """Count accelerators of urgent tasks against their organisation's guarantee."""
    if unit.priority == URGENT_PRIORITY:
        taken = tasks * unit.spec.needs.accelerators
        use[unit.organisation] = use.get(unit.organisation, 0) + taken


def find_placement(
    pool: Pool,
    unit: Unit,
    may_preempt: bool,
    cache: RoundCache,
    now: float,
    wall_now: float,
) -> Placement:
    """Return a placement of a unit on free capacity; cache shapes that do not fit."""
    # A gang that had to stop needs only the capacity of one member more.
    can_use_headroom = may_use_headroom(pool, unit, now) or is_resuming(unit, now)
    if (unit.shape, can_use_headroom) in cache.unfit:
        return []
    is_waiting_for_rack = False

    def check_remote() -> bool:
        """Return whether the unit may run remotely; record if it waits for its rack."""
        nonlocal is_waiting_for_rack
        allowed = is_remote_allowed(pool, unit, may_preempt, cache, now)
        is_waiting_for_rack = not allowed
        return allowed

    found = place_now(pool, unit, can_use_headroom, check_remote)
    # Others of the same shape may have waited longer, so waiting is not cached.
    if not found and not is_waiting_for_rack and unit.shape is not None:
        cache.unfit.add((unit.shape, can_use_headroom))
    if not found or not pool.slow_workers:
        return found
    return place_by_speed(pool, unit, found, can_use_headroom, cache, wall_now)


def place_by_speed(
    pool: Pool,
    unit: Unit,
    found: Placement,
    can_use_headroom: bool,
    cache: RoundCache,
    wall_now: float,
) -> Placement:
    """Return a placement on workers of the preferred speed, or ``found``.

    Work that can afford it takes slow workers first, so that fast ones stay free for
    urgent work. A gang on both kinds would take as long as on slow workers alone, so it
    is placed on one kind if it fits there.
    """
    prefers_slow = unit.priority != URGENT_PRIORITY and can_afford_slow_worker(
        pool, unit, wall_now
    )
    slow = pool.slow_workers
    kinds = {capacity.worker.entry.id in slow for capacity, _ in found}
    key = (unit.shape, can_use_headroom, prefers_slow)
    if kinds == {prefers_slow} or key in cache.unfit_by_speed:
        return found
    if not unit.spec.is_gang:
        return (
            place_in_order(
                pool,
                unit,
                can_use_headroom,
                lambda c: c.worker.entry.id in slow,
                prefers_slow,
            )
            or found
        )
    is_local = is_placed_locally(found, unit)
    choices = [prefers_slow] if len(kinds) == 1 else [prefers_slow, not prefers_slow]
    for wants_slow in choices:
        better = place_now(
            pool,
            unit,
            can_use_headroom,
            lambda: not is_local,
            lambda c, wanted=wants_slow: (c.worker.entry.id in slow) is wanted,
        )
        if better:
            return better
    if unit.shape is not None:
        cache.unfit_by_speed.add(key)
    return found


def is_remote_allowed(
    pool: Pool, unit: Unit, may_preempt: bool, cache: RoundCache, now: float
) -> bool:
    """Return whether a unit may run outside its preferred rack.

    It may after a waiting time, and immediately if it would not fit into a rack even if
    the workers were idle.
    """
    waited = now - unit.waiting_since
    limit = min(
        LOCAL_WAIT_FACTOR * unit.spec.estimate_seconds, LOCAL_WAIT_LIMIT_SECONDS
    )
    if waited >= (GUARANTEED_LOCAL_WAIT_SECONDS if may_preempt else limit):
        return True
    if unit.shape is None:
        return not could_fit_locally(pool.capacities.values(), unit)
    if unit.shape not in cache.fits_locally:
        cache.fits_locally[unit.shape] = could_fit_locally(
            pool.capacities.values(), unit
        )
    return not cache.fits_locally[unit.shape]


def start_unit(
    cluster: Cluster, unit: Unit, placement: Placement, now: float
) -> list[Order]:
    """Assign the tasks of a unit to workers; return the start orders."""
    orders: list[Order] = []
    job = cluster.jobs[unit.key[0]]
    step = job.steps[unit.key[1], unit.key[2]]
    tasks = iter([step.tasks[task_id.index] for task_id in unit.ids])
    gang_run = max(task.run for task in step.tasks) + 1
    checkpoint = find_checkpoint(step)
    for capacity, count in placement:
        for _ in range(count):
            task = next(tasks)
            task.run = gang_run if unit.spec.is_gang else task.run + 1
            saved = checkpoint if unit.spec.is_gang else task.checkpoint
            assign_task(cluster, capacity, task, now)
            orders.append(
                StartTask(task.worker, task.id, task.run, job.spec.payload, saved)
            )
        allocate(cluster, capacity, unit, count)
    step.broken_at = step.resumed_since = 0.0
    step.former_workers = ()
    mark_job_unsaved(cluster, job.spec.id)
    return orders


def assign_task(
    cluster: Cluster, capacity: WorkerCapacity, task: Task, now: float
) -> None:
    """Assign a task to a worker."""
    task.phase = Phase.STARTING
    task.worker = capacity.worker.entry.id
    task.start_settled_at = None
    task.is_start_sent = False
    task.stopped_at = task.stop_reason = None
    task.progress = 0
    task.base_clock_ms = None
    task.has_speed_sample = False
    task.started_at = task.progressed_at = now
    capacity.worker.tasks[task.id] = task
    cluster.mark_worker_changed(task.worker)


def find_checkpoint(step: StepRun) -> str:
    """Return the latest checkpoint of a gang; that of any member is valid for all."""
    return max((task.checkpoint for task in step.tasks), default="")


def preempt(
    cluster: Cluster, pool: Pool, unit: Unit, cache: RoundCache, now: float
) -> tuple[list[Order], bool]:
    """Preempt tasks for a guaranteed unit, and reserve the capacity for it.

    Return the stop orders, and whether the unit fits once the stopped tasks have ended.
    No further task is stopped if the tasks that stop already are sufficient.
    """
    capacities = list(pool.capacities.values())
    found = place(
        capacities,
        unit,
        get_free_after_stops,
        lambda: is_remote_allowed(pool, unit, True, cache, now),
    )
    for capacity, count in found:
        allocate(cluster, capacity, unit, count)
    placed = sum(count for _, count in found)
    if placed == len(unit.ids):
        return [], True
    rest = replace(unit, ids=unit.ids[placed:])
    preemption = find_preemption(cluster, capacities, rest, now)
    if preemption is None:
        if unit.shape is not None:
            cache.unpreemptible.add(unit.shape)
        return [], False
    orders: list[Order] = []
    for victim in preemption.victims:
        for member in list_gang(cluster, victim):
            release_early(cluster, pool, member)
        orders += stop_gang(cluster, victim, StopReason.PREEMPTED, now)
    for capacity, count in preemption.placement:
        allocate(cluster, capacity, unit, count)
    return orders, True


def release_early(cluster: Cluster, pool: Pool, task: Task) -> None:
    """Count the capacity of a task that is about to stop as free after the stops.

    Other guaranteed units of the same round then need not stop further tasks.
    """
    capacity = pool.capacities.get(task.worker)
    if capacity is not None and task.phase in (Phase.STARTING, Phase.RUNNING):
        spec = find_step_spec(cluster, task.id)
        capacity.free_after_stops.add(find_reserved_resources(spec))
