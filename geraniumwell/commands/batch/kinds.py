"""Kinds of tasks: tasks of the same kind are expected to behave alike."""

from collections import Counter

from geraniumwell.model.batch.cluster import Cluster
from geraniumwell.model.batch.job import JobSpec, Phase, StepSpec, Task
from geraniumwell.model.batch.worker import Worker

# Callers choose the image; a longer name would make the stored table grow.
KIND_BYTES_LIMIT = 100
# Processor time in thousandths of a core below which a task disturbs no one.
IDLE_USAGE_MILLIS = 50


def find_kind(spec: JobSpec, step: int) -> str:
    """Return the kind of a step's tasks: the image, or else the queue and the step."""
    name = spec.steps[step].image or f"{spec.queue}/{step}"
    return name.encode()[:KIND_BYTES_LIMIT].decode(errors="ignore")


def count_kinds(cluster: Cluster, worker: Worker) -> dict[str, int]:
    """Return the number of placed tasks of each kind on a worker."""
    return Counter(
        find_kind(cluster.jobs[task_id.job].spec, task_id.step)
        for task_id in worker.tasks
    )


def count_active_kinds(
    cluster: Cluster, worker: Worker, begun_by: float
) -> Counter[str]:
    """Return the number of tasks of each kind that have worked since ``begun_by``."""
    found: Counter[str] = Counter()
    for task in worker.tasks.values():
        spec = cluster.jobs[task.id.job].spec
        if task.started_at <= begun_by and is_active(spec.steps[task.id.step], task):
            found[find_kind(spec, task.id.step)] += 1
    return found


def is_active(step: StepSpec, task: Task) -> bool:
    """Return whether a task may disturb others on its worker."""
    if task.phase is not Phase.RUNNING:
        return False
    # The usage of a task with a latency target is a time.
    return step.target_ms > 0 or task.usage is None or task.usage >= IDLE_USAGE_MILLIS


def list_neighbours(kinds: Counter[str], kind: str) -> frozenset[str]:
    """Return the kinds beside a task of ``kind``, which is itself among ``kinds``."""
    return frozenset(
        other for other, count in kinds.items() if other != kind or count > 1
    )
