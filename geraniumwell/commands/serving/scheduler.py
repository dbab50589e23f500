"""Decisions of request serving: what to send where, and what to answer.

Each function changes the given state and returns the effects to carry out, in
order. None reads a clock or does I/O; random choices come from ``state.rng``.
"""

from collections.abc import Iterable, Mapping
from math import inf

from geraniumwell.commands.serving.admission import is_admitted, predict_wait
from geraniumwell.commands.serving.answers import give_failure, refuse_unopened
from geraniumwell.commands.serving.dispatch import (
    dispatch,
    expire,
    queue_request,
    set_due,
)
from geraniumwell.commands.serving.health import PROBE_ANY_SECONDS
from geraniumwell.commands.serving.learning import learned_time, short_classes
from geraniumwell.commands.serving.leaving import update_all_leaving
from geraniumwell.commands.serving.overflow import choose_peer
from geraniumwell.commands.serving.reserve import long_room, note_short_demand
from geraniumwell.commands.serving.results import take_result
from geraniumwell.commands.serving.sending import forward_attempt
from geraniumwell.commands.serving.slots import free_slots
from geraniumwell.model.config import Configuration, RequestClass
from geraniumwell.model.request import RefusalCode, Request
from geraniumwell.model.serving import (
    AttemptResult,
    EndpointState,
    InFlightAttempt,
    PeerLoad,
    PendingRequest,
    ServiceLoad,
    ServiceState,
    ServingEffect,
    ServingState,
)
from geraniumwell.model.serving_policy import ExcludeAndProbe


def submit(state: ServingState, req: Request, now: float) -> list[ServingEffect]:
    """Accept or refuse a request; every request gets exactly one GiveAnswer."""
    code = _find_refusal(state, req, now)
    if code is not None:
        return [refuse_unopened(req, code)]
    svc = state.services[req.service]
    cls = state.cfg.classes[req.class_name]
    learned_time(svc, cls)
    start_by = min(req.deadline, now + cls.window_ms / 1000)
    pending = PendingRequest(req, now, start_by)
    state.open_requests[(req.organisation, req.request_id)] = pending
    wait = predict_wait(state, svc, req.organisation, cls, now)
    if now >= state.lease_until:
        wait = inf
    short = short_classes(svc)
    note_short_demand(state, svc, short, now)
    vm = choose_peer(state, pending, cls.name in short, wait, now)
    if vm is not None:
        set_due(state, pending, req.deadline)
        return [forward_attempt(state, pending, vm, now)]
    refusal = _refuse_wait(state, pending, cls, wait, now)
    if refusal is not None:
        return [refusal]
    queue_request(state, svc, pending)
    return expire(state, now) + dispatch(state, svc, now)


def handle_result(
    state: ServingState, attempt_id: str, result: AttemptResult, now: float
) -> list[ServingEffect]:
    """Take the result of an attempt; a result of an unknown attempt is ignored."""
    flight = state.flights.get(attempt_id)
    if flight is None:
        return []
    effects = take_result(state, flight, result, now)
    effects += expire(state, now)
    return effects + dispatch(state, state.services[flight.pending.req.service], now)


def wake(state: ServingState, now: float) -> list[ServingEffect]:
    """Do everything that is due: refuse what has expired, send what can be sent."""
    effects = expire(state, now)
    for svc in state.services.values():
        effects += dispatch(state, svc, now)
    return effects


def next_wake(state: ServingState, now: float) -> float | None:
    """Return when `wake` is due next if nothing else happens before."""
    due = [state.due[0][0]] if state.due else []
    for svc in state.services.values():
        if not any(svc.queues.values()):
            continue
        for ep in svc.endpoints.values():
            if ep.held_until or ep.is_excluded or ep.ramp_from > -inf:
                due += _endpoint_times(state, ep, now)
    return max(now, min(due)) if due else None


def configure(
    state: ServingState, cfg: Configuration, now: float
) -> list[ServingEffect]:
    """Put a configuration in force; endpoints that are new get a slow start."""
    is_first = not state.services
    state.cfg = cfg
    for name, service in cfg.services.items():
        svc = state.services.setdefault(name, ServiceState(name))
        local = [e for e in service.endpoints if e.data_centre == state.data_centre]
        known, svc.endpoints = svc.endpoints, {}
        for endpoint in local:
            ep = known.get(endpoint.name)
            if ep is None or ep.endpoint.address != endpoint.address:
                ep = EndpointState(endpoint, name)
                ep.flights = _flights_on(state, endpoint.name)
                ep.ramp_from = -inf if is_first else now
            ep.endpoint = endpoint
            svc.endpoints[endpoint.name] = ep
            _set_share(state, ep)
    for name in set(state.services) - set(cfg.services):
        # Attempts in flight on a removed service still get their answers.
        state.services[name].endpoints.clear()
    update_all_leaving(state, now)
    return wake(state, now)


