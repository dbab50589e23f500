"""Sending and closing of attempts, with the invariants that each must satisfy."""

from geraniumwell.commands.serving.leaving import check_not_leaving
from geraniumwell.commands.serving.retries import add_retry_tokens
from geraniumwell.commands.serving.service_times import get_service_time
from geraniumwell.commands.serving.slots import count_used_slots
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

# Probes with idempotent work time out early, because an unresponsive endpoint never
# answers; all but stragglers end within 8 times the typical time.
PROBE_TYPICAL_FACTOR = 8.0
PROBE_SECONDS_MIN = 0.25
# The response of the peer must arrive before the caller's deadline.
FORWARD_MARGIN_SECONDS = 0.01


def send_attempt(
    state: ServingState,
    svc: ServiceState,
    pending: PendingRequest,
    ep: EndpointState,
    now: float,
) -> SendAttempt:
    """Send a request that was removed from its queue to an endpoint."""
    req = pending.req
    seconds = req.deadline - now
    cls = state.cfg.classes.get(req.class_name)
    if ep.is_excluded and req.idempotent and cls is not None:
        typical = get_service_time(svc, cls).typical
        limit = max(PROBE_TYPICAL_FACTOR * typical, PROBE_SECONDS_MIN)
        seconds = min(seconds, limit)
    _check_send(state, pending, ep, now)
    attempt = _open_attempt(state, pending, ep.endpoint.name, now, now + seconds)
    attempt.is_probe = ep.is_excluded
    ep.attempts[attempt.attempt_id] = attempt
    key = (req.organisation, req.class_name)
    svc.in_use[key] = svc.in_use.get(key, 0) + 1
    return SendAttempt(attempt.attempt_id, req, ep.endpoint, seconds)


def forward_attempt(
    state: ServingState, pending: PendingRequest, vm: str, now: float
) -> ForwardAttempt:
    """Forward a request to a peer."""
    req = pending.req
    check_invariant(
        "a forwarded request is never forwarded again",
        not req.forwarded,
        lambda: f"request {req.request_id} was about to be forwarded to {vm}",
    )
    _check_at_most_once(pending)
    seconds = req.deadline - now - FORWARD_MARGIN_SECONDS
    attempt = _open_attempt(state, pending, vm, now, now + seconds)
    attempt.is_forward = True
    return ForwardAttempt(attempt.attempt_id, req, vm, seconds)


def close_attempt(
    state: ServingState, attempt: InFlightAttempt
) -> EndpointState | None:
    """Release the slot of an ended attempt; return its endpoint if it still exists."""
    del state.attempts[attempt.attempt_id]
    pending = attempt.pending
    pending.open_attempts -= 1
    if attempt.is_forward:
        return None
    svc = state.services[pending.req.service]
    svc.in_use[(pending.req.organisation, pending.req.class_name)] -= 1
    ep = svc.endpoints.get(attempt.target)
    if ep is None or ep.attempts.pop(attempt.attempt_id, None) is None:
        return None
    return ep


def _open_attempt(
    state: ServingState,
    pending: PendingRequest,
    target: str,
    now: float,
    ends_by: float,
) -> InFlightAttempt:
    state.sequence += 1
    attempt_id = f"{state.vm}-{state.sequence}-{state.rng.getrandbits(32):08x}"
    class_name = pending.req.class_name
    attempt = InFlightAttempt(attempt_id, pending, target, class_name, now, ends_by)
    state.attempts[attempt_id] = attempt
    pending.attempts += 1
    pending.open_attempts += 1
    if pending.attempts == 1:
        add_retry_tokens(state)
    return attempt


def _check_send(
    state: ServingState, pending: PendingRequest, ep: EndpointState, now: float
) -> None:
    check_invariant(
        "a slot is never oversubscribed",
        count_used_slots(ep, now) < ep.share,
        lambda: f"{ep.endpoint.name} has a share of {ep.share} slots, all in use",
    )
    check_invariant(
        "nothing is sent without a lease",
        now < state.lease_until,
        lambda: f"the lease ended at {state.lease_until}, the time is {now}",
    )
    check_invariant(
        "nothing expired is sent",
        now < pending.req.deadline,
        lambda: f"request {pending.req.request_id} has expired",
    )
    check_not_leaving(ep, now)
    _check_at_most_once(pending)


def _check_at_most_once(pending: PendingRequest) -> None:
    check_invariant(
        "non-idempotent work is sent once",
        pending.open_attempts == 0
        and (pending.req.idempotent or not pending.may_have_run),
        lambda: f"request {pending.req.request_id} may already be running or have run",
    )
    check_invariant(
        "an answered request is not sent",
        not pending.is_answered,
        lambda: f"request {pending.req.request_id} is already answered",
    )
