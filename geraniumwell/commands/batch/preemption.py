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
from geraniumwell.model.batch.unit import Unit

# Stopping a task with checkpoints, or one without an end, loses little more than the
# time of its restart.
CHECKPOINT_LOSS_SECONDS = 0.5
# Number of cores that an accelerator counts as when the cost of work is compared.
CORES_PER_ACCELERATOR = 8


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
    best = find_cheapest(cluster, options, unit, now)
    if not (unit.spec.is_same_rack or unit.spec.rack):
        return best
    by_rack: dict[str, list[Preemption]] = {}
    for option in options:
        rack = option.placement[0][0].worker.entry.rack
        if not unit.spec.rack or rack == unit.spec.rack:
            by_rack.setdefault(rack, []).append(option)
    best_local: Preemption | None = None
    for _, local_options in sorted(by_rack.items()):
        found = find_cheapest(cluster, local_options, unit, now)
        if found and (best_local is None or found.cost < best_local.cost):
            best_local = found
    if best_local is None:
        return best
    if best is None or best_local.cost <= best.cost + estimate_remote_cost(
        cluster, unit
    ):
        return best_local
    return best


def find_cheapest(
    cluster: Cluster, options: list[Preemption], unit: Unit, now: float
) -> Preemption | None:
    """Return the cheaper combination of options for a whole unit, or None.

    Stopping a gang may free several workers. How many the unit can use is not known in
    advance, so options are ranked with and without them.
    """
    found = [
        combine_options(cluster, options, unit, now, counts_gangs)
        for counts_gangs in (False, True)
    ]
    return min(
        (item for item in found if item is not None),
        key=lambda item: item.cost,
        default=None,
    )


def estimate_remote_cost(cluster: Cluster, unit: Unit) -> float:
    """Return the core-seconds that a unit wastes outside its preferred rack."""
    seconds = (cluster.policy.far_factor - 1.0) * unit.spec.estimate_seconds
    return count_cores(unit.spec) * len(unit.ids) * seconds


def list_options(
    cluster: Cluster, capacities: Iterable[WorkerCapacity], unit: Unit, now: float
) -> list[Preemption]:
    """Return a preemption on each suitable worker."""
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
    cluster: Cluster,
    options: list[Preemption],
    unit: Unit,
    now: float,
    counts_gangs: bool,
) -> Preemption | None:
    """Return options that together fit a whole unit, the cheapest first, or None.

    A gang that one option stops frees the capacity of its members on other workers, so
    their options become cheaper.
    """
    pending = {option.placement[0][0].worker.entry.id: option for option in options}
    used: list[WorkerCapacity] = []
    victims: dict[TaskId, tuple[float, Task]] = {}
    stopped: dict[TaskId, Task] = {}
    remaining = len(unit.ids)
    while remaining > 0 and pending:
        limit = remaining if counts_gangs else 1
        name = min(pending, key=lambda name: rank_option(pending[name], limit))
        option = pending.pop(name)
        capacity, count = option.placement[0]
        used.append(capacity)
        remaining -= count
        members: list[Task] = []
        for victim in option.victims:
            gang = list_gang(cluster, victim)
            victims[gang[0].id] = estimate_lost_work(cluster, victim, now), victim
            members += gang
        stopped |= {member.id: member for member in members}
        for name in {m.worker for m in members if m.worker in pending}:
            capacity, _ = pending[name].placement[0]
            if cheaper := preempt_on(cluster, capacity, unit, now, stopped):
                pending[name] = cheaper
    if remaining > 0:
        return None
    freed = {member.worker for member in stopped.values()}
    used += [o.placement[0][0] for name, o in pending.items() if name in freed]
    return drop_needless_victims(cluster, used, list(victims.values()), unit)


def drop_needless_victims(
    cluster: Cluster,
    used: list[WorkerCapacity],
    victims: list[tuple[float, Task]],
    unit: Unit,
) -> Preemption:
    """Return a preemption on some workers without the victims that it does not need.

    The options were chosen one after the other, and a later victim may free enough.
    """
    kept = sorted(victims, key=lambda item: (-item[0], str(item[1].id)))
    for item in list(kept):
        others = [other for other in kept if other is not item]
        if place_after_stops(cluster, used, others, unit):
            kept = others
    placement = place_after_stops(cluster, used, kept, unit)
    cost = sum(loss for loss, _ in kept)
    return Preemption(placement, [task for _, task in kept], cost)