def set_shares(
    state: ServingState, slots_by_endpoint: Mapping[str, int], now: float
) -> list[ServingEffect]:
    """Set this daemon's share of each endpoint's slots; unnamed ones get none."""
    state.shares = dict(slots_by_endpoint)
    for svc in state.services.values():
        for ep in svc.endpoints.values():
            _set_share(state, ep)
    return wake(state, now)


def set_lease(state: ServingState, valid_until: float) -> None:
    """Set the time until which new attempts may be sent; call `wake` afterwards."""
    state.lease_until = valid_until


def set_leaving(
    state: ServingState, names: Iterable[str], now: float
) -> list[ServingEffect]:
    """Set the endpoints that the platform or a planned stop reports as leaving."""
    state.leaving_listed = frozenset(names)
    update_all_leaving(state, now)
    return wake(state, now)


def clear_leaving_report(
    state: ServingState, name: str, now: float
) -> list[ServingEffect]:
    """Take back an endpoint's own report that it is leaving, once it serves again."""
    for svc in state.services.values():
        if name in svc.endpoints:
            svc.endpoints[name].is_leaving_by_itself = False
    update_all_leaving(state, now)
    return wake(state, now)


def set_peers(
    state: ServingState, peers: Iterable[PeerLoad], now: float
) -> list[ServingEffect]:
    """Set the loads of the reachable peers that accept forwarded requests."""
    state.peers = {peer.vm: peer for peer in peers}
    state.peer_sent.clear()
    return wake(state, now)


def stop(state: ServingState, now: float) -> list[ServingEffect]:
    """Refuse new requests from now on and finish those already accepted."""
    state.is_stopping = True
    return wake(state, now)


def is_idle(state: ServingState) -> bool:
    """Return whether every request has its answer and no attempt is in flight."""
    return not state.open_requests and not state.flights


def measure_load(state: ServingState, now: float) -> PeerLoad:
    """Return the load of this daemon, as its peers need it for overflow."""
    is_open = now < state.lease_until and not state.is_stopping
    loads: dict[str, ServiceLoad] = {}
    for name, svc in state.services.items():
        waiting = sum(len(queue) for queue in svc.queues.values())
        free = max(0, free_slots(state, svc, now) - waiting) if is_open else 0
        long_left = long_room(state, svc, now).left
        loads[name] = ServiceLoad(free, max(0, min(free, long_left)))
    return PeerLoad(state.vm, state.data_centre, loads)


def _find_refusal(state: ServingState, req: Request, now: float) -> RefusalCode | None:
    if (req.organisation, req.request_id) in state.open_requests:
        return RefusalCode.DUPLICATE_IN_PROGRESS
    if state.is_stopping:
        return RefusalCode.STOPPING
    if req.service not in state.cfg.services:
        return RefusalCode.SERVICE_UNKNOWN
    if req.class_name not in state.cfg.classes:
        return RefusalCode.CLASS_UNKNOWN
    if req.deadline <= now:
        return RefusalCode.DEADLINE_EXPIRED
    return None


def _refuse_wait(
    state: ServingState,
    pending: PendingRequest,
    cls: RequestClass,
    wait: float,
    now: float,
) -> ServingEffect | None:
    if now >= state.lease_until:
        return give_failure(state, pending, RefusalCode.NO_LEASE)
    if wait == inf:
        return give_failure(state, pending, RefusalCode.NO_ENDPOINT)
    window = pending.start_by - now
    if is_admitted(state, wait, window):
        return None
    retry_after = max(wait - cls.window_ms / 1000, 0.0)
    return give_failure(state, pending, RefusalCode.OVERLOADED, retry_after)


def _endpoint_times(state: ServingState, ep: EndpointState, now: float) -> list[float]:
    """Return the coming times at which an endpoint may take work again."""
    times = list(ep.held_until)
    if ep.is_excluded and ep.leaving_since is None:
        times += [ep.probe_at, ep.probe_at + PROBE_ANY_SECONDS]
    match state.policy.health:
        case ExcludeAndProbe(slow_start_seconds=seconds):
            if now < ep.ramp_from + seconds:
                times.append(now + seconds / max(ep.share, 1))
    return [at for at in times if at > now]


def _flights_on(state: ServingState, name: str) -> dict[str, InFlightAttempt]:
    """Return the attempts that an endpoint runs from before it was removed."""
    return {
        attempt_id: flight
        for attempt_id, flight in state.flights.items()
        if flight.target == name and not flight.is_forward
    }


def _set_share(state: ServingState, ep: EndpointState) -> None:
    share = state.shares.get(ep.endpoint.name, 0)
    ep.share = min(share, ep.endpoint.slots, ep.endpoint.connections)
