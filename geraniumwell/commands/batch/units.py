"""Groups of waiting tasks that are placed together, in order of urgency.

Only the units of jobs that were touched since the last round are made anew.
"""

from heapq import heappop, heappush

from geraniumwell.commands.batch.capacity import find_needs
from geraniumwell.commands.batch.lifecycle import is_step_open, open_due_occurrences
from geraniumwell.commands.batch.priorities import URGENT_PRIORITY, find_priority
from geraniumwell.model.batch.cluster import Cluster
from geraniumwell.model.batch.job import ENDED_STATES, Job, Phase, StepRun, StepSpec
from geraniumwell.model.batch.unit import PlacementShape, StepKey, Unit

# A result that comes later than this multiple of its objective is worth nothing.
EXPIRY_FACTOR = 3.0


def estimate_chain_seconds(job: Job) -> float:
    """Return the estimated length of a job's longest chain of steps."""
    lengths: list[float] = []
    for step in job.spec.steps:
        before = max((lengths[k] for k in step.after), default=0.0)
        lengths.append(before + step.estimate_seconds)
    return max(lengths, default=0.0)


def find_objective(job: Job, occurrence: int) -> tuple[float, float]:
    """Return the Unix times by which a job should be done, and must be at all."""
    spec = job.spec
    begin = spec.accepted_at
    if spec.is_timed:
        begin = spec.first_due + occurrence * spec.period_seconds
    objective = spec.stretch * estimate_chain_seconds(job) + spec.target_seconds
    return begin + objective, begin + EXPIRY_FACTOR * objective


def open_occurrences(cluster: Cluster, wall_now: float) -> None:
    """Make the steps of each occurrence whose time has come."""
    for job_id in list(cluster.jobs_with_future_occurrences):
        job = cluster.jobs.get(job_id)
        if job is None or job.state in ENDED_STATES:
            cluster.jobs_with_future_occurrences.discard(job_id)
            continue
        if open_due_occurrences(job, wall_now):
            cluster.changed_jobs.add(job_id)
        if job.opened_occurrences == job.spec.occurrences:
            cluster.jobs_with_future_occurrences.discard(job_id)


def refresh_queue(cluster: Cluster, now: float, wall_now: float) -> None:
    """Make the units of all touched jobs anew."""
    queue, touched = cluster.queue, cluster.changed_jobs
    if queue.catalog_version != cluster.catalog.version:
        queue.catalog_version = cluster.catalog.version
        touched.update(cluster.jobs)
    while queue.expiries and queue.expiries[0][0] < wall_now:
        touched.add(heappop(queue.expiries)[1])
    if not touched:
        return
    stale = {key for job_id in touched for key in queue.keys.pop(job_id, ())}
    if stale:
        queue.units = [unit for unit in queue.units if unit.key not in stale]
    for job_id in touched:
        job = cluster.jobs.get(job_id)
        if job is None or job.state in ENDED_STATES:
            continue
        for step in job.steps.values():
            if step.occurrence not in job.finished_occurrences:
                _queue_step(cluster, job, step, now, wall_now)
    queue.units.sort(key=lambda unit: unit.order)
    touched.clear()


def _queue_step(
    cluster: Cluster, job: Job, step: StepRun, now: float, wall_now: float
) -> None:
    unit = make_unit(cluster, job, step, now, wall_now)
    if unit is None:
        return
    queue = cluster.queue
    queue.units.append(unit)
    queue.keys.setdefault(job.spec.id, set()).add(unit.key)
    if wall_now <= unit.worthless_at and not unit.spec.is_long_running:
        heappush(queue.expiries, (unit.worthless_at, job.spec.id))


def make_unit(
    cluster: Cluster, job: Job, step: StepRun, now: float, wall_now: float
) -> Unit | None:
    """Return the tasks of a step that may start now, or None."""
    waiting = [task for task in step.tasks if task.phase is Phase.WAITING]
    if not waiting or not is_step_open(job, step):
        return None
    # Places of an earlier run may still be taken; a gang starts only as a whole.
    if step.spec.is_gang and any(
        task.phase is not Phase.WAITING or task.worker for task in step.tasks
    ):
        return None
    if not step.waiting_since:
        step.waiting_since = now
    objective, last = find_objective(job, step.occurrence)
    is_worthless = wall_now > last and not step.spec.is_long_running
    queue = cluster.catalog.queue_by_name.get(job.spec.queue)
    service = queue.service if queue else job.spec.service
    priority = find_priority(cluster, job)
    key: StepKey = (job.spec.id, step.occurrence, step.step)
    ids = tuple(task.id for task in waiting)
    return Unit(
        key,
        step.spec,
        ids,
        service,
        priority,
        job.spec.organisation,
        step.waiting_since,
        last,
        (priority, is_worthless, objective, job.sequence, *key[1:]),
        make_shape(step.spec, service, priority, len(ids)),
    )


def make_shape(
    spec: StepSpec, service: str, priority: int, count: int
) -> PlacementShape | None:
    """Return what the fit of a unit depends on, if this is the unit alone."""
    if spec.max_per_worker:
        return None
    needs = find_needs(spec)
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
