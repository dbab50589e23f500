"""Selection of the endpoint for the next attempt."""

from geraniumwell.commands.serving.slots import (
    count_used_slots,
    has_free_slot,
    is_usable,
)
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
    """Return the endpoint for a request, or None if no slot is free.

    Endpoints that failed this request are used only if no other is free. Ties are
    broken at random, so that daemons don't all choose the same idle endpoint.
    """
    free = [
        ep
        for ep in svc.endpoints.values()
        if is_usable(ep) and has_free_slot(state, ep, now)
    ]
    if pending.failed_targets:
        free = [
            ep for ep in free if ep.endpoint.name not in pending.failed_targets
        ] or free
    if not free:
        return None
    match state.policy.selection:
        case RandomChoice():
            return state.rng.choice(free)
        case LeastInFlight():
            loads = [count_used_slots(ep, now) / max(ep.share, 1) for ep in free]
    least = min(loads)
    ties = [ep for ep, load in zip(free, loads, strict=True) if load == least]
    return ties[0] if len(ties) == 1 else state.rng.choice(ties)
