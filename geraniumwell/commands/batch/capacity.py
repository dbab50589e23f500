"""Room of one worker, and what fits into it."""

from geraniumwell.commands.batch.priorities import (
    URGENT_PRIORITY,
    find_priority,
    is_preemptible,
)
from geraniumwell.model.batch.capacity import WorkerCapacity
from geraniumwell.model.batch.cluster import Cluster
from geraniumwell.model.batch.job import Phase, StepSpec, TaskId
from geraniumwell.model.batch.resources import Resources
from geraniumwell.model.batch.unit import Unit
from geraniumwell.model.batch.worker import Worker, WorkerState


def find_needs(spec: StepSpec) -> Resources:
    """Return what a task takes of a worker's room."""
    if not spec.is_filler:
        return spec.needs
    # It uses only the processor time that the others leave.
    return Resources(0, spec.needs.memory_mb, spec.needs.accelerators)


def can_receive(worker: Worker, now: float) -> bool:
    """Tell whether a worker may be given new tasks."""
    return (
        worker.state is WorkerState.READY
        and worker.has_confirmed_epoch
        and not worker.is_unresponsive
        and not worker.has_unknown_runs
        and now >= worker.avoid_until
    )


def make_worker_capacity(cluster: Cluster, worker: Worker) -> WorkerCapacity:
    """Return the room of one worker."""
    capacity = worker.entry.capacity
    amounts = (capacity.copy() for _ in range(3))
    room = WorkerCapacity(worker, *amounts, capacity.accelerators)
    for task in worker.tasks.values():
        job = cluster.jobs[task.id.job]
        spec = job.spec.steps[task.id.step]
        needs = find_needs(spec)
        priority = find_priority(cluster, job)
        room.free.subtract(needs)
        if task.phase is not Phase.STOPPING:
            room.free_after_stops.subtract(needs)
            if not is_preemptible(spec, task.phase, priority):
                room.free_after_preemption.subtract(needs)
        if priority == URGENT_PRIORITY:
            org = job.spec.organisation
            room.urgent[org] = room.urgent.get(org, 0) + spec.needs.accelerators
        note_step(room, spec, task.id, 1)
    return room


def note_step(
    room: WorkerCapacity, spec: StepSpec, task_id: TaskId, count: int
) -> None:
    """Note what kind of tasks a worker has."""
    room.has_fillers |= spec.is_filler
    room.has_servers |= spec.target_ms > 0
    if spec.max_per_worker:
        key = (task_id.job, task_id.occurrence, task_id.step)
        room.counts[key] = room.counts.get(key, 0) + count


def is_suitable(room: WorkerCapacity, unit: Unit) -> bool:
    """Tell whether a worker may run the tasks of a unit at all."""
    entry, spec = room.worker.entry, unit.spec
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


def limit_of_step(room: WorkerCapacity, unit: Unit) -> int:
    """Return how many more tasks of a unit's step a worker may get."""
    if not unit.spec.max_per_worker:
        return len(unit.ids)
    return max(0, unit.spec.max_per_worker - room.counts.get(unit.key, 0))
