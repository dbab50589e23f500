"""Life cycle of jobs and tasks: acceptance, occurrences, stops and ends."""

from geraniumwell.model.batch.cluster import Cluster, Order, StopTask
from geraniumwell.model.batch.job import (
    ENDED_STATES,
    Job,
    JobSpec,
    JobState,
    Phase,
    StepRun,
    StopReason,
    Task,
    TaskId,
    open_occurrence,
)
from geraniumwell.model.batch.unit import StepKey

# Maximum number of tasks in the unfinished occurrences of a job; a single occurrence
# may have more. More would not fit into one row of progress, and thousands of
# occurrences that are due at the same time would exhaust the memory of the daemon.
OPEN_TASK_LIMIT = 2_000
# Reasons for which a gang gives up its capacity: others need it more, the gang made no
# progress there, or its job has ended.
GIVEN_UP = (
    StopReason.PREEMPTED,
    StopReason.STALLED,
    StopReason.JOB_CANCELLED,
    StopReason.JOB_FAILED,
)


def add_job(cluster: Cluster, spec: JobSpec, wall_now: float, version: int = 0) -> None:
    """Add an accepted job, unless it is already known.

    A job whose id was cancelled before its row was stored ends as cancelled.

    Parameters
    ----------
    version : int
        Version of the job's row in the store.
    """
    if spec.id in cluster.jobs:
        return
    job = Job(spec, version=version)
    register_job(cluster, job)
    cancellation = cluster.cancellations.get(spec.id)
    if cancellation is not None and cancellation.applies_to(spec.queue):
        end_job(cluster, job, JobState.CANCELLED, wall_now)
        return
    open_due_occurrences(job, wall_now)


def register_job(cluster: Cluster, job: Job) -> None:
    """Register a new or restored job with the cluster."""
    job_id = job.spec.id
    cluster.jobs[job_id] = job
    cluster.registered_count += 1
    job.sequence = cluster.registered_count
    cluster.changed_jobs.add(job_id)
    if job.state in ENDED_STATES:
        return
    if not job.has_begun:
        cluster.pending_jobs[job_id] = job.spec.queue
    if job.opened_occurrences < job.spec.occurrences:
        cluster.jobs_with_unopened_occurrences.add(job_id)


def cancel_job(
    cluster: Cluster, job_id: str, now: float, wall_now: float
) -> list[Order]:
    """Cancel a job on request of its caller; return the stop orders."""
    job = cluster.jobs.get(job_id)
    if job is None or job.state in ENDED_STATES:
        return []
    return end_job(cluster, job, JobState.CANCELLED, wall_now, now)


def end_job(
    cluster: Cluster,
    job: Job,
    state: JobState,
    wall_now: float,
    now: float = 0.0,
) -> list[Order]:
    """Set the final state of a job; return the stop orders for its running tasks."""
    job.state = state
    job.ended_at = wall_now
    cluster.pending_jobs.pop(job.spec.id, None)
    mark_job_unsaved(cluster, job.spec.id)
    orders: list[Order] = []
    reason = StopReason.JOB_CANCELLED
    if state is JobState.FAILED:
        reason = StopReason.JOB_FAILED
    for step in job.steps.values():
        for task in step.tasks:
            orders += request_stop(cluster, task, reason, now)
    return orders


def mark_job_unsaved(cluster: Cluster, job_id: str) -> None:
    """Mark the progress of a job as changed, for storage and for planning."""
    cluster.unsaved_jobs.add(job_id)
    cluster.changed_jobs.add(job_id)


def mark_job_begun(cluster: Cluster, job_id: str) -> None:
    """Mark a job of which a worker has begun a task.

    A start that is only planned may be refused, or may never be sent.
    """
    job = cluster.jobs.get(job_id)
    if job is None or job.has_begun:
        return
    job.has_begun = True
    cluster.pending_jobs.pop(job_id, None)
    cluster.unsaved_jobs.add(job_id)


def open_due_occurrences(job: Job, wall_now: float) -> bool:
    """Create the steps of due occurrences, up to the task limit of a job.

    Return whether any occurrence was opened.
    """
    spec = job.spec
    before = job.opened_occurrences
    tasks = sum(step.count for step in spec.steps)
    while job.opened_occurrences < spec.occurrences:
        unfinished = job.opened_occurrences - len(job.finished_occurrences)
        if unfinished and (unfinished + 1) * tasks > OPEN_TASK_LIMIT:
            break
        if wall_now < spec.first_due + job.opened_occurrences * spec.period_seconds:
            break
        open_occurrence(job, job.opened_occurrences)
        job.opened_occurrences += 1
    return job.opened_occurrences > before


