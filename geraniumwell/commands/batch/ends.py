"""Applies reports of workers, with the ends of runs, to the state of jobs."""

from geraniumwell.commands.batch.health import (
    record_answer,
    record_failure,
    record_success,
)
from geraniumwell.commands.batch.lifecycle import (
    complete_occurrence,
    end_job,
    find_step,
    find_task,
    mark_job_begun,
    mark_job_unsaved,
    release_task,
)
from geraniumwell.commands.batch.progress import clear_stalls
from geraniumwell.commands.batch.speeds import record_progress
from geraniumwell.model.batch.cluster import Cluster, Order, StopTask
from geraniumwell.model.batch.job import (
    ENDED_STATES,
    PLACED_PHASES,
    Job,
    JobState,
    Phase,
    StepRun,
    StopReason,
    Task,
)
from geraniumwell.model.batch.speed import forget_worker
from geraniumwell.model.batch.worker import (
    EndedTask,
    EndKind,
    RunningTask,
    Worker,
    WorkerReport,
)


def apply_report(
    cluster: Cluster,
    worker: Worker,
    report: WorkerReport,
    sent_at: float,
    now: float,
    wall_now: float,
) -> list[Order]:
    """Apply the report of a worker; return the resulting orders.

    Parameters
    ----------
    sent_at : float
        Time at which the poll was sent. A run whose start was settled before that and
        that is not in a complete report no longer exists.
    """
    cluster.mark_worker_changed(worker.entry.id)
    record_incarnation(cluster, worker, report.started_ms, now)
    worker.reported_at = sent_at
    worker.clock_ms, worker.clock_at = report.clock_ms, now
    worker.has_confirmed_epoch, worker.is_unresponsive = True, False
    record_answer(worker, now)
    orders: list[Order] = []
    for end in report.ended:
        mark_job_begun(cluster, end.id.job)
        orders += apply_end(cluster, worker, end, now, wall_now)
    worker.has_unknown_runs = False
    for running in report.running:
        mark_job_begun(cluster, running.id.job)
        orders += apply_running(cluster, worker, running, now)
    listed = {(item.id, item.run) for item in report.running}
    for task in list(worker.tasks.values()):
        if (task.id, task.run) in listed:
            continue
        if task.phase is Phase.DONE:
            release_task(cluster, task)
        elif report.may_have_more_ends:
            # The run may have ended as done; a later report will contain its end.
            continue
        elif task.start_settled_at is not None and task.start_settled_at < sent_at:
            release_task(cluster, task)
            mark_gang_broken(cluster, task, now)
    return orders


def record_incarnation(
    cluster: Cluster, worker: Worker, started_ms: int, now: float
) -> None:
    """Detect a new incarnation of a worker, and reset what belongs to the earlier one.

    The new incarnation numbers its ends from 1 again, and the runs that the earlier one
    reported are gone. A start that is newer than the last report may have been accepted
    by the new incarnation, so its task stays placed until the next report.
    """
    if not started_ms or worker.started_ms == started_ms:
        return
    if worker.started_ms:
        for task in list(worker.tasks.values()):
            if (
                task.start_settled_at is not None
                and task.start_settled_at <= worker.reported_at
            ):
                release_task(cluster, task)
                mark_gang_broken(cluster, task, now)
        worker.last_applied_end = worker.last_saved_end = (
            worker.last_acknowledged_end
        ) = 0
        worker.has_confirmed_epoch = False
        worker.has_unknown_runs = False
        forget_worker(cluster.speeds, worker.entry.id)
    worker.started_ms = started_ms
    cluster.mark_worker_changed(worker.entry.id)


