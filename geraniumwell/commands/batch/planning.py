"""One round of planning: what is stopped and what is started."""

from dataclasses import dataclass, field

from geraniumwell.commands.batch.ends import mark_gang_broken
from geraniumwell.commands.batch.evacuation import evacuate_draining_workers
from geraniumwell.commands.batch.headroom import may_use_headroom
from geraniumwell.commands.batch.health import note_stall
from geraniumwell.commands.batch.indexing import allocate, refresh_fleet
from geraniumwell.commands.batch.leases import find_lapsed
from geraniumwell.commands.batch.lifecycle import (
    find_step_run,
    mark_job_unsaved,
    release_task,
    request_stop,
)
from geraniumwell.commands.batch.placement import (
    Placement,
    could_be_near,
    get_later,
    place,
    place_now,
)
from geraniumwell.commands.batch.preemption import (
    find_preemption,
    is_guaranteed,
    stop_gang,
)
from geraniumwell.commands.batch.priorities import URGENT_PRIORITY
from geraniumwell.commands.batch.units import open_occurrences, refresh_queue
from geraniumwell.model.batch.capacity import Pool, WorkerCapacity
from geraniumwell.model.batch.cluster import (
    Cluster,
    Order,
    StartTask,
    StopTask,
)
from geraniumwell.model.batch.job import ENDED_STATES, Phase, StepRun, Task
from geraniumwell.model.batch.unit import PlacementShape, Unit

# Members of a broken gang end by themselves within this time on sound workers.
BROKEN_GANG_SECONDS = 0.8
# A stop without an answer is sent again after this time.
STOP_REPEAT_SECONDS = 1.0
# Progress is told in whole percent, and looks come every two seconds. The time is that
# of the worker's clock: a report that is read late, because this daemon was paused or
# busy, tells of a time long ago.
STALL_MS = 6_000
# A guaranteed unit gives up the rack where it runs fastest after this time. Running
# far takes several seconds longer, but it has to start within some 3 s.
URGENT_FAR_SECONDS = 1.3
# Other units do after this multiple of their estimate; running far takes longer.
FAR_WAIT_FACTOR = 1.5
FAR_WAIT_LIMIT_SECONDS = 12.0


@dataclass(slots=True)
class Attempts:
    """What was found out about shapes in one round; room only shrinks meanwhile.

    Parameters
    ----------
    unfit : set
        Shapes that fit nowhere now, and whether the held workers were tried too.
    unevictable : set of PlacementShape
        Shapes that fit nowhere after stops of other work either.
    near : dict
        Whether empty workers could hold a shape where it runs fastest.
    """

    unfit: set[tuple[PlacementShape, bool]] = field(default_factory=set)
    unevictable: set[PlacementShape] = field(default_factory=set)
    near: dict[PlacementShape, bool] = field(default_factory=dict)


def plan(cluster: Cluster, now: float, wall_now: float) -> list[Order]:
    """Return the orders of one round; the state says what they bring about."""
    orders: list[Order] = []
    open_occurrences(cluster, wall_now)
    release_lapsed(cluster, now)
    orders += stop_remains(cluster, now)
    orders += stop_stalled(cluster, now)
    orders += repeat_stops(cluster, now)
    orders += evacuate_draining_workers(cluster, now)
    refresh_fleet(cluster, now)
    refresh_queue(cluster, now, wall_now)
    orders += place_units(cluster, now)
    return orders


def release_lapsed(cluster: Cluster, now: float) -> None:
    """Let the tasks of workers wait again whose leases have surely lapsed."""
    for worker in find_lapsed(cluster, now):
        for task in list(worker.tasks.values()):
            release_task(cluster, task)
            mark_gang_broken(cluster, task, now)


def stop_remains(cluster: Cluster, now: float) -> list[Order]:
    """Stop the members of gangs that have lost a member."""
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
            orders += request_stop(cluster, task, now)
    return orders


def stop_stalled(cluster: Cluster, now: float) -> list[Order]:
    """Stop tasks that make no progress although their worker answers.

    Only a report can show that, and it marks its worker as touched.
    """
    orders: list[Order] = []
    for name in sorted(cluster.changed_workers):
        worker = cluster.workers.get(name)
        if worker is None:
            continue
        for task in list(worker.tasks.values()):
            if task.phase is not Phase.RUNNING:
                continue
            since_ms = task.progressed_clock_ms
            if since_ms is None or worker.clock_ms - since_ms < STALL_MS:
                continue
            job = cluster.jobs[task.id.job]
            if job.spec.steps[task.id.step].is_long_running:
                continue
            note_stall(worker, now)
            orders += stop_gang(cluster, task, now)
    return orders


def repeat_stops(cluster: Cluster, now: float) -> list[Order]:
    """Send stops again that seem to have had no effect."""
    orders: list[Order] = []
    for task in list(cluster.stopping_tasks.values()):
        if task.phase is not Phase.STOPPING or task.stopped_at is None:
            del cluster.stopping_tasks[task.id]
        elif now - task.stopped_at >= STOP_REPEAT_SECONDS:
            task.stopped_at = now
            orders.append(StopTask(task.worker, task.id, task.run))
    return orders


