"""Groups of waiting tasks that are placed together, in order of urgency."""

from geraniumwell.commands.batch.lifecycle import is_step_open
from geraniumwell.model.batch.cluster import Cluster, Unit, UnitKey
from geraniumwell.model.batch.job import ENDED_STATES, Job, Phase, StepRun

# A result that comes later than this multiple of its objective is worth nothing.
WORTHLESS_FACTOR = 3.0


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
    return begin + objective, begin + WORTHLESS_FACTOR * objective


def collect_units(cluster: Cluster, now: float, wall_now: float) -> list[Unit]:
    """Return all groups of tasks that may start, the most urgent first."""
    units: list[Unit] = []
    for job in cluster.jobs.values():
        if job.state in ENDED_STATES:
            continue
        for step in job.steps.values():
            if step.occurrence in job.finished:
                continue
            unit = make_unit(cluster, job, step, now, wall_now)
            if unit is not None:
                units.append(unit)
    units.sort(key=lambda unit: unit.order)
    return units


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
    priority = queue.priority if queue else job.spec.priority
    return Unit(
        UnitKey(job.spec.id, step.occurrence, step.step, waiting[0].id.index),
        step.spec,
        tuple(task.id for task in waiting),
        queue.service if queue else job.spec.service,
        priority,
        job.spec.organisation,
        step.waiting_since,
        (float(priority), float(is_worthless), objective),
    )
