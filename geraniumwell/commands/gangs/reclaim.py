"""What can be reclaimed within the reclaim bound, and which claims are in force."""

from collections.abc import Iterable

from geraniumwell.commands.gangs.occupancy import Occupancy
from geraniumwell.const import RECLAIM_BOUND_SECONDS
from geraniumwell.model.gang_view import GangView
from geraniumwell.model.guarantee import Guarantee
from geraniumwell.model.job import (
    Checkpointable,
    Job,
    JobState,
    SameDataCentre,
    SameRack,
    SameWorker,
    Shape,
    Stoppable,
    Uninterruptible,
)
from geraniumwell.model.worker import Worker

NO_JOBS: frozenset[str] = frozenset()


def is_reclaimable(job: Job) -> bool:
    """Return whether a running job can be off its workers within the bound.

    A job that claims a guarantee is never reclaimed for another one.
    """
    return not job.guaranteed and reclaim_seconds(job) <= RECLAIM_BOUND_SECONDS


def reclaim_seconds(job: Job) -> float:
    """Return how long it takes to checkpoint or stop a job."""
    match job.interruption:
        case Stoppable(stop_seconds=seconds):
            return seconds
        case Checkpointable(checkpoint_seconds=seconds):
            return seconds
        case Uninterruptible():
            return float("inf")


def usable_workers(view: GangView, now: float) -> dict[str, Worker]:
    """Return the workers of the data centre that may get work now, by rack and name."""
    stopped = {
        s.target for s in view.cfg.stops.values() if s.starts_at <= now < s.ends_at
    }
    excluded = stopped | view.cfg.drained | view.unreachable
    excluded |= view.health.quarantined.keys()
    found = [
        worker
        for name, worker in view.cfg.workers.items()
        if worker.data_centre == view.data_centre and name not in excluded
    ]
    found.sort(key=lambda w: (w.rack, w.name))
    return {worker.name: worker for worker in found}


def build_reclaimable(
    view: GangView, workers: dict[str, Worker], ended: frozenset[str] = NO_JOBS
) -> Occupancy:
    """Return what is free on workers after all reclaimable work is stopped.

    Jobs in ``ended`` count as gone.
    """
    occ = Occupancy(workers)
    held: dict[str, bool] = {}
    for name in workers:
        use = view.leases.usage_of(name)
        if use is None:
            continue
        for report in view.leases.of_worker(name):
            job_id = report.lease.job_id
            if job_id not in held:
                held[job_id] = job_id not in ended and keeps_place(view, job_id)
            if held[job_id]:
                occ.take_lease(report.lease)
    return occ


def keeps_place(view: GangView, job_id: str) -> bool:
    """Return whether the leases of a job count as taken for guarantees."""
    record = view.jobs.get(job_id)
    if record is None:
        return True
    if record.state is JobState.STOPPING:
        return reclaim_seconds(record.job) > RECLAIM_BOUND_SECONDS
    return not is_reclaimable(record.job)


def find_guarantee(job: Job, guarantees: Iterable[Guarantee]) -> Guarantee | None:
    """Return the guarantee that a job claims a copy of: the smallest that covers it."""
    covering = [
        g
        for g in guarantees
        if g.organisation == job.organisation
        and g.data_centre == job.data_centre
        and covers(g.shape, job.shape)
    ]
    return min(
        covering,
        key=lambda g: (g.shape.members * g.shape.accelerators, g.shape.cores, g.name),
        default=None,
    )


def covers(outer: Shape, inner: Shape) -> bool:
    """Return whether the place of one shape always holds another shape."""
    return (
        outer.members >= inner.members
        and outer.accelerators >= inner.accelerators
        and outer.cores >= inner.cores
        and outer.memory_gb >= inner.memory_gb
        and spread_rank(outer) <= spread_rank(inner)
    )


def spread_rank(shape: Shape) -> int:
    """Return 0 for the closest spread and more for wider ones."""
    match shape.spread:
        case SameWorker():
            return 0
        case SameRack():
            return 1
        case SameDataCentre():
            return 2


def count_claims(
    view: GangView, guarantees: list[Guarantee], ended: frozenset[str] = NO_JOBS
) -> dict[str, int]:
    """Return how many copies of each guarantee jobs with leases use.

    Claims take the smallest guarantee with a copy left, the largest claims first, so
    one organisation's guarantees of like shapes are not counted for each other.
    """
    claims: list[Job] = []
    for job_id in view.leases.job_ids():
        record = view.jobs.get(job_id)
        if record is None or not record.job.guaranteed or job_id in ended:
            continue
        if record.state is not JobState.STOPPING:
            claims.append(record.job)
    claims.sort(key=lambda j: (-j.shape.members * j.shape.accelerators, j.job_id))
    counts: dict[str, int] = {}
    for job in claims:
        left = [g for g in guarantees if counts.get(g.name, 0) < g.count]
        guarantee = find_guarantee(job, left) or find_guarantee(job, guarantees)
        if guarantee is not None:
            counts[guarantee.name] = counts.get(guarantee.name, 0) + 1
    return counts
