"""Slots of endpoints: how many are free, and how many are kept for short work."""

from math import ceil

from geraniumwell.commands.serving.learning import overdue_at
from geraniumwell.model.serving import (
    EndpointState,
    InFlightAttempt,
    ServiceState,
    ServingState,
)
from geraniumwell.model.serving_policy import (
    ExcludeAndProbe,
)


def slots_taken(ep: EndpointState, now: float) -> int:
    """Return the slots in use, with those that lost attempts may still hold."""
    if ep.held_until:
        ep.held_until = [until for until in ep.held_until if until > now]
    return len(ep.flights) + len(ep.held_until)


def hold_slot(
    svc: ServiceState, ep: EndpointState, flight: InFlightAttempt, now: float
) -> None:
    """Keep the slot of a lost attempt while the endpoint most likely runs it.

    Until the attempt's time limit would be certain, but would keep a restarted
    endpoint out of use for minutes when long work was lost.
    """
    until = min(flight.ends_by, overdue_at(svc, flight))
    if until > now:
        ep.held_until.append(until)


def slots_allowed(state: ServingState, ep: EndpointState, now: float) -> int:
    """Return this daemon's share of the slots, less during a slow start."""
    match state.policy.health:
        case ExcludeAndProbe(slow_start_seconds=seconds) if seconds > 0:
            part = (now - ep.ramp_from) / seconds
            if part < 1:
                return min(ep.share, max(1, ceil(ep.share * part)))
    return ep.share


def has_free_slot(state: ServingState, ep: EndpointState, now: float) -> bool:
    """Return whether one more attempt may be sent to the endpoint."""
    if len(ep.flights) >= ep.share:
        return False
    return slots_taken(ep, now) < slots_allowed(state, ep, now)


def is_usable(ep: EndpointState) -> bool:
    """Return whether the endpoint takes ordinary new work."""
    return ep.leaving_since is None and not ep.is_excluded


def has_any_free(state: ServingState, svc: ServiceState, now: float) -> bool:
    """Return whether any usable endpoint of a service has a free slot."""
    for ep in svc.endpoints.values():
        # The commonest reason comes first: this runs for every event.
        if len(ep.flights) >= ep.share or not is_usable(ep):
            continue
        if has_free_slot(state, ep, now):
            return True
    return False


def usable_slots(svc: ServiceState) -> int:
    """Return this daemon's slots on all usable endpoints of a service."""
    return sum(ep.share for ep in svc.endpoints.values() if is_usable(ep))


def free_slots(state: ServingState, svc: ServiceState, now: float) -> int:
    """Return this daemon's free slots on all usable endpoints of a service."""
    return sum(
        max(0, slots_allowed(state, ep, now) - slots_taken(ep, now))
        for ep in svc.endpoints.values()
        if is_usable(ep)
    )
