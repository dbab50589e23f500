"""Figures of one run, and their spread over seeds."""

from dataclasses import dataclass
from statistics import fmean, median

from bench.gangs.simulation import RunResult
from geraniumwell.const import CLAIM_BOUND_SECONDS


@dataclass(slots=True, frozen=True)
class Figures:
    """Figures of one run; times are in seconds unless the name says otherwise.

    Parameters
    ----------
    mean, p99 : float
        Time from submission to completion of jobs with accelerators.
    run_mean : float
        Mean true run time of these jobs.
    slowdown : float
        Mean ratio of completion time to true run time.
    fragmentation : float
        Share of the time in which the first waiting job fitted by the number of
        free accelerators, but not by their places.
    used_share, bound_share : float
        Shares of the accelerators that were used, and that the trace could use.
    late_claims, late_urgent : int
        Guarantee claims and urgent jobs that waited for more than
        ``CLAIM_BOUND_SECONDS``.
    late_urgent_by_quota : int
        Late urgent jobs that waited for the quota of their organisation.
    lost_share : float
        Share of the used accelerator time whose progress was lost.
    stops : int
        Gangs stopped by a plan.
    unfinished, refused : int
        Accepted jobs that did not finish, and jobs refused at admission.
    """

    mean: float
    run_mean: float
    p99: float
    slowdown: float
    fragmentation: float
    used_share: float
    bound_share: float
    claims: int
    late_claims: int
    claim_wait_max: float
    urgent: int
    late_urgent: int
    late_urgent_by_quota: int
    lost_share: float
    stops: int
    unfinished: int
    refused: int
    peak_tasks: int
    decision_p99_ms: float
    decision_max_ms: float


@dataclass(slots=True, frozen=True)
class Spread:
    """Median, least and greatest value over the seeds."""

    low: float
    mid: float
    high: float


def percentile(values: list[float], quantile: float) -> float:
    """Return a quantile of the values, or 0 if there are none."""
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(quantile * len(ordered)))]


def make_figures(run: RunResult) -> Figures:
    """Return the figures of a run."""
    completion_times = list(run.completions.values())
    limit = CLAIM_BOUND_SECONDS
    return Figures(
        mean=fmean(completion_times) if completion_times else 0.0,
        run_mean=fmean(run.run_times) if run.run_times else 0.0,
        p99=percentile(completion_times, 0.99),
        slowdown=fmean(run.slowdowns) if run.slowdowns else 0.0,
        fragmentation=run.fragmented_seconds / max(1.0, run.total_seconds),
        used_share=run.used_share,
        bound_share=run.bound_share,
        claims=len(run.claim_waits),
        late_claims=sum(wait > limit for wait in run.claim_waits),
        claim_wait_max=max(run.claim_waits, default=0.0),
        urgent=len(run.urgent_waits),
        late_urgent=sum(wait > limit for wait in run.urgent_waits),
        late_urgent_by_quota=run.late_urgent_by_quota,
        lost_share=run.lost_share,
        stops=run.stops,
        unfinished=run.unfinished,
        refused=run.refused,
        peak_tasks=run.peak_tasks,
        decision_p99_ms=percentile(run.decision_seconds, 0.99) * 1000.0,
        decision_max_ms=max(run.decision_seconds, default=0.0) * 1000.0,
    )


def make_spread(values: list[float]) -> Spread:
    """Return the spread of a figure over seeds."""
    return Spread(min(values), median(values), max(values))
