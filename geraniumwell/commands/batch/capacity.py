"""Free capacity of one worker, and how many tasks fit into it."""

from geraniumwell.commands.batch.kinds import count_kinds
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


def find_reserved_resources(spec: StepSpec) -> Resources:
    """Return the resources that a task reserves on its worker."""
    if not spec.is_filler:
        return spec.needs
    # A filler uses only the processor time that other tasks leave.
    return Resources(0, spec.needs.memory_mb, spec.needs.accelerators)


def is_eligible(worker: Worker, now: float) -> bool:
    """Return whether a worker may get new tasks, apart from its data centre's state."""
    return (
        worker.state is WorkerState.READY
        and worker.has_confirmed_epoch
        and not worker.is_unresponsive
        and not worker.has_unknown_runs
        and now >= worker.avoid_until
    )


def make_worker_capacity(cluster: Cluster, worker: Worker) -> WorkerCapacity:
    """Return the free capacity of a worker."""
    total = worker.entry.capacity
    amounts = (total.copy() for _ in range(3))
    capacity = WorkerCapacity(worker, *amounts, total.accelerators)
    for task in worker.tasks.values():
        job = cluster.jobs[task.id.job]
        spec = job.spec.steps[task.id.step]
        needs = find_reserved_resources(spec)
        priority = find_priority(cluster, job)
        capacity.free.subtract(needs)
        if task.phase is not Phase.STOPPING:
            capacity.free_after_stops.subtract(needs)
            if not is_preemptible(spec, task.phase, priority):
                capacity.free_after_preemption.subtract(needs)
        if priority == URGENT_PRIORITY:
            org = job.spec.organisation
            capacity.urgent[org] = capacity.urgent.get(org, 0) + spec.needs.accelerators
        record_step(capacity, spec, task.id, 1)
    if cluster.interference.opponents:
        capacity.kinds = count_kinds(cluster, worker)
    return capacity


def record_step(
    capacity: WorkerCapacity, spec: StepSpec, task_id: TaskId, count: int
) -> None:
    """Record which kinds of tasks a worker has, and their number per limited step."""
    capacity.has_fillers |= spec.is_filler
    capacity.has_serving_tasks |= spec.target_ms > 0
    if spec.max_per_worker:
        key = (task_id.job, task_id.occurrence, task_id.step)
        capacity.counts[key] = capacity.counts.get(key, 0) + count


def is_suitable(capacity: WorkerCapacity, unit: Unit) -> bool:
    """Return whether a worker may run the tasks of a unit, regardless of capacity."""
    entry, spec = capacity.worker.entry, unit.spec
    if spec.label and spec.label not in entry.labels:
        return False
    # Fillers slow down tasks with a latency target on the same worker.
    if spec.is_filler and capacity.has_serving_tasks:
        return False
    return not (spec.target_ms and capacity.has_fillers)


def count_fitting(amount: Resources, needs: Resources, limit: int) -> int:
    """Return how many tasks fit into an amount, up to ``limit``."""
    if needs.cpu_millis > 0:
        limit = min(limit, amount.cpu_millis // needs.cpu_millis)
    if needs.memory_mb > 0:
        limit = min(limit, amount.memory_mb // needs.memory_mb)
    if needs.accelerators > 0:
        limit = min(limit, amount.accelerators // needs.accelerators)
    if min(amount.cpu_millis, amount.memory_mb, amount.accelerators) < 0:
        # A worker that exceeds its capacity in any resource gets no more tasks.
        return 0
    return max(0, limit)


def count_allowed_tasks(capacity: WorkerCapacity, unit: Unit) -> int:
    """Return how many more tasks of a unit its step's limit allows on a worker."""
    if not unit.spec.max_per_worker:
        return len(unit.ids)
    return max(0, unit.spec.max_per_worker - capacity.counts.get(unit.key, 0))
