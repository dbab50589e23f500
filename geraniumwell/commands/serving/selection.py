"""Choice of the endpoint that runs the next attempt."""

from geraniumwell.commands.serving.slots import has_free_slot, is_usable, slots_taken
from geraniumwell.model.serving import (
    EndpointState,
    PendingRequest,
    ServiceState,
    ServingState,
)
from geraniumwell.model.serving_policy import LeastInFlight, RandomChoice


def choose_endpoint(
    state: ServingState, svc: ServiceState, pending: PendingRequest, now: float
) -> EndpointState | None:
    """Return the endpoint for a request, or None where no slot is free.

    Endpoints that failed this request are used only when no other is free. Ties
    are broken at random, so that daemons don't choose the same idle endpoint.
    """
    free = [
        ep
        for ep in svc.endpoints.values()
        if is_usable(ep) and has_free_slot(state, ep, now)
    ]
    if pending.avoid:
        free = [ep for ep in free if ep.endpoint.name not in pending.avoid] or free
    if not free:
        return None
    match state.policy.selection:
        case RandomChoice():
            return state.rng.choice(free)
        case LeastInFlight():
            loads = [slots_taken(ep, now) / max(ep.share, 1) for ep in free]
    least = min(loads)
    ties = [ep for ep, load in zip(free, loads, strict=True) if load == least]
    return ties[0] if len(ties) == 1 else state.rng.choice(ties)
