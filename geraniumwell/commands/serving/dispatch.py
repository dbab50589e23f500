"""Dispatch of waiting requests to free slots, and expiry of those that wait."""

from heapq import heappop, heappush
from math import inf

from geraniumwell.commands.serving.answers import give_failure
from geraniumwell.commands.serving.health import exclude_silent, is_probe_due
from geraniumwell.commands.serving.learning import short_classes
from geraniumwell.commands.serving.ordering import choose_queue, enqueue, remove
from geraniumwell.commands.serving.overflow import choose_peer
from geraniumwell.commands.serving.reserve import long_room
from geraniumwell.commands.serving.selection import choose_endpoint
from geraniumwell.commands.serving.sending import forward_attempt, send_attempt
from geraniumwell.commands.serving.slots import has_any_free, has_free_slot
from geraniumwell.model.request import RefusalCode
from geraniumwell.model.serving import (
    EndpointState,
    PendingRequest,
    ServiceState,
    ServingEffect,
    ServingState,
)

# The result of an attempt arrives a little after its time limit.
RESULT_GRACE_SECONDS = 0.25


def queue_request(
    state: ServingState,
    svc: ServiceState,
    pending: PendingRequest,
    is_first: bool = False,
) -> None:
    """Queue a request and set when it expires."""
    enqueue(svc, pending, is_first)
    set_due(state, pending, pending.start_by)


def set_due(state: ServingState, pending: PendingRequest, due: float) -> None:
    """Set when a request is looked at again."""
    state.sequence += 1
    heappush(state.due, (due, state.sequence, pending))


def expire(state: ServingState, now: float) -> list[ServingEffect]:
    """Answer the requests whose time to start or to be answered has passed."""
    effects: list[ServingEffect] = []
    while state.due and (state.due[0][0] <= now or state.due[0][2].is_answered):
        pending = heappop(state.due)[2]
        if pending.is_answered:
            continue
        if pending.is_waiting and pending.start_by <= now:
            remove(state.services[pending.req.service], pending)
            effects.append(give_failure(state, pending, _expiry_code(state, now)))
        elif now >= pending.req.deadline + RESULT_GRACE_SECONDS:
            code = RefusalCode.DEADLINE_EXPIRED
            effects.append(give_failure(state, pending, code))
        else:
            due = pending.req.deadline + RESULT_GRACE_SECONDS
            set_due(state, pending, pending.start_by if pending.is_waiting else due)
    return effects


def dispatch(state: ServingState, svc: ServiceState, now: float) -> list[ServingEffect]:
    """Send as many waiting requests of a service as the slots allow."""
    if not any(svc.queues.values()):
        return []
    if now >= state.lease_until:
        return _forward_waiting(state, svc, now)
    exclude_silent(state, svc, now)
    effects = _send_probes(state, svc, now)
    if not has_any_free(state, svc, now):
        return effects
    room = long_room(state, svc, now)
    while has_any_free(state, svc, now):
        key = choose_queue(state, svc, room, now)
        if key is None:
            break
        pending = svc.queues[key][0]
        ep = choose_endpoint(state, svc, pending, now)
        if ep is None:
            break
        if key[1] in room.short:
            room.short_left -= 1
        else:
            room.left -= 1
        effects.append(_take_and_send(state, svc, pending, ep, now))
    return effects


def _take_and_send(
    state: ServingState,
    svc: ServiceState,
    pending: PendingRequest,
    ep: EndpointState,
    now: float,
) -> ServingEffect:
    remove(svc, pending)
    set_due(state, pending, pending.req.deadline + RESULT_GRACE_SECONDS)
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
        fit = [p for p in heads if is_probe_due(ep, p.req.idempotent, now)]
        if fit:
            pending = min(fit, key=lambda p: _probe_rank(svc, p))
            effects.append(_take_and_send(state, svc, pending, ep, now))
    return effects


def _probe_rank(svc: ServiceState, pending: PendingRequest) -> tuple[bool, float]:
    """Return the sort key of a probe: the shorter, the sooner it tells something."""
    req = pending.req
    return (not req.idempotent, svc.learned[req.class_name].typical)


def _forward_waiting(
    state: ServingState, svc: ServiceState, now: float
) -> list[ServingEffect]:
    """Forward what waits while this daemon may send nothing itself."""
    effects: list[ServingEffect] = []
    short = short_classes(svc)
    for (_, name), queue in svc.queues.items():
        for pending in list(queue):
            vm = choose_peer(state, pending, name in short, inf, now)
            if vm is None:
                continue
            remove(svc, pending)
            set_due(state, pending, pending.req.deadline + RESULT_GRACE_SECONDS)
            effects.append(forward_attempt(state, pending, vm, now))
    return effects


def _expiry_code(state: ServingState, now: float) -> RefusalCode:
    if now >= state.lease_until:
        return RefusalCode.NO_LEASE
    return RefusalCode.DEADLINE_EXPIRED
