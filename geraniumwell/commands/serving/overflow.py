"""Overflow of requests to daemons that are expected to start them sooner."""

from math import ceil

from geraniumwell.model.serving import PendingRequest, ServingState
from geraniumwell.model.serving_policy import NoOverflow, OverflowToPeers

# With less time left, the answer could not come back before the deadline.
FORWARD_SECONDS_MIN = 0.05


def choose_peer(
    state: ServingState,
    pending: PendingRequest,
    is_short: bool,
    wait_seconds: float,
    now: float,
) -> str | None:
    """Return the VM of the peer that should serve a request, or None.

    Only idempotent requests are forwarded: a ticket runs only at its issuer. A
    forwarded request is never forwarded again. Peers are compared in a random
    pair, and each load report is good for a part of the peer's free slots only,
    so that the daemons do not all fill the same idle peer.
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
    room = {
        vm: free
        for vm in state.peers
        if vm not in pending.avoid
        and (free := _room(state, vm, req.service, is_short)) > 0
    }
    if not room:
        return None
    pair = state.rng.sample(sorted(room), min(2, len(room)))
    chosen = max(pair, key=room.__getitem__)
    key = (chosen, req.service)
    state.peer_sent[key] = state.peer_sent.get(key, 0) + 1
    return chosen


def _room(state: ServingState, vm: str, service: str, is_short: bool) -> int:
    load = state.peers[vm].services.get(service)
    if load is None:
        return 0
    free = load.free_slots if is_short else load.free_long_slots
    part = ceil(free / max(len(state.peers), 1))
    return part - state.peer_sent.get((vm, service), 0)
