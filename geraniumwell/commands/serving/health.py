"""Endpoint health: exclusion of failing endpoints, probes and readmission."""

from statistics import median

from geraniumwell.commands.serving.service_times import is_overdue, overdue_seconds
from geraniumwell.model.serving import EndpointState, ServiceState, ServingState
from geraniumwell.model.serving_policy import ExcludeAndProbe

# An error response may be caused by the request, so it has less weight than a failure
# to reach the endpoint.
ERROR_WEIGHT = 0.25
UNREACHABLE_WEIGHT = 0.5
# With fewer overdue attempts, a few stragglers would make an endpoint look
# unresponsive.
UNRESPONSIVE_OVERDUE_MIN = 3
# A probe may be lost, so non-idempotent work is used as a probe only if no idempotent
# request has arrived for this time after the probe was due.
NON_IDEMPOTENT_PROBE_DELAY_SECONDS = 2.0


def record_success(ep: EndpointState, now: float) -> None:
    """Record a successful response; an excluded endpoint is readmitted.

    Responses to attempts that were sent before the exclusion count too, because an
    unresponsive or failing endpoint sends none.
    """
    ep.last_answer_at = now
    ep.failure_ratio -= ERROR_WEIGHT * ep.failure_ratio
    if ep.is_excluded:
        ep.failure_ratio = 0.0
        _readmit(ep, now)


def record_failure(
    state: ServingState,
    svc: ServiceState,
    ep: EndpointState,
    has_answered: bool,
    now: float,
) -> None:
    """Record a failed attempt; exclude the endpoint if it fails too often.

    Error responses exclude an endpoint only if it fails clearly more often than the
    others, because requests that fail everywhere must not exclude all endpoints. An
    endpoint that was excluded before the others began to fail is readmitted.
    """
    if has_answered:
        ep.last_answer_at = now
    weight = ERROR_WEIGHT if has_answered else UNREACHABLE_WEIGHT
    ep.failure_ratio += weight * (1 - ep.failure_ratio)
    match state.policy.health:
        case ExcludeAndProbe() as health:
            others = [e.failure_ratio for e in svc.endpoints.values() if e is not ep]
            typical_ratio = median(others) if others and has_answered else 0.0
            if ep.failure_ratio > max(health.failure_ratio, 2 * typical_ratio):
                _exclude(state, health, ep, now)
            elif ep.is_excluded:
                _readmit(ep, now)


def exclude_unresponsive(state: ServingState, svc: ServiceState, now: float) -> None:
    """Exclude endpoints with several overdue attempts and no response since."""
    match state.policy.health:
        case ExcludeAndProbe() as health:
            shortest_limit = min(
                overdue_seconds(svc, name) for name in svc.service_times
            )
            for ep in svc.endpoints.values():
                if ep.is_excluded or now - ep.last_answer_at <= shortest_limit:
                    continue
                if _is_unresponsive(svc, ep, now):
                    _exclude(state, health, ep, now)


def is_probe_due(ep: EndpointState, is_idempotent: bool, now: float) -> bool:
    """Return whether an excluded endpoint may get a request as its probe."""
    if not ep.is_excluded or ep.leaving_since is not None:
        return False
    if any(attempt.is_probe for attempt in ep.attempts.values()):
        return False
    return now >= ep.probe_at + (
        0.0 if is_idempotent else NON_IDEMPOTENT_PROBE_DELAY_SECONDS
    )


def _is_unresponsive(svc: ServiceState, ep: EndpointState, now: float) -> bool:
    if len(ep.attempts) < UNRESPONSIVE_OVERDUE_MIN:
        return False
    overdue = sum(
        1
        for attempt in ep.attempts.values()
        if attempt.sent_at >= ep.last_answer_at and is_overdue(svc, attempt, now)
    )
    return overdue >= UNRESPONSIVE_OVERDUE_MIN


def _readmit(ep: EndpointState, now: float) -> None:
    ep.is_excluded = False
    ep.probe_backoff = 0.0
    ep.slow_start_at = now


def _exclude(
    state: ServingState, health: ExcludeAndProbe, ep: EndpointState, now: float
) -> None:
    """Exclude an endpoint or keep it excluded, and schedule its next probe.

    The delay is randomised, so that daemons don't probe at the same time.
    """
    ep.is_excluded = True
    backoff = ep.probe_backoff * 2 or health.probe_seconds
    ep.probe_backoff = min(backoff, health.probe_seconds_max)
    ep.probe_at = now + ep.probe_backoff * state.rng.uniform(0.75, 1.25)
