"""Moves tasks off draining workers, and unsent starts off evacuated data centres."""

from geraniumwell.commands.batch.lifecycle import stop_gang
from geraniumwell.commands.batch.priorities import find_step_spec
from geraniumwell.model.batch.cluster import Cluster, Order
from geraniumwell.model.batch.job import Phase, StopReason, Task
from geraniumwell.model.batch.worker import Worker, WorkerState

# Assumed remaining time of a draining worker that does not announce one.
DEFAULT_REMAINING_SECONDS = 2.0
# A task with checkpoints is stopped this long before its worker leaves, which covers
# the time that a stop takes.
STOP_LEAD_SECONDS = 1.0
# At a lower progress the rate of a task is too inaccurate for an estimate.
MIN_PROGRESS_PERCENT = 5


def evacuate_draining_workers(cluster: Cluster, now: float) -> list[Order]:
    """Stop the tasks that would not end before their draining worker leaves."""
    orders: list[Order] = []
    for worker in cluster.workers.values():
        if worker.state is not WorkerState.DRAINING:
            continue
        for task in list(worker.tasks.values()):
            if task.phase is Phase.RUNNING and must_move(cluster, worker, task, now):
                orders += stop_gang(cluster, task, StopReason.WORKER_LEAVING, now)
    return orders


def cancel_unsent_starts(cluster: Cluster, now: float) -> list[Order]:
    """Cancel planned starts in evacuated data centres; return the stop orders.

    Running tasks there continue. A gang has to start elsewhere as a whole, so its
    members that were already started are stopped.
    """
    orders: list[Order] = []
    if not cluster.evacuated_data_centres:
        return orders
    for worker in cluster.workers.values():
        if worker.entry.data_centre not in cluster.evacuated_data_centres:
            continue
        for task in list(worker.tasks.values()):
            if task.phase is Phase.STARTING and not task.is_start_sent:
                orders += stop_gang(cluster, task, StopReason.WORKER_LEAVING, now)
    return orders


def must_move(cluster: Cluster, worker: Worker, task: Task, now: float) -> bool:
    """Return whether a task has to be stopped, because its worker leaves too soon."""
    spec = find_step_spec(cluster, task.id)
    remaining = worker.entry.remaining_seconds
    leaves_at = worker.drain_started_at + (
        DEFAULT_REMAINING_SECONDS if remaining is None else remaining
    )
    if spec.is_long_running:
        return True
    if now + estimate_remaining_seconds(task, spec.estimate_seconds, now) <= leaves_at:
        return False
    if spec.has_checkpoints:
        # Stop as late as possible; the checkpoint keeps the work done until then.
        return now >= leaves_at - STOP_LEAD_SECONDS
    return True


def estimate_remaining_seconds(
    task: Task, estimate_seconds: float, now: float
) -> float:
    """Return the estimated remaining time of a running task, in seconds."""
    elapsed_seconds = now - task.started_at
    if task.progress < MIN_PROGRESS_PERCENT:
        return max(0.0, estimate_seconds - elapsed_seconds)
    measured_seconds = max(0.0, task.progressed_at - task.started_at)
    total_seconds = measured_seconds * 100 / task.progress
    return max(0.0, total_seconds - elapsed_seconds)
