"""Answers of workers to orders, applied to the state of tasks."""

from geraniumwell.commands.batch.ends import mark_gang_broken
from geraniumwell.commands.batch.health import (
    note_answer,
    note_refusal,
    note_start,
    record_unanswered_call,
)
from geraniumwell.commands.batch.lifecycle import (
    find_step,
    find_task,
    release_task,
)
from geraniumwell.commands.batch.preemption import stop_gang
from geraniumwell.model.batch.cluster import Cluster, Order, StartTask, StopTask
from geraniumwell.model.batch.job import ENDED_STATES, PLACED_PHASES, Phase, Task
from geraniumwell.model.batch.worker import StartResult


def find_placed(cluster: Cluster, order: StartTask | StopTask) -> Task | None:
    """Return the task of an order if it is still placed as the order says."""
    task = find_task(cluster, order.id)
    if task is None or task.worker != order.worker or task.run != order.run:
        return None
    return task if task.phase in PLACED_PHASES else None


def is_start_wanted(cluster: Cluster, order: StartTask) -> bool:
    """Tell whether a planned start is still to be sent."""
    task = find_placed(cluster, order)
    job = cluster.jobs.get(order.id.job)
    if task is None or job is None or job.state in ENDED_STATES:
        return False
    return task.phase is Phase.STARTING and not task.is_start_sent


def handle_unsent_start(cluster: Cluster, order: StartTask) -> bool:
    """Note that a start never left this daemon; tell whether it is to be sent later.

    The place is kept, because neither the worker nor the task is at fault.
    """
    task = find_placed(cluster, order)
    if task is None:
        return False
    task.is_start_sent = False
    if task.phase is Phase.STARTING:
        return True
    # It was stopped meanwhile, and nothing runs that could end.
    release_task(cluster, task)
    return False


def apply_start_answer(
    cluster: Cluster,
    order: StartTask,
    result: StartResult,
    now: float,
    clock_ms: int = 0,
) -> list[Order]:
    """Apply a worker's answer to a start; return the orders that follow.

    Parameters
    ----------
    clock_ms : int
        The worker's clock when it answered; 0 if it did not tell.
    """
    task = find_placed(cluster, order)
    worker = cluster.workers.get(order.worker)
    if task is None or worker is None:
        return []
    cluster.mark_worker_changed(order.worker)
    match result:
        case StartResult.STARTED:
            note_start(worker)
            note_answer(worker, now)
            task.start_settled_at = now
            if task.phase is Phase.STARTING:
                task.phase = Phase.RUNNING
                task.started_at = task.progressed_at = now
                task.progressed_clock_ms = clock_ms or None
            return []
        case StartResult.NO_ROOM | StartResult.REFUSED | StartResult.OTHER_INCARNATION:
            note_refusal(worker, now)
        case StartResult.OLD_RUN | StartResult.LATE | StartResult.NO_TICKET:
            pass
        case StartResult.STALE_EPOCH:
            pass
    release_task(cluster, task)
    mark_gang_broken(cluster, task, now)
    return stop_rest(cluster, task, now)


def stop_rest(cluster: Cluster, task: Task, now: float) -> list[Order]:
    """Stop the gang of a task whose start has failed.

    A gang that never was complete has done no work, and would wait for its time limit.
    """
    step = find_step(cluster.jobs[task.id.job], task.id)
    if step is None or not step.spec.is_gang:
        return []
    return stop_gang(cluster, task, now)


def apply_unanswered_start(
    cluster: Cluster, order: StartTask, now: float
) -> list[Order]:
    """Stop a run whose start got no answer; it may still take effect."""
    task = find_placed(cluster, order)
    worker = cluster.workers.get(order.worker)
    if task is None or worker is None:
        return []
    cluster.mark_worker_changed(order.worker)
    note_refusal(worker, now)
    record_unanswered_call(worker, now)
    mark_gang_broken(cluster, task, now)
    return stop_gang(cluster, task, now)


def apply_stop_answer(cluster: Cluster, order: StopTask, now: float) -> None:
    """Note that a stopped run can't start any more.

    What was running is listed as an end; what is neither listed as running nor as
    ended afterwards never ran.
    """
    task = find_placed(cluster, order)
    if task is not None and task.start_settled_at is None:
        task.start_settled_at = now
