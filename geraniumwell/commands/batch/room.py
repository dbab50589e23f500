"""Free room of workers during one round of planning."""

from dataclasses import dataclass, field

from geraniumwell.commands.batch.health import find_silent_data_centres
from geraniumwell.model.batch.cluster import Cluster, Unit
from geraniumwell.model.batch.job import Phase, StepSpec, TaskId
from geraniumwell.model.batch.resources import Resources
from geraniumwell.model.batch.worker import Worker, WorkerState


@dataclass(slots=True)
class Room:
    """Room of one worker.

    Parameters
    ----------
    free : Resources
        What can be taken at once.
    later : Resources
        What will be free when the tasks that are being stopped have ended.
    has_fillers, has_servers : bool
        Whether steps that take unused capacity, or that serve users, run there.
    counts : dict
        Tasks of steps with a limit for each worker, by job, occurrence and step.
    """

    worker: Worker
    free: Resources
    later: Resources
    has_fillers: bool = False
    has_servers: bool = False
    counts: dict[tuple[str, int, int], int] = field(default_factory=dict)


def find_needs(spec: StepSpec) -> Resources:
    """Return what a task takes of a worker's room."""
    if not spec.is_filler:
        return spec.needs
    # It uses only the processor time that the others leave.
    return Resources(0, spec.needs.memory_mb, spec.needs.accelerators)


def find_step_spec(cluster: Cluster, task_id: TaskId) -> StepSpec:
    """Return the declaration of a task's step."""
    return cluster.jobs[task_id.job].spec.steps[task_id.step]


def can_receive(worker: Worker, now: float) -> bool:
    """Tell whether a worker may be given new tasks."""
    return (
        worker.state is WorkerState.READY
        and worker.is_fenced
        and not worker.is_silent
        and not worker.has_foreign
        and now >= worker.avoid_until
    )


def make_rooms(cluster: Cluster, now: float) -> list[Room]:
    """Return the room of each worker that may be given new tasks."""
    silent = find_silent_data_centres(cluster.workers.values())
    return [
        make_room(cluster, worker)
        for worker in cluster.workers.values()
        if can_receive(worker, now) and worker.entry.data_centre not in silent
    ]


def make_room(cluster: Cluster, worker: Worker) -> Room:
    """Return the room of one worker."""
    room = Room(worker, worker.entry.capacity.copy(), worker.entry.capacity.copy())
    for task in worker.tasks.values():
        spec = find_step_spec(cluster, task.id)
        needs = find_needs(spec)
        room.free.subtract(needs)
        if task.phase is not Phase.STOPPING:
            room.later.subtract(needs)
        note_step(room, spec, task.id, 1)
    return room


def note_step(room: Room, spec: StepSpec, task_id: TaskId, count: int) -> None:
    """Note what kind of tasks a worker has."""
    room.has_fillers |= spec.is_filler
    room.has_servers |= spec.target_ms > 0
    if spec.max_per_worker:
        key = (task_id.job, task_id.occurrence, task_id.step)
        room.counts[key] = room.counts.get(key, 0) + count


def is_suitable(room: Room, unit: Unit) -> bool:
    """Tell whether a worker may run the tasks of a unit at all."""
    entry, spec = room.worker.entry, unit.spec
    if entry.service != unit.service:
        return False
    if spec.label and spec.label not in entry.labels:
        return False
    # Fillers slow down the tasks beside them that serve users.
    if spec.is_filler and room.has_servers:
        return False
    return not (spec.target_ms and room.has_fillers)


def count_fitting(amount: Resources, needs: Resources, most: int) -> int:
    """Return how many tasks fit into an amount, ``most`` at the most."""
    if needs.cpu_millis > 0:
        most = min(most, amount.cpu_millis // needs.cpu_millis)
    if needs.memory_mb > 0:
        most = min(most, amount.memory_mb // needs.memory_mb)
    if needs.accelerators > 0:
        most = min(most, amount.accelerators // needs.accelerators)
    if min(amount.cpu_millis, amount.memory_mb, amount.accelerators) < 0:
        # A worker that is over its capacity in anything gets nothing more.
        return 0
    return max(0, most)


def limit_of_step(room: Room, unit: Unit) -> int:
    """Return how many more tasks of a unit's step a worker may get."""
    if not unit.spec.max_per_worker:
        return len(unit.ids)
    key = (unit.key.job, unit.key.occurrence, unit.key.step)
    return max(0, unit.spec.max_per_worker - room.counts.get(key, 0))


def take_room(room: Room, unit: Unit, count: int) -> None:
    """Take the room of ``count`` tasks of a unit, now and later."""
    needs = find_needs(unit.spec)
    for _ in range(count):
        room.free.subtract(needs)
        room.later.subtract(needs)
    note_step(room, unit.spec, unit.ids[0], count)