def place_after_stops(
    cluster: Cluster,
    used: list[WorkerCapacity],
    victims: list[tuple[float, Task]],
    unit: Unit,
) -> list[tuple[WorkerCapacity, int]]:
    """Return a placement of a whole unit after the victims' ends; empty if none."""
    needs = find_reserved_resources(unit.spec)
    stopped = {m.id for _, task in victims for m in list_gang(cluster, task)}
    placement: list[tuple[WorkerCapacity, int]] = []
    remaining = len(unit.ids)
    for capacity in used:
        amount = capacity.free_after_stops.copy()
        for task in capacity.worker.tasks.values():
            if task.id in stopped:
                amount.add(find_reserved_resources(find_step_spec(cluster, task.id)))
        limit = min(remaining, count_allowed_tasks(capacity, unit))
        if count := count_fitting(amount, needs, limit):
            placement.append((capacity, count))
            remaining -= count
    return [] if remaining else placement


def rank_option(option: Preemption, limit: int) -> tuple[float, str]:
    """Return the sort key of an option on one worker: its cost per placed task.

    Parameters
    ----------
    limit : int
        Number of tasks for which other workers that the option frees may count.
    """
    capacity, count = option.placement[0]
    placed = max(count, min(option.freed_workers, limit))
    return option.cost / placed, capacity.worker.entry.id


def preempt_on(
    cluster: Cluster,
    capacity: WorkerCapacity,
    unit: Unit,
    now: float,
    stopped: Collection[TaskId] = (),
) -> Preemption | None:
    """Return a preemption on one worker for at least one task of a unit, or None.

    Gangs and single tasks are stopped in the order of their lost work until a task of
    the unit fits.

    Parameters
    ----------
    stopped : collection of TaskId
        Tasks that another part of the preemption stops anyway.
    """
    needs = find_reserved_resources(unit.spec)
    max_tasks = min(len(unit.ids), count_allowed_tasks(capacity, unit))
    amount = capacity.free_after_stops.copy()
    # All members of a gang on this worker stop together.
    groups: dict[TaskId, list[Task]] = {}
    for task in capacity.worker.tasks.values():
        if not is_task_preemptible(cluster, task):
            continue
        if task.id in stopped:
            amount.add(find_reserved_resources(find_step_spec(cluster, task.id)))
        else:
            key = list_gang(cluster, task)[0].id
            groups.setdefault(key, []).append(task)
    if count := count_fitting(amount, needs, max_tasks):
        return Preemption([(capacity, count)], [], 0.0)
    losses = sorted(
        (estimate_lost_work(cluster, tasks[0], now), str(key), tasks)
        for key, tasks in groups.items()
    )
    victims: list[Task] = []
    cost = 0.0
    for loss, _, tasks in losses:
        for task in tasks:
            amount.add(find_reserved_resources(find_step_spec(cluster, task.id)))
        victims.append(tasks[0])
        cost += loss
        if count := count_fitting(amount, needs, max_tasks):
            freed = {
                member.worker
                for victim in victims
                for member in list_gang(cluster, victim)
                if member.worker
            }
            return Preemption([(capacity, count)], victims, cost, len(freed))
    return None


def estimate_lost_work(cluster: Cluster, task: Task, now: float) -> float:
    """Return the core-seconds that are lost if a task and its gang are stopped."""
    spec = find_step_spec(cluster, task.id)
    started = task.started_at or now
    # After a takeover the start of a run is unknown, but its progress is not.
    seconds = max(now - started, task.progress / 100 * spec.estimate_seconds)
    if spec.has_checkpoints or spec.is_long_running:
        seconds = min(seconds, CHECKPOINT_LOSS_SECONDS)
    return count_cores(spec) * seconds * len(list_gang(cluster, task))


def count_cores(spec: StepSpec) -> float:
    """Return the cores that a task uses, with its accelerators converted to cores."""
    needs = spec.needs
    return needs.cpu_millis / 1000 + needs.accelerators * CORES_PER_ACCELERATOR
