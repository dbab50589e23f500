"""Priorities of jobs, and which tasks guaranteed work may preempt."""

from geraniumwell.model.batch.cluster import Cluster
from geraniumwell.model.batch.job import Job, Phase, StepSpec, Task, TaskId

URGENT_PRIORITY = 0


def find_step_spec(cluster: Cluster, task_id: TaskId) -> StepSpec:
    """Return the specification of a task's step."""
    return cluster.jobs[task_id.job].spec.steps[task_id.step]


def find_priority(cluster: Cluster, job: Job) -> int:
    """Return the current priority of a job's queue, or else the one at submission."""
    queue = cluster.catalog.queue_by_name.get(job.spec.queue)
    return queue.priority if queue else job.spec.priority


def is_preemptible(spec: StepSpec, phase: Phase, priority: int) -> bool:
    """Return whether guaranteed work may preempt a task with these properties."""
    if phase not in (Phase.STARTING, Phase.RUNNING):
        return False
    if spec.is_long_running and not spec.is_filler:
        return False
    return priority != URGENT_PRIORITY


def is_task_preemptible(cluster: Cluster, task: Task) -> bool:
    """Return whether guaranteed work may preempt a task."""
    job = cluster.jobs[task.id.job]
    spec = job.spec.steps[task.id.step]
    return is_preemptible(spec, task.phase, find_priority(cluster, job))
