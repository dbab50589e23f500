"""Planned stops of workers: which jobs may start before them and which must stop."""

from geraniumwell.commands.gangs.estimates import remaining_seconds
from geraniumwell.commands.gangs.reclaim import reclaim_seconds
from geraniumwell.model.config import PlannedStop
from geraniumwell.model.gang_view import GangView, StopGang
from geraniumwell.model.job import (
    Checkpointable,
    JobRecord,
    JobState,
    Stoppable,
    Uninterruptible,
)

# Time for the messages of a stop, in addition to the time that the job itself needs.
STOP_MARGIN_SECONDS = 5.0
# A job that ran for less before it has to stop would mostly save and restore state.
MIN_USEFUL_SECONDS = 60.0
# Declared run times are inaccurate, so a job that can't be stopped is given this many
# times its remaining time.
OVERRUN_ALLOWANCE = 2.0


def list_stops(view: GangView, now: float) -> list[PlannedStop]:
    """Return the planned stops in the data centre that are not over yet."""
    return [
        stop
        for stop in view.cfg.stops.values()
        if stop.ends_at > now
        and stop.target in view.cfg.workers
        and view.cfg.workers[stop.target].data_centre == view.data_centre
    ]


def min_seconds_before_stop(record: JobRecord) -> float:
    """Return how long before a planned stop a job must start at the latest."""
    job = record.job
    match job.interruption:
        case Checkpointable(checkpoint_seconds=seconds):
            return seconds + STOP_MARGIN_SECONDS + MIN_USEFUL_SECONDS
        case Stoppable():
            return remaining_seconds(record) + STOP_MARGIN_SECONDS
        case Uninterruptible():
            return OVERRUN_ALLOWANCE * remaining_seconds(record) + STOP_MARGIN_SECONDS


def find_workers_stopping_soon(
    record: JobRecord, stops: list[PlannedStop], now: float
) -> frozenset[str]:
    """Return the workers with a planned stop too soon for a job to start there."""
    if not stops:
        return frozenset()
    ready = now + min_seconds_before_stop(record)
    return frozenset(s.target for s in stops if s.starts_at <= ready)


def stop_before_planned_stops(
    view: GangView, stops: list[PlannedStop], now: float
) -> dict[str, StopGang]:
    """Return the effects that stop gangs in time before planned stops, by job."""
    effects: dict[str, StopGang] = {}
    for stop in stops:
        for report in view.leases.list_by_worker(stop.target):
            record = view.jobs.get(report.lease.job_id)
            if record is None or record.state is JobState.STOPPING:
                continue
            job = record.job
            if now < stop.starts_at - reclaim_seconds(job) - STOP_MARGIN_SECONDS:
                continue
            if isinstance(job.interruption, Uninterruptible):
                continue
            reason = f"worker {stop.target} stops as planned at {stop.starts_at:.0f}"
            by_checkpoint = isinstance(job.interruption, Checkpointable)
            effects[job.job_id] = StopGang(job.job_id, reason, by_checkpoint)
    return effects