def find_step(job: Job, task_id: TaskId) -> StepRun | None:
    """Return the step of a task, or None if its occurrence is not open."""
    return job.steps.get((task_id.occurrence, task_id.step))


def find_step_run(cluster: Cluster, key: StepKey) -> StepRun | None:
    """Return a step by its key, or None if it does not exist."""
    job = cluster.jobs.get(key[0])
    return job.steps.get(key[1:]) if job else None


def find_task(cluster: Cluster, task_id: TaskId) -> Task | None:
    """Return a task by its id, or None if it does not exist."""
    job = cluster.jobs.get(task_id.job)
    step = find_step(job, task_id) if job else None
    if step is None or task_id.index >= len(step.tasks):
        return None
    return step.tasks[task_id.index]


def is_step_ready(job: Job, step: StepRun) -> bool:
    """Return whether all steps that a step depends on are done."""
    return all(job.steps[step.occurrence, k].is_done() for k in step.spec.after)


def complete_occurrence(
    cluster: Cluster, job: Job, occurrence: int, wall_now: float
) -> None:
    """Finish an occurrence once its tasks are done, and the job after the last one."""
    steps = [job.steps[occurrence, k] for k in range(len(job.spec.steps))]
    if not all(step.is_done() for step in steps):
        return
    job.finished_occurrences.add(occurrence)
    mark_job_unsaved(cluster, job.spec.id)
    if (
        len(job.finished_occurrences) == job.spec.occurrences
        and job.state not in ENDED_STATES
    ):
        end_job(cluster, job, JobState.DONE, wall_now)


def list_gang(cluster: Cluster, task: Task) -> list[Task]:
    """Return all members of a task's gang, or the task alone."""
    job = cluster.jobs[task.id.job]
    step = find_step(job, task.id)
    if step is None or not step.spec.is_gang or job.state in ENDED_STATES:
        return [task]
    return step.tasks


def stop_gang(
    cluster: Cluster,
    task: Task,
    reason: StopReason,
    now: float,
    stalled_ms: int | None = None,
) -> list[Order]:
    """Begin to stop a task and all members of its gang; return the stop orders."""
    return [
        order
        for member in list_gang(cluster, task)
        for order in request_stop(cluster, member, reason, now, stalled_ms)
    ]


def request_stop(
    cluster: Cluster,
    task: Task,
    reason: StopReason,
    now: float,
    stalled_ms: int | None = None,
) -> list[Order]:
    """Begin to stop a task; a start order that was not sent is cancelled at once."""
    if task.phase is Phase.STARTING and not task.is_start_sent:
        task.stop_reason = reason
        release_task(cluster, task)
        return []
    if task.phase not in (Phase.STARTING, Phase.RUNNING):
        return []
    task.phase = Phase.STOPPING
    task.stopped_at = now
    task.stop_reason = reason
    cluster.stopping_tasks[task.id] = task
    cluster.mark_worker_changed(task.worker)
    return [StopTask(task.worker, task.id, task.run, reason, stalled_ms)]


def record_former_worker(step: StepRun, task: Task) -> None:
    """Remember the worker of a gang member that has stopped and will start again."""
    if task.stop_reason in GIVEN_UP:
        step.former_workers = ()
    elif step.spec.is_gang and task.worker and task.phase is not Phase.DONE:
        step.former_workers = (*step.former_workers, task.worker)


def release_task(cluster: Cluster, task: Task) -> None:
    """Remove a task that no longer runs from its worker, and let it wait again."""
    worker = cluster.workers.get(task.worker)
    job = cluster.jobs.get(task.id.job)
    step = find_step(job, task.id) if job and job.state not in ENDED_STATES else None
    if step is not None:
        record_former_worker(step, task)
    if worker is not None:
        worker.tasks.pop(task.id, None)
        cluster.mark_worker_changed(task.worker)
    cluster.stopping_tasks.pop(task.id, None)
    if task.phase not in (Phase.DONE, Phase.FAILED):
        task.phase = Phase.WAITING
    task.worker = ""
    task.start_settled_at = None
    task.progressed_clock_ms = None
    task.base_clock_ms = None
    task.has_speed_sample = False
    task.is_start_sent = False
    task.stopped_at = task.stop_reason = None
    mark_job_unsaved(cluster, task.id.job)
