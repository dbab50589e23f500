"""Keeps work off workers that are about to leave and off evacuated data centres."""

from geraniumwell.commands.batch.preemption import stop_gang
from geraniumwell.commands.batch.priorities import find_step_spec
from geraniumwell.model.batch.cluster import Cluster, Order
from geraniumwell.model.batch.job import Phase, Task
from geraniumwell.model.batch.worker import Worker, WorkerState

# A worker that does not tell how long it stays is taken to leave this soon.
DEFAULT_STAY_SECONDS = 2.0
# Time that a stop takes before the worker leaves.
STOP_LEAD_SECONDS = 1.0
# Below this progress its rate says little about the time left.
RATED_PERCENT = 5


def evacuate_draining_workers(cluster: Cluster, now: float) -> list[Order]:
    """Return the stops of tasks that would not end before their worker leaves."""
    orders: list[Order] = []
    for worker in cluster.workers.values():
        if worker.state is not WorkerState.DRAINING:
            continue
        for task in list(worker.tasks.values()):
            if task.phase is Phase.RUNNING and is_cut_short(cluster, worker, task, now):
                orders += stop_gang(cluster, task, now)
    return orders


def cancel_unsent_starts(cluster: Cluster, now: float) -> list[Order]:
    """Take planned starts back that would be sent to an evacuated data centre.

    What runs there already goes on. A gang starts as a whole elsewhere, so its members
    that were sent are stopped; the orders for that are returned.
    """
    orders: list[Order] = []
    if not cluster.evacuated_data_centres:
        return orders
    for worker in cluster.workers.values():
        if worker.entry.data_centre not in cluster.evacuated_data_centres:
            continue
        for task in list(worker.tasks.values()):
            if task.phase is Phase.STARTING and not task.is_start_sent:
                orders += stop_gang(cluster, task, now)
    return orders


def is_cut_short(cluster: Cluster, worker: Worker, task: Task, now: float) -> bool:
    """Tell whether a task should move, because its worker leaves too soon."""
    spec = find_step_spec(cluster, task.id)
    stay = worker.entry.remaining_seconds
    leaves_at = worker.drain_started_at + (
        DEFAULT_STAY_SECONDS if stay is None else stay
    )
    if spec.is_long_running:
        return True
    if now + estimate_rest(task, spec.estimate_seconds, now) <= leaves_at:
        return False
    if spec.has_checkpoints:
        # What is done until just before the worker leaves is not lost.
        return now >= leaves_at - STOP_LEAD_SECONDS
    return True


def estimate_rest(task: Task, estimate_seconds: float, now: float) -> float:
    """Return the estimated time that a running task still takes, in seconds."""
    elapsed = now - task.started_at
    if task.progress < RATED_PERCENT:
        return max(0.0, estimate_seconds - elapsed)
    heard = max(0.0, task.progressed_at - task.started_at)
    total = heard * 100 / task.progress
    return max(0.0, total - elapsed)
