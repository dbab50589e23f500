"""Counters of gang jobs; label values come from bounded sets only."""

from typing import Final

from prometheus_client import Counter, Gauge

from geraniumwell.model.gang_run import (
    AllFinished,
    GangOutcome,
    MemberFailed,
    MemberLost,
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
    MemberFailed: "member_failed",
    MemberLost: "member_lost",
    StoppedOnRequest: "stopped",
}


def count_job_refusal(code: str) -> None:
    """Count a refusal that an operator was told."""
    REFUSALS.labels(code).inc()


def count_job_restart(outcome: GangOutcome) -> None:
    """Count an attempt whose job waits for another one."""
    RESTARTS.labels(REASON_BY_OUTCOME[type(outcome)]).inc()


def set_guarantees_at_risk(count: int) -> None:
    """Set how many workers can't be lost without breaking a guarantee."""
    AT_RISK.set(count)
