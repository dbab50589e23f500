"""Applies the outcomes of start and stop orders to the state of tasks."""

from geraniumwell.commands.batch.ends import mark_gang_broken
from geraniumwell.commands.batch.health import (
    record_answer,
    record_refusal,
    record_start,
    record_unanswered_call,
)
from geraniumwell.commands.batch.lifecycle import (
    find_step,
    find_task,
    mark_job_begun,
    release_task,
    stop_gang,
)
from geraniumwell.model.batch.cluster import (
    Cluster,
    Order,
    StartTask,
    StopTask,
)
from geraniumwell.model.batch.job import (
    ENDED_STATES,
    PLACED_PHASES,
    Phase,
    StopReason,
    Task,
)
from geraniumwell.model.batch.worker import StartResult


def find_placed_task(cluster: Cluster, order: StartTask | StopTask) -> Task | None:
    """Return the task of an order if the run of the order is still placed."""
    task = find_task(cluster, order.id)
    if task is None or task.worker != order.worker or task.run != order.run:
        return None
    return task if task.phase in PLACED_PHASES else None


def is_start_wanted(cluster: Cluster, order: StartTask) -> bool:
    """Return whether a planned start order still has to be sent."""
    task = find_placed_task(cluster, order)
    job = cluster.jobs.get(order.id.job)
    if task is None or job is None or job.state in ENDED_STATES:
        return False
    return task.phase is Phase.STARTING and not task.is_start_sent


def handle_unsent_start(cluster: Cluster, order: StartTask) -> bool:
    """Handle a start order that was not sent; return whether to send it later.

    The task stays placed, because neither the worker nor the task is at fault.
    """
    task = find_placed_task(cluster, order)
    if task is None:
        return False
    task.is_start_sent = False
    if task.phase is Phase.STARTING:
        return True
    # The task was stopped in the meantime, and there is no run that could end.
    release_task(cluster, task)
    return False


def apply_start_answer(
    cluster: Cluster,
    order: StartTask,
    result: StartResult,
    now: float,
    clock_ms: int = 0,
) -> list[Order]:
    """Apply a worker's response to a start order; return the resulting orders.

    Parameters
    ----------
    clock_ms : int
        The worker's clock when it responded; 0 if the response does not contain it.
    """
    if result is StartResult.STARTED:
        mark_job_begun(cluster, order.id.job)
    task = find_placed_task(cluster, order)
    worker = cluster.workers.get(order.worker)
    if task is None or worker is None:
        return []
    cluster.mark_worker_changed(order.worker)
    match result:
        case StartResult.STARTED:
            record_start(worker)
            record_answer(worker, now)
            task.start_settled_at = now
            if task.phase is Phase.STARTING:
                task.phase = Phase.RUNNING
                task.started_at = task.progressed_at = now
                task.progressed_clock_ms = clock_ms or None
            return []
        case (
            StartResult.NO_CAPACITY
            | StartResult.REFUSED
            | StartResult.OTHER_INCARNATION
        ):
            record_refusal(worker, now)
        case StartResult.OLD_RUN | StartResult.LATE | StartResult.NO_TICKET:
            pass
        case StartResult.STALE_EPOCH:
            pass
    release_task(cluster, task)
    mark_gang_broken(cluster, task, now)
    return stop_gang_of_failed_start(cluster, task, now)


def stop_gang_of_failed_start(cluster: Cluster, task: Task, now: float) -> list[Order]:
    """Stop the gang of a task whose start has failed.

    An incomplete gang does no work and would otherwise wait until its time limit.
    """
    step = find_step(cluster.jobs[task.id.job], task.id)
    if step is None or not step.spec.is_gang:
        return []
    return stop_gang(cluster, task, StopReason.START_FAILED, now)


def apply_unanswered_start(
    cluster: Cluster, order: StartTask, now: float
) -> list[Order]:
    """Stop a run whose start order got no response and may still take effect."""
    task = find_placed_task(cluster, order)
    worker = cluster.workers.get(order.worker)
    if task is None or worker is None:
        return []
    cluster.mark_worker_changed(order.worker)
    record_refusal(worker, now)
    record_unanswered_call(worker, now)
    mark_gang_broken(cluster, task, now)
    return stop_gang(cluster, task, StopReason.START_FAILED, now)


def apply_stop_answer(cluster: Cluster, order: StopTask, now: float) -> None:
    """Record that a stopped run can no longer start.

    A run that was active will be reported as ended. A run that later reports list
    neither as running nor as ended has never started.
    """
    task = find_placed_task(cluster, order)
    if task is not None and task.start_settled_at is None:
        task.start_settled_at = now
