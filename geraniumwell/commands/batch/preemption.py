"""Room for guaranteed work: which running tasks are stopped for it."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from geraniumwell.commands.batch.capacity import (
    count_fitting,
    find_needs,
    is_suitable,
    limit_of_step,
)
from geraniumwell.commands.batch.lifecycle import find_step, request_stop
from geraniumwell.commands.batch.priorities import (
    URGENT_PRIORITY,
    find_step_spec,
    is_task_preemptible,
)
from geraniumwell.model.batch.capacity import WorkerCapacity
from geraniumwell.model.batch.cluster import Cluster, Order
from geraniumwell.model.batch.job import ENDED_STATES, StepSpec, Task
from geraniumwell.model.batch.unit import Unit

# A stop of a task with checkpoints loses little more than its restart.
CHECKPOINT_LOSS_SECONDS = 0.5
# An accelerator counts as this many cores when work is weighed.
CORES_PER_ACCELERATOR = 8


@dataclass(slots=True)
class Preemption:
    """Workers for a unit, and what has to be stopped there first."""

    places: list[tuple[WorkerCapacity, int]] = field(default_factory=list)
    victims: list[Task] = field(default_factory=list)
    cost: float = 0.0


def is_guaranteed(cluster: Cluster, unit: Unit, use: dict[str, int]) -> bool:
    """Tell whether a unit lies within the guarantee of its organisation."""
    org = cluster.catalog.organisations.get(unit.organisation)
    if unit.priority != URGENT_PRIORITY or org is None:
        return False
    wanted = unit.spec.needs.accelerators * len(unit.ids)
    return use.get(unit.organisation, 0) + wanted <= org.guaranteed_accelerators


def find_preemption(
    cluster: Cluster, rooms: Iterable[WorkerCapacity], unit: Unit, now: float
) -> Preemption | None:
    """Return the cheapest way to make room for a whole unit, or None.

    Room in one rack may cost as much more as the unit would waste by running far.
    """
    options = list_options(cluster, rooms, unit, now)
    best = combine(options, unit)
    if not (unit.spec.is_same_rack or unit.spec.rack):
        return best
    by_rack: dict[str, list[Preemption]] = {}
    for option in options:
        rack = option.places[0][0].worker.entry.rack
        if not unit.spec.rack or rack == unit.spec.rack:
            by_rack.setdefault(rack, []).append(option)
    nearest: Preemption | None = None
    for _, near in sorted(by_rack.items()):
        found = combine(near, unit)
        if found and (nearest is None or found.cost < nearest.cost):
            nearest = found
    if nearest is None:
        return best
    if best is None or nearest.cost <= best.cost + weigh_distance(cluster, unit):
        return nearest
    return best


def weigh_distance(cluster: Cluster, unit: Unit) -> float:
    """Return the core-seconds that a unit wastes if it runs away from its rack."""
    seconds = (cluster.policy.far_factor - 1.0) * unit.spec.estimate_seconds
    return count_cores(unit.spec) * len(unit.ids) * seconds


def list_options(
    cluster: Cluster, rooms: Iterable[WorkerCapacity], unit: Unit, now: float
) -> list[Preemption]:
    """Return the cheapest way on each suitable worker, the cheapest task first."""
    needs = find_needs(unit.spec)
    options: list[Preemption] = []
    for room in rooms:
        # Without this look most workers of a full fleet would be searched in vain.
        if not count_fitting(room.free_after_preemption, needs, 1) or not is_suitable(
            room, unit
        ):
            continue
        if option := evict_on(cluster, room, unit, now):
            options.append(option)
    options.sort(
        key=lambda item: (
            item.cost / item.places[0][1],
            item.places[0][0].worker.entry.id,
        )
    )
    return options


def combine(options: list[Preemption], unit: Unit) -> Preemption | None:
    """Return the cheapest options that hold a whole unit together, or None."""
    total = Preemption()
    left = len(unit.ids)
    for option in options:
        room, count = option.places[0]
        taken = min(count, left)
        total.places.append((room, taken))
        total.victims += option.victims
        total.cost += option.cost
        left -= taken
        if not left:
            return total
    return None


def evict_on(
    cluster: Cluster, room: WorkerCapacity, unit: Unit, now: float
) -> Preemption | None:
    """Return the cheapest way to fit a task of a unit on one worker, or None."""
    needs = find_needs(unit.spec)
    most = min(len(unit.ids), limit_of_step(room, unit))
    amount = room.free_after_stops.copy()
    victims: list[Task] = []
    cost = 0.0
    if count := count_fitting(amount, needs, most):
        return Preemption([(room, count)], [], 0.0)
    candidates = sorted(
        (weigh_loss(cluster, task, now), str(task.id), task)
        for task in room.worker.tasks.values()
        if is_task_preemptible(cluster, task)
    )
    for loss, _, task in candidates:
        amount.add(find_needs(find_step_spec(cluster, task.id)))
        victims.append(task)
        cost += loss
        if count := count_fitting(amount, needs, most):
            return Preemption([(room, count)], victims, cost)
    return None


def list_gang(cluster: Cluster, task: Task) -> list[Task]:
    """Return a task with all members of its gang."""
    job = cluster.jobs[task.id.job]
    step = find_step(job, task.id)
    if step is None or not step.spec.is_gang or job.state in ENDED_STATES:
        return [task]
    return step.tasks


def stop_gang(cluster: Cluster, task: Task, now: float) -> list[Order]:
    """Begin to stop a task with all members of its gang; return the stops."""
    return [
        order
        for member in list_gang(cluster, task)
        for order in request_stop(cluster, member, now)
    ]


def weigh_loss(cluster: Cluster, task: Task, now: float) -> float:
    """Return the core-seconds that are lost if a task, or its gang, is stopped."""
    spec = find_step_spec(cluster, task.id)
    started = task.started_at or now
    seconds = now - started
    if spec.has_checkpoints:
        seconds = min(seconds, CHECKPOINT_LOSS_SECONDS)
    return count_cores(spec) * seconds * len(list_gang(cluster, task))


def count_cores(spec: StepSpec) -> float:
    """Return the cores that a task takes, with its accelerators counted as cores."""
    needs = spec.needs
    return needs.cpu_millis / 1000 + needs.accelerators * CORES_PER_ACCELERATOR