def apply_running(
    cluster: Cluster, worker: Worker, item: RunningTask, now: float
) -> list[Order]:
    """Record the progress of a run; stop it if it is not the placed run of its task."""
    task = worker.tasks.get(item.id)
    if task is not None and task.phase is Phase.DONE:
        # A member of a done gang stays placed until its own run has ended.
        return []
    if task is None or task.run != item.run or task.phase not in PLACED_PHASES:
        worker.has_unknown_runs = True
        reason = StopReason.UNKNOWN_RUN
        return [StopTask(worker.entry.id, item.id, item.run, reason)]
    if item.checkpoint:
        task.checkpoint = item.checkpoint
    if item.percent != task.progress or task.progressed_clock_ms is None:
        record_progress(cluster, worker, task, item.percent, now)
    if task.start_settled_at is None:
        task.start_settled_at = now
    if task.phase is Phase.STARTING:
        task.phase = Phase.RUNNING
    return []


def apply_end(
    cluster: Cluster, worker: Worker, end: EndedTask, now: float, wall_now: float
) -> list[Order]:
    """Apply the end of a run that a worker reports; ignore ends of earlier runs."""
    if end.number > worker.last_applied_end:
        worker.last_applied_end = end.number
        cluster.workers_with_unsaved_ends.add(worker.entry.id)
    task = find_task(cluster, end.id)
    if task is None or task.worker != worker.entry.id or task.run != end.run:
        return []
    is_placed = task.phase in PLACED_PHASES
    release_task(cluster, task)
    if not is_placed:
        return []
    job = cluster.jobs[end.id.job]
    step = find_step(job, end.id)
    assert step is not None
    if end.checkpoint:
        task.checkpoint = end.checkpoint
    match end.kind:
        case EndKind.DONE if not step.spec.is_long_running:
            record_success(worker)
            _apply_done(cluster, job, step, task, wall_now)
        case EndKind.FAILED:
            record_failure(worker, task, step.spec.is_long_running, now)
            mark_gang_broken(cluster, task, now)
            return _apply_failure(cluster, job, step, task, end.run, now, wall_now)
        case (
            EndKind.DONE
            | EndKind.STOPPED
            | EndKind.LAPSED
            | EndKind.BROKEN
            | EndKind.ALONE
        ):
            # Also a long-running task that is done: only a cancellation ends its job.
            mark_gang_broken(cluster, task, now)
    return []


def mark_gang_broken(cluster: Cluster, task: Task, now: float) -> None:
    """Record when the gang of a task, if it has one, lost its first member."""
    job = cluster.jobs.get(task.id.job)
    step = find_step(job, task.id) if job else None
    if step is not None and step.spec.is_gang and not step.broken_at:
        step.broken_at = now
        cluster.broken_gangs.add((task.id.job, step.occurrence, step.step))


def _apply_done(
    cluster: Cluster, job: Job, step: StepRun, task: Task, wall_now: float
) -> None:
    """Mark a task as done, and all members of its gang with it."""
    tasks = step.tasks if step.spec.is_gang else [task]
    for member in tasks:
        # Other members stay on their workers until those report the ends of their runs.
        member.phase = Phase.DONE
        if member.worker:
            cluster.mark_worker_changed(member.worker)
    clear_stalls(cluster, step)
    mark_job_unsaved(cluster, job.spec.id)
    if job.state not in ENDED_STATES:
        complete_occurrence(cluster, job, step.occurrence, wall_now)


def _apply_failure(
    cluster: Cluster,
    job: Job,
    step: StepRun,
    task: Task,
    run: int,
    now: float,
    wall_now: float,
) -> list[Order]:
    """Count a failed run; fail the job once its attempts are used up.

    Long-running tasks are restarted regardless of their number of failures.
    """
    if step.spec.is_long_running or job.state in ENDED_STATES:
        return []
    task.failures += 1
    failures = task.failures
    if step.spec.is_gang:
        if step.failed_run != run:
            step.failed_run = run
            step.gang_failures += 1
        failures = step.gang_failures
    if failures < job.spec.max_attempts:
        return []
    return end_job(cluster, job, JobState.FAILED, wall_now, now)
