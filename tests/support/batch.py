"""Builders of batch jobs, workers and clusters for tests."""

from typing import Any

from geraniumwell.codec.batch import (
    decode_progress,
    decode_stalls,
    encode_progress,
    encode_stalls,
)
from geraniumwell.commands.batch.ends import apply_report
from geraniumwell.commands.batch.lifecycle import add_job, mark_job_begun
from geraniumwell.commands.batch.planning import plan
from geraniumwell.commands.batch.registry import restore_job
from geraniumwell.model.batch.catalog import (
    Catalog,
    Organisation,
    Queue,
    make_catalog,
)
from geraniumwell.model.batch.cluster import BatchPolicy, Cluster, Order, StartTask
from geraniumwell.model.batch.job import Job, JobSpec, Phase, StepSpec, Task, TaskId
from geraniumwell.model.batch.resources import Resources
from geraniumwell.model.batch.worker import (
    EndedTask,
    EndKind,
    RunningTask,
    Worker,
    WorkerEntry,
    WorkerReport,
)

CAPACITY = Resources(16_000, 64_000, 8)
PRIORITIES = {"quotes": 0, "renders": 1, "batches": 2}
# Wall time at the monotonic time 0.
WALL = 1_000_000.0


def make_test_catalog(version: int = 1, guaranteed: int = 16) -> Catalog:
    """Return a catalog with three queues, each of a lower priority than the last."""
    queues = tuple(
        Queue(name, "host", f"/{name}/", "pool", priority, 3, 1.0, 2.0)
        for name, priority in PRIORITIES.items()
    )
    organisations = (
        Organisation("desks", frozenset({"key-desks"}), guaranteed),
        Organisation("carvers", frozenset({"key-carvers"}), 0),
    )
    return make_catalog(version, queues, organisations, 1000)


def make_cluster(racks: str = "r1 r1 r2 r2") -> Cluster:
    """Return a cluster with a polled worker for each rack that is named."""
    cluster = Cluster(1, BatchPolicy(), make_test_catalog())
    for number, rack in enumerate(racks.split(), 1):
        add_worker(cluster, f"w{number}", rack)
    return cluster


def add_worker(cluster: Cluster, name: str, rack: str, now: float = 0.0) -> Worker:
    """Add a worker that has answered its first poll."""
    entry = WorkerEntry(
        name,
        "pool",
        "127.0.0.1:1",
        "dc-1",
        CAPACITY.copy(),
        frozenset({"a", rack}),
        rack,
        False,
        1,
    )
    worker = Worker(entry, has_confirmed_epoch=True, started_ms=1)
    worker.clock_ms, worker.clock_at = 1000, now
    cluster.workers[name] = worker
    return worker


def make_step(count: int = 1, gpus: int = 1, **kwargs: Any) -> StepSpec:
    """Return a step with tasks of little CPU and memory."""
    kwargs.setdefault("estimate_seconds", 2.0)
    return StepSpec(count, Resources(1000, 1000, gpus), **kwargs)


def make_job(name: str, *steps: StepSpec, **kwargs: Any) -> JobSpec:
    """Return a job, of the queue "renders" by default."""
    queue = kwargs.pop("queue", "renders")
    values: dict[str, Any] = {
        "organisation": "desks",
        "service": "pool",
        "priority": PRIORITIES[queue],
        "max_attempts": 3,
        "payload": "text",
        "accepted_at": WALL,
        "target_seconds": 1.0,
        "stretch": 2.0,
    }
    return JobSpec(name, queue, steps=steps, **(values | kwargs))


def submit(cluster: Cluster, spec: JobSpec) -> None:
    """Add an accepted job."""
    add_job(cluster, spec, WALL)


def restore_stored_job(job: Job, racks: str, now: float) -> Cluster:
    """Return the cluster of a new scheduler that has restored a job from its row."""
    cluster = make_cluster(racks)
    restored = decode_progress(encode_progress(job), job.spec)
    decode_stalls(encode_stalls(job), restored)
    restore_job(cluster, restored, now)
    return cluster


def run_plan(cluster: Cluster, now: float) -> list[Order]:
    """Plan one round; all starts succeed at once."""
    orders = plan(cluster, now, WALL + now)
    for order in orders:
        if isinstance(order, StartTask):
            task = get_task(cluster, order.id)
            task.is_start_sent = True
            mark_job_begun(cluster, order.id.job)
            task.phase = Phase.RUNNING
            task.start_settled_at = task.started_at = task.progressed_at = now
            task.progressed_clock_ms = int(1000 + now * 1000)
            cluster.workers[order.worker].lease_until = now + 100.0
    return orders


def get_task(cluster: Cluster, task_id: TaskId) -> Task:
    """Return a task by its id."""
    job = cluster.jobs[task_id.job]
    return job.steps[task_id.occurrence, task_id.step].tasks[task_id.index]


def list_tasks(cluster: Cluster, job: str, step: int = 0) -> list[Task]:
    """Return the tasks of a step of a job's first occurrence."""
    return cluster.jobs[job].steps[0, step].tasks


def report(
    cluster: Cluster,
    name: str,
    now: float,
    running: tuple[RunningTask, ...] = (),
    ended: tuple[EndedTask, ...] = (),
    sent_at: float | None = None,
    started_ms: int = 1,
    answered_at: float | None = None,
    may_have_more_ends: bool = False,
) -> list[Order]:
    """Apply a worker's report in response to a poll that was sent at ``sent_at``."""
    worker = cluster.workers[name]
    answered = now if answered_at is None else answered_at
    worker_report = WorkerReport(
        int(1000 + answered * 1000), running, ended, started_ms, may_have_more_ends
    )
    asked = answered if sent_at is None else sent_at
    return apply_report(cluster, worker, worker_report, asked, now, WALL + now)


def end_task(
    cluster: Cluster, task: Task, kind: EndKind, now: float, checkpoint: str = ""
) -> list[Order]:
    """Apply a report with the end of a task; the worker's other tasks still run."""
    worker = cluster.workers[task.worker]
    running = tuple(
        RunningTask(other.id, other.run, other.checkpoint, 50)
        for other in worker.tasks.values()
        if other is not task
    )
    ended_task = EndedTask(
        worker.last_applied_end + 1, task.id, task.run, kind, checkpoint
    )
    return report(cluster, task.worker, now, running, (ended_task,))