def place_units(cluster: Cluster, now: float) -> list[Order]:
    """Start what fits, in order of urgency, and make room for guaranteed work."""
    orders: list[Order] = []
    attempts = Attempts()
    use = dict(cluster.fleet.urgent_use)
    for unit in list(cluster.queue.units):
        pool = cluster.fleet.pools.get(unit.service)
        if pool is None:
            continue
        is_reclaiming = is_guaranteed(cluster, unit, use)
        found = try_now(pool, unit, is_reclaiming, attempts, now)
        if found:
            orders += start_unit(cluster, unit, found, now)
            if unit.priority == URGENT_PRIORITY:
                taken = sum(count for _, count in found) * unit.spec.needs.accelerators
                use[unit.organisation] = use.get(unit.organisation, 0) + taken
        elif is_reclaiming and unit.shape not in attempts.unevictable:
            orders += reclaim(cluster, pool, unit, attempts, now)
    return orders


def try_now(
    pool: Pool, unit: Unit, is_reclaiming: bool, attempts: Attempts, now: float
) -> Placement:
    """Return where a unit starts now; remember shapes that fit nowhere."""
    may_hold = may_use_headroom(pool, unit, now)
    if (unit.shape, may_hold) in attempts.unfit:
        return []
    was_near_wanted = False

    def is_far() -> bool:
        """Decide once the fit is known, and note a unit that waits for its rack."""
        nonlocal was_near_wanted
        allowed = is_far_allowed(pool, unit, is_reclaiming, attempts, now)
        was_near_wanted = not allowed
        return allowed

    found = place_now(pool, unit, may_hold, is_far)
    # A unit that only waits for its rack says nothing about others of its shape.
    if not found and not was_near_wanted and unit.shape is not None:
        attempts.unfit.add((unit.shape, may_hold))
    return found


def is_far_allowed(
    pool: Pool, unit: Unit, is_reclaiming: bool, attempts: Attempts, now: float
) -> bool:
    """Tell whether a unit may run away from its rack.

    It may after a while, and at once if not even empty workers of a rack could hold it.
    """
    waited = now - unit.waiting_since
    limit = min(FAR_WAIT_FACTOR * unit.spec.estimate_seconds, FAR_WAIT_LIMIT_SECONDS)
    if waited >= (URGENT_FAR_SECONDS if is_reclaiming else limit):
        return True
    if unit.shape is None:
        return not could_be_near(pool.rooms.values(), unit)
    if unit.shape not in attempts.near:
        attempts.near[unit.shape] = could_be_near(pool.rooms.values(), unit)
    return not attempts.near[unit.shape]


def start_unit(
    cluster: Cluster, unit: Unit, placement: Placement, now: float
) -> list[Order]:
    """Mark the tasks of a unit as started and return the orders."""
    orders: list[Order] = []
    job = cluster.jobs[unit.key[0]]
    step = job.steps[unit.key[1], unit.key[2]]
    tasks = iter([step.tasks[task_id.index] for task_id in unit.ids])
    gang_run = max(task.run for task in step.tasks) + 1
    checkpoint = find_checkpoint(step)
    for room, count in placement:
        for _ in range(count):
            task = next(tasks)
            task.run = gang_run if unit.spec.is_gang else task.run + 1
            saved = checkpoint if unit.spec.is_gang else task.checkpoint
            assign(cluster, room, task, now)
            orders.append(
                StartTask(task.worker, task.id, task.run, job.spec.payload, saved)
            )
        allocate(cluster, room, unit, count)
    step.broken_at = 0.0
    job.has_begun = True
    cluster.pending_jobs.pop(job.spec.id, None)
    mark_job_unsaved(cluster, job.spec.id)
    return orders


def assign(cluster: Cluster, room: WorkerCapacity, task: Task, now: float) -> None:
    """Put a task on a worker."""
    task.phase = Phase.STARTING
    task.worker = room.worker.entry.id
    task.start_settled_at = None
    task.is_start_sent = False
    task.stopped_at = None
    task.progress = 0
    task.started_at = task.progressed_at = now
    room.worker.tasks[task.id] = task
    cluster.mark_worker_changed(task.worker)


def find_checkpoint(step: StepRun) -> str:
    """Return the furthest checkpoint of a gang; any member's is valid for all."""
    return max((task.checkpoint for task in step.tasks), default="")


def reclaim(
    cluster: Cluster, pool: Pool, unit: Unit, attempts: Attempts, now: float
) -> list[Order]:
    """Stop other work where a guaranteed unit will start, and keep the room."""
    rooms = list(pool.rooms.values())
    found = place(
        rooms,
        unit,
        get_later,
        lambda: is_far_allowed(pool, unit, True, attempts, now),
    )
    if found:
        for room, count in found:
            allocate(cluster, room, unit, count)
        return []
    eviction = find_preemption(cluster, rooms, unit, now)
    if eviction is None:
        if unit.shape is not None:
            attempts.unevictable.add(unit.shape)
        return []
    orders: list[Order] = []
    for victim in eviction.victims:
        orders += stop_gang(cluster, victim, now)
    for room, count in eviction.places:
        allocate(cluster, room, unit, count)
    return orders
