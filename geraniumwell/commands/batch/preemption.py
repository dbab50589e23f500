"""Preemption: chooses the running tasks to stop for guaranteed work."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from geraniumwell.commands.batch.capacity import (
    count_allowed_tasks,
    count_fitting,
    find_reserved_resources,
    is_suitable,
)
from geraniumwell.commands.batch.lifecycle import list_gang
from geraniumwell.commands.batch.priorities import (
    URGENT_PRIORITY,
    find_step_spec,
    is_task_preemptible,
)
from geraniumwell.model.batch.capacity import WorkerCapacity
from geraniumwell.model.batch.cluster import Cluster
from geraniumwell.model.batch.job import StepSpec, Task
from geraniumwell.model.batch.unit import Unit

# Stopping a task with checkpoints loses little more than the time of its restart.
CHECKPOINT_LOSS_SECONDS = 0.5
# Number of cores that an accelerator counts as when the cost of work is compared.
CORES_PER_ACCELERATOR = 8


@dataclass(slots=True)
class Preemption:
    """A placement of a unit that requires stopping other tasks first.

    Parameters
    ----------
    victims : list of Task
        Tasks to stop.
    cost : float
        Lost work in core-seconds.
    """

    placement: list[tuple[WorkerCapacity, int]] = field(default_factory=list)
    victims: list[Task] = field(default_factory=list)
    cost: float = 0.0


def is_guaranteed(cluster: Cluster, unit: Unit, use: dict[str, int]) -> bool:
    """Return whether a unit is within the guarantee of its organisation.

    Parameters
    ----------
    use : dict
        Accelerators used by urgent work, by organisation.
    """
    org = cluster.catalog.organisations.get(unit.organisation)
    if unit.priority != URGENT_PRIORITY or org is None:
        return False
    wanted = unit.spec.needs.accelerators * len(unit.ids)
    return use.get(unit.organisation, 0) + wanted <= org.guaranteed_accelerators


def find_preemption(
    cluster: Cluster, capacities: Iterable[WorkerCapacity], unit: Unit, now: float
) -> Preemption | None:
    """Return a preemption for a whole unit at a low cost, or None.

    It combines the cheapest options on single workers. A preemption in the preferred
    rack may cost more, up to the work that the unit would waste by running elsewhere.
    """
    options = list_options(cluster, capacities, unit, now)
    best = combine_options(options, unit)
    if not (unit.spec.is_same_rack or unit.spec.rack):
        return best
    by_rack: dict[str, list[Preemption]] = {}
    for option in options:
        rack = option.placement[0][0].worker.entry.rack
        if not unit.spec.rack or rack == unit.spec.rack:
            by_rack.setdefault(rack, []).append(option)
    best_local: Preemption | None = None
    for _, local_options in sorted(by_rack.items()):
        found = combine_options(local_options, unit)
        if found and (best_local is None or found.cost < best_local.cost):
            best_local = found
    if best_local is None:
        return best
    if best is None or best_local.cost <= best.cost + estimate_remote_cost(
        cluster, unit
    ):
        return best_local
    return best


def estimate_remote_cost(cluster: Cluster, unit: Unit) -> float:
    """Return the core-seconds that a unit wastes outside its preferred rack."""
    seconds = (cluster.policy.far_factor - 1.0) * unit.spec.estimate_seconds
    return count_cores(unit.spec) * len(unit.ids) * seconds


def list_options(
    cluster: Cluster, capacities: Iterable[WorkerCapacity], unit: Unit, now: float
) -> list[Preemption]:
    """Return a preemption on each suitable worker, sorted by cost per task."""
    needs = find_reserved_resources(unit.spec)
    options: list[Preemption] = []
    for capacity in capacities:
        # This cheap check skips most workers of a full fleet.
        if not count_fitting(
            capacity.free_after_preemption, needs, 1
        ) or not is_suitable(capacity, unit):
            continue
        if option := preempt_on(cluster, capacity, unit, now):
            options.append(option)
    options.sort(
        key=lambda item: (
            item.cost / item.placement[0][1],
            item.placement[0][0].worker.entry.id,
        )
    )
    return options


def combine_options(options: list[Preemption], unit: Unit) -> Preemption | None:
    """Return the first options that together fit a whole unit, or None."""
    total = Preemption()
    remaining = len(unit.ids)
    for option in options:
        capacity, count = option.placement[0]
        assigned = min(count, remaining)
        total.placement.append((capacity, assigned))
        total.victims += option.victims
        total.cost += option.cost
        remaining -= assigned
        if not remaining:
            return total
    return None


def preempt_on(
    cluster: Cluster, capacity: WorkerCapacity, unit: Unit, now: float
) -> Preemption | None:
    """Return a preemption on one worker for at least one task of a unit, or None.

    Tasks are stopped in the order of their lost work until a task of the unit fits.
    """
    needs = find_reserved_resources(unit.spec)
    max_tasks = min(len(unit.ids), count_allowed_tasks(capacity, unit))
    amount = capacity.free_after_stops.copy()
    victims: list[Task] = []
    cost = 0.0
    if count := count_fitting(amount, needs, max_tasks):
        return Preemption([(capacity, count)], [], 0.0)
    candidates = sorted(
        (estimate_lost_work(cluster, task, now), str(task.id), task)
        for task in capacity.worker.tasks.values()
        if is_task_preemptible(cluster, task)
    )
    for loss, _, task in candidates:
        amount.add(find_reserved_resources(find_step_spec(cluster, task.id)))
        victims.append(task)
        cost += loss
        if count := count_fitting(amount, needs, max_tasks):
            return Preemption([(capacity, count)], victims, cost)
    return None


def estimate_lost_work(cluster: Cluster, task: Task, now: float) -> float:
    """Return the core-seconds that are lost if a task and its gang are stopped."""
    spec = find_step_spec(cluster, task.id)
    started = task.started_at or now
    seconds = now - started
    if spec.has_checkpoints:
        seconds = min(seconds, CHECKPOINT_LOSS_SECONDS)
    return count_cores(spec) * seconds * len(list_gang(cluster, task))


def count_cores(spec: StepSpec) -> float:
    """Return the cores that a task uses, with its accelerators converted to cores."""
    needs = spec.needs
    return needs.cpu_millis / 1000 + needs.accelerators * CORES_PER_ACCELERATOR
