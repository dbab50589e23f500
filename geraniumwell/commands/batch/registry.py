"""Applies entries of the platform's registry, and restored jobs, to the cluster."""

from geraniumwell.commands.batch.ends import record_incarnation
from geraniumwell.commands.batch.leases import find_lease_bound
from geraniumwell.commands.batch.lifecycle import register_job
from geraniumwell.model.batch.cluster import Cluster
from geraniumwell.model.batch.job import Job, Phase, StopReason, Task
from geraniumwell.model.batch.resources import Resources
from geraniumwell.model.batch.speed import forget_worker
from geraniumwell.model.batch.worker import Worker, WorkerEntry, WorkerState


def apply_entry(cluster: Cluster, entry: WorkerEntry, now: float) -> bool:
    """Apply an entry; return whether the worker is new or its state has changed."""
    worker = cluster.workers.get(entry.id)
    before = worker.state if worker else None
    if worker is None:
        worker = Worker(entry, started_ms=entry.started_ms)
        cluster.workers[entry.id] = worker
    cluster.mark_worker_changed(entry.id)
    if entry.started_ms > worker.started_ms:
        record_incarnation(cluster, worker, entry.started_ms, now)
    worker.entry = entry
    worker.state = WorkerState.DRAINING if entry.is_draining else WorkerState.READY
    if entry.is_draining and before is not WorkerState.DRAINING:
        worker.drain_started_at = now
    return worker.state is not before


def apply_removed_entry(cluster: Cluster, worker_id: str) -> bool:
    """Apply the removal of an entry; return whether the worker was removed.

    Tasks may continue until their leases expire, so a worker with tasks is kept.
    """
    worker = cluster.workers.get(worker_id)
    if worker is None:
        return False
    worker.state = WorkerState.UNREGISTERED
    cluster.mark_worker_changed(worker_id)
    if worker.tasks:
        return False
    remove_worker(cluster, worker_id)
    return True


def apply_all_entries(
    cluster: Cluster, entries: list[WorkerEntry], now: float
) -> list[str]:
    """Apply all entries of the registry; return the ids of the removed workers."""
    for entry in entries:
        apply_entry(cluster, entry, now)
    known = {entry.id for entry in entries}
    return [
        worker_id
        for worker_id in list(cluster.workers)
        if worker_id not in known and apply_removed_entry(cluster, worker_id)
    ]


def remove_unregistered_workers(cluster: Cluster) -> list[str]:
    """Remove unregistered workers without tasks; return their ids."""
    unregistered = [
        worker_id
        for worker_id, worker in cluster.workers.items()
        if worker.state is WorkerState.UNREGISTERED and not worker.tasks
    ]
    for worker_id in unregistered:
        remove_worker(cluster, worker_id)
    return unregistered


def remove_worker(cluster: Cluster, worker_id: str) -> None:
    """Remove a worker and what is known of it."""
    cluster.mark_worker_changed(worker_id)
    del cluster.workers[worker_id]
    forget_worker(cluster.speeds, worker_id)


def restore_job(cluster: Cluster, job: Job, now: float) -> None:
    """Restore a stored job; its placed tasks may still be running."""
    register_job(cluster, job)
    for step in job.steps.values():
        for task in step.tasks:
            if step.spec.is_long_running and task.phase is Phase.DONE:
                # Stored by a version that did not restart it.
                task.phase = Phase.WAITING
            if task.worker:
                restore_task(cluster, task, now)


def restore_task(cluster: Cluster, task: Task, now: float) -> None:
    """Assign a restored task to its worker.

    The first poll with the new epoch shows whether the task runs, because after it no
    start of an earlier scheduler takes effect on the worker.
    """
    worker = cluster.workers.get(task.worker)
    if worker is None:
        entry = WorkerEntry(
            task.worker, "", "", "", Resources(), frozenset(), "", False
        )
        worker = Worker(entry, WorkerState.UNREGISTERED)
        cluster.workers[task.worker] = worker
    worker.tasks[task.id] = task
    cluster.mark_worker_changed(task.worker)
    worker.lease_until = find_lease_bound(cluster.policy, now)
    task.start_settled_at = task.started_at = task.progressed_at = now
    task.is_start_sent = True
    if task.phase is Phase.STOPPING:
        # The earlier scheduler may have ended before it sent the stop order.
        task.stopped_at, task.stop_reason = now, StopReason.RESTORED
        cluster.stopping_tasks[task.id] = task
