"""Resources that can be reclaimed in time, and guarantee claims that are in use."""

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
    """Return whether a running job can be stopped within the reclaim bound.

    A guarantee claim is never stopped for another one.
    """
    return not job.guaranteed and reclaim_seconds(job) <= RECLAIM_BOUND_SECONDS


def reclaim_seconds(job: Job) -> float:
    """Return how long it takes to stop a job, including its checkpoint."""
    match job.interruption:
        case Stoppable(stop_seconds=seconds):
            return seconds
        case Checkpointable(checkpoint_seconds=seconds):
            return seconds
        case Uninterruptible():
            return float("inf")


def usable_workers(view: GangView, now: float) -> dict[str, Worker]:
    """Return the workers that may get jobs now, sorted by rack and name.

    Excluded are drained, unreachable and quarantined workers, workers in a planned stop
    and those of other data centres.
    """
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
    """Return the resources that are free after all reclaimable jobs have stopped.

    The leases of jobs in ``ended`` also count as free.
    """
    occ = Occupancy(workers)
    is_blocking: dict[str, bool] = {}
    for name in workers:
        usage = view.leases.usage_of(name)
        if usage is None:
            continue
        for report in view.leases.list_by_worker(name):
            job_id = report.lease.job_id
            if job_id not in is_blocking:
                is_blocking[job_id] = job_id not in ended and blocks_guarantees(
                    view, job_id
                )
            if is_blocking[job_id]:
                occ.allocate_lease(report.lease)
    return occ


def blocks_guarantees(view: GangView, job_id: str) -> bool:
    """Return whether guarantees can't use the resources of a job in time."""
    record = view.jobs.get(job_id)
    if record is None:
        return True
    if record.state is JobState.STOPPING:
        return reclaim_seconds(record.job) > RECLAIM_BOUND_SECONDS
    return not is_reclaimable(record.job)


def find_guarantee(job: Job, guarantees: Iterable[Guarantee]) -> Guarantee | None:
    """Return the smallest guarantee that covers a job's claim."""
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
    """Return whether any slots of the outer shape can hold the inner shape."""
    return (
        outer.members >= inner.members
        and outer.accelerators >= inner.accelerators
        and outer.cores >= inner.cores
        and outer.memory_gb >= inner.memory_gb
        and spread_rank(outer) <= spread_rank(inner)
    )


def spread_rank(shape: Shape) -> int:
    """Return 0 for the closest spread and larger numbers for wider ones."""
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
    """Return how many copies of each guarantee are used by jobs with leases.

    The largest claims are counted first, each against the smallest guarantee that has a
    copy left, so that claims on equal guarantees of one organisation are not all
    counted against one of them.
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
        unclaimed = [g for g in guarantees if counts.get(g.name, 0) < g.count]
        guarantee = find_guarantee(job, unclaimed) or find_guarantee(job, guarantees)
        if guarantee is not None:
            counts[guarantee.name] = counts.get(guarantee.name, 0) + 1
    return counts
