"""Dispatch of queued requests to free slots, and expiry of requests."""

from heapq import heappop, heappush
from math import inf

from geraniumwell.commands.serving.answers import fail_request
from geraniumwell.commands.serving.health import exclude_unresponsive, is_probe_due
from geraniumwell.commands.serving.ordering import (
    choose_queue,
    enqueue,
    remove_from_queue,
)
from geraniumwell.commands.serving.overflow import choose_peer
from geraniumwell.commands.serving.reserve import find_long_work_capacity
from geraniumwell.commands.serving.selection import choose_endpoint
from geraniumwell.commands.serving.sending import forward_attempt, send_attempt
from geraniumwell.commands.serving.service_times import find_short_classes
from geraniumwell.commands.serving.slots import has_any_free_slot, has_free_slot
from geraniumwell.model.request import RefusalCode
from geraniumwell.model.serving import (
    EndpointState,
    PendingRequest,
    ServiceState,
    ServingEffect,
    ServingState,
)

# An attempt that times out reports its result slightly after its time limit.
RESULT_GRACE_SECONDS = 0.25


def queue_request(
    state: ServingState,
    svc: ServiceState,
    pending: PendingRequest,
    at_front: bool = False,
) -> None:
    """Queue a request and schedule its expiry."""
    enqueue(svc, pending, at_front)
    schedule_expiry(state, pending, pending.start_by)


def schedule_expiry(state: ServingState, pending: PendingRequest, due: float) -> None:
    """Schedule the next expiry check of a request."""
    state.sequence += 1
    heappush(state.expiries, (due, state.sequence, pending))


def expire(state: ServingState, now: float) -> list[ServingEffect]:
    """Answer the requests whose start window or deadline has passed."""
    effects: list[ServingEffect] = []
    while state.expiries and (
        state.expiries[0][0] <= now or state.expiries[0][2].is_answered
    ):
        pending = heappop(state.expiries)[2]
        if pending.is_answered:
            continue
        if pending.is_queued and pending.start_by <= now:
            remove_from_queue(state.services[pending.req.service], pending)
            effects.append(fail_request(state, pending, _find_expiry_code(state, now)))
        elif now >= pending.req.deadline + RESULT_GRACE_SECONDS:
            code = RefusalCode.DEADLINE_EXPIRED
            effects.append(fail_request(state, pending, code))
        else:
            due = pending.req.deadline + RESULT_GRACE_SECONDS
            schedule_expiry(
                state, pending, pending.start_by if pending.is_queued else due
            )
    return effects


def dispatch(state: ServingState, svc: ServiceState, now: float) -> list[ServingEffect]:
    """Send as many queued requests of a service as free slots allow."""
    if not any(svc.queues.values()):
        return []
    if now >= state.lease_until:
        return _forward_waiting(state, svc, now)
    exclude_unresponsive(state, svc, now)
    effects = _send_probes(state, svc, now)
    if not has_any_free_slot(state, svc, now):
        return effects
    capacity = find_long_work_capacity(state, svc, now)
    while has_any_free_slot(state, svc, now):
        key = choose_queue(state, svc, capacity, now)
        if key is None:
            break
        pending = svc.queues[key][0]
        ep = choose_endpoint(state, svc, pending, now)
        if ep is None:
            break
        if key[1] in capacity.short_classes:
            capacity.reserve_left -= 1
        else:
            capacity.slots_left -= 1
        effects.append(_dequeue_and_send(state, svc, pending, ep, now))
    return effects


def _dequeue_and_send(
    state: ServingState,
    svc: ServiceState,
    pending: PendingRequest,
    ep: EndpointState,
    now: float,
) -> ServingEffect:
    remove_from_queue(svc, pending)
    schedule_expiry(state, pending, pending.req.deadline + RESULT_GRACE_SECONDS)
    return send_attempt(state, svc, pending, ep, now)


def _send_probes(
    state: ServingState, svc: ServiceState, now: float
) -> list[ServingEffect]:
    """Send one request to each excluded endpoint whose probe is due."""
    effects: list[ServingEffect] = []
    for ep in svc.endpoints.values():
        if not ep.is_excluded or not has_free_slot(state, ep, now):
            continue
        heads = [queue[0] for queue in svc.queues.values() if queue]
        candidates = [p for p in heads if is_probe_due(ep, p.req.idempotent, now)]
        if candidates:
            pending = min(candidates, key=lambda p: _make_probe_key(svc, p))
            effects.append(_dequeue_and_send(state, svc, pending, ep, now))
    return effects


def _make_probe_key(svc: ServiceState, pending: PendingRequest) -> tuple[bool, float]:
    """Return the sort key of a probe; short requests show sooner if it succeeds."""
    req = pending.req
    return (not req.idempotent, svc.service_times[req.class_name].typical)


def _forward_waiting(
    state: ServingState, svc: ServiceState, now: float
) -> list[ServingEffect]:
    """Forward queued requests while this daemon has no lease to send them itself."""
    effects: list[ServingEffect] = []
    short_classes = find_short_classes(svc)
    for (_, name), queue in svc.queues.items():
        for pending in list(queue):
            vm = choose_peer(state, pending, name in short_classes, inf, now)
            if vm is None:
                continue
            remove_from_queue(svc, pending)
            schedule_expiry(state, pending, pending.req.deadline + RESULT_GRACE_SECONDS)
            effects.append(forward_attempt(state, pending, vm, now))
    return effects


def _find_expiry_code(state: ServingState, now: float) -> RefusalCode:
    if now >= state.lease_until:
        return RefusalCode.NO_LEASE
    return RefusalCode.DEADLINE_EXPIRED
