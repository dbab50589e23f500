"""Overflow of requests to peers that are expected to start them sooner."""

from math import ceil

from geraniumwell.model.serving import PendingRequest, ServingState
from geraniumwell.model.serving_policy import NoOverflow, OverflowToPeers

# With less time left, the peer's response would arrive after the deadline.
FORWARD_SECONDS_MIN = 0.05


def choose_peer(
    state: ServingState,
    pending: PendingRequest,
    is_short: bool,
    wait_seconds: float,
    now: float,
) -> str | None:
    """Return the VM of the peer that should serve a request, or None.

    Only idempotent requests are forwarded, because a ticket is valid only at its
    issuer. A forwarded request is never forwarded again. The better of two random
    peers is chosen, and each load report allows only a part of the peer's free slots,
    so that daemons don't all forward to the same idle peer.
    """
    req = pending.req
    if req.forwarded or not req.idempotent:
        return None
    if req.deadline - now < FORWARD_SECONDS_MIN:
        return None
    match state.policy.overflow:
        case NoOverflow():
            return None
        case OverflowToPeers(gain_seconds):
            if wait_seconds <= gain_seconds:
                return None
    free_by_peer = {
        vm: free
        for vm in state.peers
        if vm not in pending.failed_targets
        and (free := _count_free_slots(state, vm, req.service, is_short)) > 0
    }
    if not free_by_peer:
        return None
    candidates = state.rng.sample(sorted(free_by_peer), min(2, len(free_by_peer)))
    chosen = max(candidates, key=free_by_peer.__getitem__)
    key = (chosen, req.service)
    state.forwarded_counts[key] = state.forwarded_counts.get(key, 0) + 1
    return chosen


def _count_free_slots(
    state: ServingState, vm: str, service: str, is_short: bool
) -> int:
    load = state.peers[vm].services.get(service)
    if load is None:
        return 0
    free = load.free_slots if is_short else load.free_long_slots
    allowed = ceil(free / max(len(state.peers), 1))
    return allowed - state.forwarded_counts.get((vm, service), 0)
