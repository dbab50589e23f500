"""Slots of endpoints: how many are in use, allowed and free."""

from math import ceil

from geraniumwell.commands.serving.service_times import overdue_at
from geraniumwell.model.serving import (
    EndpointState,
    InFlightAttempt,
    ServiceState,
    ServingState,
)
from geraniumwell.model.serving_policy import (
    ExcludeAndProbe,
)


def count_used_slots(ep: EndpointState, now: float) -> int:
    """Return the slots in use, including those held for lost attempts."""
    if ep.held_until:
        ep.held_until = [until for until in ep.held_until if until > now]
    return len(ep.attempts) + len(ep.held_until)


def hold_lost_slot(
    svc: ServiceState, ep: EndpointState, attempt: InFlightAttempt, now: float
) -> None:
    """Hold the slot of a lost attempt while the endpoint probably still runs it.

    Holding it until the attempt's time limit would be safe, but would keep a restarted
    endpoint unused for minutes after it lost long work.
    """
    until = min(attempt.ends_by, overdue_at(svc, attempt))
    if until > now:
        ep.held_until.append(until)


def count_allowed_slots(state: ServingState, ep: EndpointState, now: float) -> int:
    """Return this daemon's share of the slots, reduced during a slow start."""
    match state.policy.health:
        case ExcludeAndProbe(slow_start_seconds=seconds) if seconds > 0:
            fraction = (now - ep.slow_start_at) / seconds
            if fraction < 1:
                return min(ep.share, max(1, ceil(ep.share * fraction)))
    return ep.share


def has_free_slot(state: ServingState, ep: EndpointState, now: float) -> bool:
    """Return whether one more attempt may be sent to the endpoint."""
    if len(ep.attempts) >= ep.share:
        return False
    return count_used_slots(ep, now) < count_allowed_slots(state, ep, now)


def is_usable(ep: EndpointState) -> bool:
    """Return whether the endpoint accepts new work other than probes."""
    return ep.leaving_since is None and not ep.is_excluded


def has_any_free_slot(state: ServingState, svc: ServiceState, now: float) -> bool:
    """Return whether any usable endpoint of a service has a free slot."""
    for ep in svc.endpoints.values():
        # The most common case is checked first, because this runs on every event.
        if len(ep.attempts) >= ep.share or not is_usable(ep):
            continue
        if has_free_slot(state, ep, now):
            return True
    return False


def count_usable_slots(svc: ServiceState) -> int:
    """Return this daemon's slots on all usable endpoints of a service."""
    return sum(ep.share for ep in svc.endpoints.values() if is_usable(ep))


def count_free_slots(state: ServingState, svc: ServiceState, now: float) -> int:
    """Return this daemon's free slots on all usable endpoints of a service."""
    return sum(
        max(0, count_allowed_slots(state, ep, now) - count_used_slots(ep, now))
        for ep in svc.endpoints.values()
        if is_usable(ep)
    )
