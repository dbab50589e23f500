"""Metrics of gang jobs.

Label values come from bounded sets only, so the number of series is bounded too.
"""

from typing import Final

from prometheus_client import Counter, Gauge

from geraniumwell.model.gang_run import (
    AllFinished,
    GangMemberFailed,
    GangMemberLost,
    GangOutcome,
    StoppedOnRequest,
)

AT_RISK = Gauge(
    "geraniumwell_guarantees_at_risk",
    "Workers whose loss alone would break a guarantee, as the decider sees it.",
)
REFUSALS = Counter(
    "geraniumwell_job_refusals",
    "Refused submissions and cancellations of jobs, by code.",
    ("code",),
)
RESTARTS = Counter(
    "geraniumwell_job_restarts",
    "Attempts of gang jobs that ended and are repeated, by reason.",
    ("reason",),
)
REASON_BY_OUTCOME: Final = {
    AllFinished: "finished",
    GangMemberFailed: "member_failed",
    GangMemberLost: "member_lost",
    StoppedOnRequest: "stopped",
}


def count_job_refusal(code: str) -> None:
    """Count a refused submission or cancellation."""
    REFUSALS.labels(code).inc()


def count_job_restart(outcome: GangOutcome) -> None:
    """Count an attempt that ended before its job finished and will be repeated."""
    RESTARTS.labels(REASON_BY_OUTCOME[type(outcome)]).inc()


def set_guarantees_at_risk(count: int) -> None:
    """Set the number of workers whose loss alone would break a guarantee."""
    AT_RISK.set(count)
