"""Sending of attempts, with the checks that each of them must pass."""

from geraniumwell.commands.serving.learning import learned_time
from geraniumwell.commands.serving.leaving import check_not_leaving
from geraniumwell.commands.serving.retries import earn_retry
from geraniumwell.commands.serving.slots import slots_taken
from geraniumwell.model.serving import (
    EndpointState,
    ForwardAttempt,
    InFlightAttempt,
    PendingRequest,
    SendAttempt,
    ServiceState,
    ServingState,
)
from geraniumwell.util.invariants import check_invariant

# A probe of idempotent work is given up early, because a silent endpoint gives no
# answer at all; 8 typical times pass all but stragglers.
PROBE_TYPICAL_FACTOR = 8.0
PROBE_SECONDS_MIN = 0.25
# The peer's answer must arrive before the caller's deadline.
FORWARD_MARGIN_SECONDS = 0.01


def send_attempt(
    state: ServingState,
    svc: ServiceState,
    pending: PendingRequest,
    ep: EndpointState,
    now: float,
) -> SendAttempt:
    """Send a request that was taken from its queue to an endpoint."""
    req = pending.req
    seconds = req.deadline - now
    cls = state.cfg.classes.get(req.class_name)
    if ep.is_excluded and req.idempotent and cls is not None:
        typical = learned_time(svc, cls).typical
        limit = max(PROBE_TYPICAL_FACTOR * typical, PROBE_SECONDS_MIN)
        seconds = min(seconds, limit)
    _check_send(state, pending, ep, now)
    flight = _open_flight(state, pending, ep.endpoint.name, now, now + seconds)
    flight.is_probe = ep.is_excluded
    ep.flights[flight.attempt_id] = flight
    key = (req.organisation, req.class_name)
    svc.in_use[key] = svc.in_use.get(key, 0) + 1
    return SendAttempt(flight.attempt_id, req, ep.endpoint, seconds)


def forward_attempt(
    state: ServingState, pending: PendingRequest, vm: str, now: float
) -> ForwardAttempt:
    """Forward a request to a peer."""
    req = pending.req
    check_invariant(
        "a forwarded request is never forwarded again",
        not req.forwarded,
        lambda: f"request {req.request_id} to {vm}",
    )
    _check_at_most_once(pending)
    seconds = req.deadline - now - FORWARD_MARGIN_SECONDS
    flight = _open_flight(state, pending, vm, now, now + seconds)
    flight.is_forward = True
    return ForwardAttempt(flight.attempt_id, req, vm, seconds)


def close_flight(state: ServingState, flight: InFlightAttempt) -> EndpointState | None:
    """Release what an attempt in flight holds; return its endpoint, if any."""
    del state.flights[flight.attempt_id]
    pending = flight.pending
    pending.open_attempts -= 1
    if flight.is_forward:
        return None
    svc = state.services[pending.req.service]
    svc.in_use[(pending.req.organisation, pending.req.class_name)] -= 1
    ep = svc.endpoints.get(flight.target)
    if ep is None or ep.flights.pop(flight.attempt_id, None) is None:
        return None
    return ep


def _open_flight(
    state: ServingState,
    pending: PendingRequest,
    target: str,
    now: float,
    ends_by: float,
) -> InFlightAttempt:
    state.sequence += 1
    attempt_id = f"{state.vm}-{state.sequence}-{state.rng.getrandbits(32):08x}"
    class_name = pending.req.class_name
    flight = InFlightAttempt(attempt_id, pending, target, class_name, now, ends_by)
    state.flights[attempt_id] = flight
    pending.attempts += 1
    pending.open_attempts += 1
    if pending.attempts == 1:
        earn_retry(state)
    return flight


def _check_send(
    state: ServingState, pending: PendingRequest, ep: EndpointState, now: float
) -> None:
    check_invariant(
        "a slot is never oversubscribed",
        slots_taken(ep, now) < ep.share,
        lambda: f"{ep.endpoint.name} has {ep.share} slots, all taken",
    )
    check_invariant(
        "nothing is sent without a lease",
        now < state.lease_until,
        lambda: f"the lease ended at {state.lease_until}, now {now}",
    )
    check_invariant(
        "nothing expired is sent",
        now < pending.req.deadline,
        lambda: f"request {pending.req.request_id} expired",
    )
    check_not_leaving(ep, now)
    _check_at_most_once(pending)


def _check_at_most_once(pending: PendingRequest) -> None:
    check_invariant(
        "non-idempotent work is sent once",
        pending.open_attempts == 0
        and (pending.req.idempotent or not pending.may_have_run),
        lambda: f"request {pending.req.request_id} may run already",
    )
    check_invariant(
        "an answered request is not sent",
        not pending.is_answered,
        lambda: f"request {pending.req.request_id} has its answer",
    )
