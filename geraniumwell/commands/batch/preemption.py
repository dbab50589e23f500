"""Preemption: chooses the running tasks to stop for guaranteed work."""

from collections.abc import Collection, Iterable
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
from geraniumwell.model.batch.job import StepSpec, Task, TaskId
from geraniumwell.model.batch.resources import Resources
from geraniumwell.model.batch.unit import Unit

# Stopping a task with checkpoints loses little more than the time of its restart.
CHECKPOINT_LOSS_SECONDS = 0.5
# Number of cores that an accelerator counts as when the cost of work is compared.
CORES_PER_ACCELERATOR = 8


# Lost work, as a multiple of the work of the guaranteed unit, above which a preemption
# first waits for tasks that end by themselves.
COSTLY_FACTOR = 4.0
# Time that a guaranteed unit waits before a costly preemption. Stopping takes up to
# 0.9 s, and the unit has to start within about 3 s.
COSTLY_WAIT_SECONDS = 0.9
# Interval in which a waiting unit looks for a cheaper preemption.
COSTLY_RETRY_SECONDS = 0.2


@dataclass(slots=True)
class Preemption:
    """A placement of a unit that requires stopping other tasks first.

    Parameters
    ----------
    victims : list of Task
        Tasks to stop. Stopping a gang member stops its whole gang.
    cost : float
        Lost work in core-seconds.
    freed_workers : int
        Number of workers on which stopping the victims and their gangs frees capacity.
    """

    placement: list[tuple[WorkerCapacity, int]] = field(default_factory=list)
    victims: list[Task] = field(default_factory=list)
    cost: float = 0.0
    freed_workers: int = 1


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
    best = combine_options(cluster, options, unit, now)
    if not (unit.spec.is_same_rack or unit.spec.rack):
        return best
    by_rack: dict[str, list[Preemption]] = {}
    for option in options:
        rack = option.placement[0][0].worker.entry.rack
        if not unit.spec.rack or rack == unit.spec.rack:
            by_rack.setdefault(rack, []).append(option)
    best_local: Preemption | None = None
    for _, local_options in sorted(by_rack.items()):
        found = combine_options(cluster, local_options, unit, now)
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
    return options


def combine_options(
    cluster: Cluster, options: list[Preemption], unit: Unit, now: float
) -> Preemption | None:
    """Return options that together fit a whole unit, the cheapest first, or None.

    A gang that one option stops frees the capacity of its members on other workers, so
    their options become cheaper.
    """
    pending = {option.placement[0][0].worker.entry.id: option for option in options}
    total = Preemption()
    stopped: set[TaskId] = set()
    remaining = len(unit.ids)
    while remaining and pending:
        name = min(pending, key=lambda name: rank_option(pending[name], remaining))
        option = pending.pop(name)
        capacity, count = option.placement[0]
        assigned = min(count, remaining)
        total.placement.append((capacity, assigned))
        total.victims += option.victims
        total.cost += option.cost
        remaining -= assigned
        members = [m for victim in option.victims for m in list_gang(cluster, victim)]
        stopped.update(member.id for member in members)
        for name in {m.worker for m in members if m.worker in pending}:
            capacity, _ = pending[name].placement[0]
            if cheaper := preempt_on(cluster, capacity, unit, now, stopped):
                pending[name] = cheaper
    return None if remaining else total


def rank_option(option: Preemption, remaining: int) -> tuple[float, str]:
    """Return the sort key of an option on one worker: its cost per placed task.

    Stopping a gang makes room for one more task on each of its workers, at least.
    """
    capacity, count = option.placement[0]
    placed = max(count, min(option.freed_workers, remaining))
    return option.cost / placed, capacity.worker.entry.id


def preempt_on(
    cluster: Cluster,
    capacity: WorkerCapacity,
    unit: Unit,
    now: float,
    stopped: Collection[TaskId] = (),
) -> Preemption | None:
    """Return a preemption on one worker for at least one task of a unit, or None.

    Tasks are stopped in the order of their lost work until a task of the unit fits;
    those that turn out not to be needed are kept.

    Parameters
    ----------
    stopped : collection of TaskId
        Tasks that another part of the preemption stops anyway.
    """
    needs = find_reserved_resources(unit.spec)
    max_tasks = min(len(unit.ids), count_allowed_tasks(capacity, unit))
    amount = capacity.free_after_stops.copy()
    losses: list[tuple[float, str, Task]] = []
    for task in capacity.worker.tasks.values():
        if not is_task_preemptible(cluster, task):
            continue
        if task.id in stopped:
            amount.add(find_reserved_resources(find_step_spec(cluster, task.id)))
        else:
            loss = estimate_lost_work(cluster, task, now)
            losses.append((loss, str(task.id), task))
    if count := count_fitting(amount, needs, max_tasks):
        return Preemption([(capacity, count)], [], 0.0)
    victims: list[tuple[float, Task]] = []
    for loss, _, task in sorted(losses, key=lambda item: item[:2]):
        amount.add(find_reserved_resources(find_step_spec(cluster, task.id)))
        victims.append((loss, task))
        if count_fitting(amount, needs, max_tasks):
            break
    else:
        return None
    kept = drop_needless_victims(cluster, victims, amount, needs)
    count = count_fitting(amount, needs, max_tasks)
    tasks = [task for _, task in kept]
    freed = {m.worker for task in tasks for m in list_gang(cluster, task) if m.worker}
    cost = count_losses(cluster, kept)
    return Preemption([(capacity, count)], tasks, cost, len(freed))


def drop_needless_victims(
    cluster: Cluster,
    victims: list[tuple[float, Task]],
    amount: Resources,
    needs: Resources,
) -> list[tuple[float, Task]]:
    """Return the victims without which nothing fits, and subtract the others."""
    kept: list[tuple[float, Task]] = []
    for loss, task in reversed(victims):
        freed = find_reserved_resources(find_step_spec(cluster, task.id))
        amount.subtract(freed)
        if not count_fitting(amount, needs, 1):
            amount.add(freed)
            kept.append((loss, task))
    return kept


def count_losses(cluster: Cluster, victims: list[tuple[float, Task]]) -> float:
    """Return the lost work of victims; that of a gang counts once."""
    losses = {list_gang(cluster, task)[0].id: loss for loss, task in victims}
    return sum(losses.values())


def is_too_costly(preemption: Preemption, unit: Unit, now: float) -> bool:
    """Return whether a unit should wait for tasks that end by themselves.

    A long-running gang loses many times the work of the unit that takes its place.
    """
    if now - unit.waiting_since >= COSTLY_WAIT_SECONDS:
        return False
    own_work = count_cores(unit.spec) * unit.spec.estimate_seconds * len(unit.ids)
    return preemption.cost > COSTLY_FACTOR * own_work


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
