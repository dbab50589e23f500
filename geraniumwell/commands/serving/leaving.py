"""Leaving endpoints: which endpoints are leaving, since when, and their invariant."""

from geraniumwell.const import LEAVING_GRACE_SECONDS
from geraniumwell.model.serving import EndpointState, ServingState
from geraniumwell.util.invariants import check_invariant


def update_leaving(state: ServingState, ep: EndpointState, now: float) -> None:
    """Update since when an endpoint is leaving, from all sources that report it."""
    name = ep.endpoint.name
    is_leaving = (
        ep.has_reported_leaving
        or name in state.listed_leaving
        or name in state.cfg.drained
    )
    if not is_leaving:
        if ep.leaving_since is not None:
            ep.slow_start_at = now
        ep.leaving_since = None
    elif ep.leaving_since is None:
        ep.leaving_since = now


def update_all_leaving(state: ServingState, now: float) -> None:
    """Update since when each endpoint is leaving."""
    for svc in state.services.values():
        for ep in svc.endpoints.values():
            update_leaving(state, ep, now)


def check_not_leaving(ep: EndpointState, now: float) -> None:
    """Check the invariant that an endpoint gets no new work while it is leaving."""
    since = ep.leaving_since
    check_invariant(
        "no new work after leaving",
        since is None or now - since <= LEAVING_GRACE_SECONDS,
        lambda: f"{ep.endpoint.name} has been leaving since {since}, the time is {now}",
    )
