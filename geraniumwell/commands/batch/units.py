"""Builds the queue of units: groups of waiting tasks that are placed together.

Only the units of jobs that have changed since the last planning round are rebuilt.
"""

from heapq import heappop, heappush

from geraniumwell.commands.batch.capacity import find_reserved_resources
from geraniumwell.commands.batch.lifecycle import is_step_ready, open_due_occurrences
from geraniumwell.commands.batch.priorities import URGENT_PRIORITY, find_priority
from geraniumwell.commands.batch.progress import find_pause_seconds
from geraniumwell.model.batch.cluster import Cluster
from geraniumwell.model.batch.job import ENDED_STATES, Job, Phase, StepRun, StepSpec
from geraniumwell.model.batch.unit import PlacementShape, StepKey, Unit

# Multiple of its objective after which the result of a job has no value.
EXPIRY_FACTOR = 3.0


def estimate_critical_path_seconds(job: Job) -> float:
    """Return the estimated duration of a job's longest chain of dependent steps."""
    lengths: list[float] = []
    for step in job.spec.steps:
        before = max((lengths[k] for k in step.after), default=0.0)
        lengths.append(before + step.estimate_seconds)
    return max(lengths, default=0.0)


def find_objective(job: Job, occurrence: int) -> tuple[float, float]:
    """Return the Unix times of a job's objective, and of the expiry of its result."""
    spec = job.spec
    begin = spec.accepted_at
    if spec.is_timed:
        begin = spec.first_due + occurrence * spec.period_seconds
    objective = spec.stretch * estimate_critical_path_seconds(job) + spec.target_seconds
    return begin + objective, begin + EXPIRY_FACTOR * objective


def open_occurrences(cluster: Cluster, wall_now: float) -> None:
    """Create the steps of the occurrences that are due, up to the limit per job."""
    for job_id in list(cluster.jobs_with_unopened_occurrences):
        job = cluster.jobs.get(job_id)
        if job is None or job.state in ENDED_STATES:
            cluster.jobs_with_unopened_occurrences.discard(job_id)
            continue
        if open_due_occurrences(job, wall_now):
            cluster.changed_jobs.add(job_id)
        if job.opened_occurrences == job.spec.occurrences:
            cluster.jobs_with_unopened_occurrences.discard(job_id)


def refresh_queue(cluster: Cluster, now: float, wall_now: float) -> None:
    """Rebuild the units of all changed jobs."""
    queue, changed = cluster.queue, cluster.changed_jobs
    if queue.catalog_version != cluster.catalog.version:
        queue.catalog_version = cluster.catalog.version
        changed.update(cluster.jobs)
    while queue.expiries and queue.expiries[0][0] < wall_now:
        changed.add(heappop(queue.expiries)[1])
    if not changed:
        return
    stale = {key for job_id in changed for key in queue.keys.pop(job_id, ())}
    if stale:
        queue.units = [unit for unit in queue.units if unit.key not in stale]
    for job_id in changed:
        job = cluster.jobs.get(job_id)
        if job is None or job.state in ENDED_STATES:
            continue
        for step in job.steps.values():
            if step.occurrence not in job.finished_occurrences:
                _queue_step(cluster, job, step, now, wall_now)
    queue.units.sort(key=lambda unit: unit.sort_key)
    changed.clear()


def _queue_step(
    cluster: Cluster, job: Job, step: StepRun, now: float, wall_now: float
) -> None:
    unit = make_unit(cluster, job, step, now, wall_now)
    if unit is None:
        return
    queue = cluster.queue
    queue.units.append(unit)
    queue.keys.setdefault(job.spec.id, set()).add(unit.key)
    if wall_now <= unit.expires_at and not unit.spec.is_long_running:
        heappush(queue.expiries, (unit.expires_at, job.spec.id))


def make_unit(
    cluster: Cluster, job: Job, step: StepRun, now: float, wall_now: float
) -> Unit | None:
    """Return the unit of a step's tasks that may start now, or None."""
    waiting = [task for task in step.tasks if task.phase is Phase.WAITING]
    if not waiting or not is_step_ready(job, step):
        return None
    # A gang starts only as a whole, and members of its earlier run may still be placed.
    is_complete = not step.spec.is_gang or not any(
        task.phase is not Phase.WAITING or task.worker for task in step.tasks
    )
    if not is_complete and not step.former_workers:
        return None
    if step.former_workers and not step.resumed_since:
        step.resumed_since = now
    if not step.waiting_since:
        step.waiting_since = now
    objective, expires_at = find_objective(job, step.occurrence)
    has_expired = wall_now > expires_at and not step.spec.is_long_running
    queue = cluster.catalog.queue_by_name.get(job.spec.queue)
    service = queue.service if queue else job.spec.service
    priority = find_priority(cluster, job)
    key: StepKey = (job.spec.id, step.occurrence, step.step)
    tasks = step.tasks if step.spec.is_gang else waiting
    ids = tuple(task.id for task in tasks)
    return Unit(
        key,
        step.spec,
        ids,
        service,
        priority,
        job.spec.organisation,
        step.waiting_since,
        objective,
        expires_at,
        (priority, has_expired, objective, job.sequence, *key[1:]),
        make_placement_shape(step.spec, service, priority, len(ids)),
        is_complete,
        step.former_workers,
        step.resumed_since,
        step.stalled_at,
        find_pause_seconds(step),
    )


def make_placement_shape(
    spec: StepSpec, service: str, priority: int, count: int
) -> PlacementShape | None:
    """Return the shape of a unit; None if its fit depends on the step's other tasks."""
    if spec.max_per_worker:
        return None
    needs = find_reserved_resources(spec)
    return PlacementShape(
        service,
        spec.label,
        spec.rack,
        spec.is_same_rack,
        spec.is_filler,
        spec.target_ms > 0,
        priority == URGENT_PRIORITY,
        needs.cpu_millis,
        needs.memory_mb,
        needs.accelerators,
        count if spec.is_gang else 1,
    )
