"""Entry points of request serving: requests, attempt results, time and settings.

Each function updates the given state and returns the effects to execute, in order.
None reads a clock or does I/O; random choices come from ``state.rng``.
"""

from collections.abc import Iterable, Mapping
from math import inf

from geraniumwell.commands.serving.admission import is_admitted, predict_wait
from geraniumwell.commands.serving.answers import fail_request, refuse_request
from geraniumwell.commands.serving.dispatch import (
    dispatch,
    expire,
    queue_request,
    schedule_expiry,
)
from geraniumwell.commands.serving.health import NON_IDEMPOTENT_PROBE_DELAY_SECONDS
from geraniumwell.commands.serving.leaving import update_all_leaving
from geraniumwell.commands.serving.overflow import choose_peer
from geraniumwell.commands.serving.reserve import (
    find_long_work_capacity,
    update_short_demand,
)
from geraniumwell.commands.serving.results import process_result
from geraniumwell.commands.serving.sending import forward_attempt
from geraniumwell.commands.serving.service_times import (
    find_short_classes,
    get_service_time,
)
from geraniumwell.commands.serving.slots import count_free_slots
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
    """Accept or refuse a request; every request gets exactly one SendAnswer."""
    code = _find_refusal(state, req, now)
    if code is not None:
        return [refuse_request(req, code)]
    svc = state.services[req.service]
    cls = state.cfg.classes[req.class_name]
    get_service_time(svc, cls)
    start_by = min(req.deadline, now + cls.window_ms / 1000)
    pending = PendingRequest(req, now, start_by)
    state.open_requests[(req.organisation, req.request_id)] = pending
    wait = predict_wait(state, svc, req.organisation, cls, now)
    if now >= state.lease_until:
        wait = inf
    short = find_short_classes(svc)
    update_short_demand(state, svc, short, now)
    vm = choose_peer(state, pending, cls.name in short, wait, now)
    if vm is not None:
        schedule_expiry(state, pending, req.deadline)
        return [forward_attempt(state, pending, vm, now)]
    refusal = _refuse_unless_admitted(state, pending, cls, wait, now)
    if refusal is not None:
        return [refusal]
    queue_request(state, svc, pending)
    return expire(state, now) + dispatch(state, svc, now)


def handle_result(
    state: ServingState, attempt_id: str, result: AttemptResult, now: float
) -> list[ServingEffect]:
    """Process the result of an attempt; the result of an unknown one is ignored."""
    attempt = state.attempts.get(attempt_id)
    if attempt is None:
        return []
    effects = process_result(state, attempt, result, now)
    effects += expire(state, now)
    return effects + dispatch(state, state.services[attempt.pending.req.service], now)


def wake(state: ServingState, now: float) -> list[ServingEffect]:
    """Answer the requests that have expired and send queued ones to free slots."""
    effects = expire(state, now)
    for svc in state.services.values():
        effects += dispatch(state, svc, now)
    return effects


def next_wake(state: ServingState, now: float) -> float | None:
    """Return when `wake` must be called unless another event comes first."""
    due = [state.expiries[0][0]] if state.expiries else []
    for svc in state.services.values():
        if not any(svc.queues.values()):
            continue
        for ep in svc.endpoints.values():
            if ep.held_until or ep.is_excluded or ep.slow_start_at > -inf:
                due += _find_endpoint_wakes(state, ep, now)
    return max(now, min(due)) if due else None


def configure(
    state: ServingState, cfg: Configuration, now: float
) -> list[ServingEffect]:
    """Apply a configuration; endpoints added by a later one get a slow start."""
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
                ep.attempts = _find_attempts_on(state, endpoint.name)
                ep.slow_start_at = -inf if is_first else now
            ep.endpoint = endpoint
            svc.endpoints[endpoint.name] = ep
            _set_share(state, ep)
    for name in set(state.services) - set(cfg.services):
        # Requests with attempts in flight on a removed service are still answered.
        state.services[name].endpoints.clear()
    update_all_leaving(state, now)
    return wake(state, now)


def set_shares(
    state: ServingState, slots_by_endpoint: Mapping[str, int], now: float
) -> list[ServingEffect]:
    """Set this daemon's share of each endpoint's slots; 0 for those not listed."""
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
    state.listed_leaving = frozenset(names)
    update_all_leaving(state, now)
    return wake(state, now)


def clear_leaving_report(
    state: ServingState, name: str, now: float
) -> list[ServingEffect]:
    """Clear an endpoint's own report that it is leaving, once it accepts work again."""
    for svc in state.services.values():
        if name in svc.endpoints:
            svc.endpoints[name].has_reported_leaving = False
    update_all_leaving(state, now)
    return wake(state, now)


def set_peers(
    state: ServingState, peers: Iterable[PeerLoad], now: float
) -> list[ServingEffect]:
    """Set the loads of the reachable peers that accept forwarded requests."""
    state.peers = {peer.vm: peer for peer in peers}
    state.forwarded_counts.clear()
    return wake(state, now)


def stop(state: ServingState, now: float) -> list[ServingEffect]:
    """Refuse new requests from now on; accepted requests are still served."""
    state.is_stopping = True
    return wake(state, now)


def is_idle(state: ServingState) -> bool:
    """Return whether all requests are answered and no attempt is in flight."""
    return not state.open_requests and not state.attempts


def measure_load(state: ServingState, now: float) -> PeerLoad:
    """Return the load of this daemon, from which peers decide about overflow."""
    is_open = now < state.lease_until and not state.is_stopping
    loads: dict[str, ServiceLoad] = {}
    for name, svc in state.services.items():
        waiting = sum(len(queue) for queue in svc.queues.values())
        free = max(0, count_free_slots(state, svc, now) - waiting) if is_open else 0
        long_left = find_long_work_capacity(state, svc, now).slots_left
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


def _refuse_unless_admitted(
    state: ServingState,
    pending: PendingRequest,
    cls: RequestClass,
    wait: float,
    now: float,
) -> ServingEffect | None:
    if now >= state.lease_until:
        return fail_request(state, pending, RefusalCode.NO_LEASE)
    if wait == inf:
        return fail_request(state, pending, RefusalCode.NO_ENDPOINT)
    window = pending.start_by - now
    if is_admitted(state, wait, window):
        return None
    retry_after = max(wait - cls.window_ms / 1000, 0.0)
    return fail_request(state, pending, RefusalCode.OVERLOADED, retry_after)


def _find_endpoint_wakes(
    state: ServingState, ep: EndpointState, now: float
) -> list[float]:
    """Return the future times at which an endpoint may accept more work."""
    times = list(ep.held_until)
    if ep.is_excluded and ep.leaving_since is None:
        times += [ep.probe_at, ep.probe_at + NON_IDEMPOTENT_PROBE_DELAY_SECONDS]
    match state.policy.health:
        case ExcludeAndProbe(slow_start_seconds=seconds):
            if now < ep.slow_start_at + seconds:
                times.append(now + seconds / max(ep.share, 1))
    return [at for at in times if at > now]


def _find_attempts_on(state: ServingState, name: str) -> dict[str, InFlightAttempt]:
    """Return the attempts in flight on an endpoint from before it was removed."""
    return {
        attempt_id: attempt
        for attempt_id, attempt in state.attempts.items()
        if attempt.target == name and not attempt.is_forward
    }


def _set_share(state: ServingState, ep: EndpointState) -> None:
    share = state.shares.get(ep.endpoint.name, 0)
    ep.share = min(share, ep.endpoint.slots, ep.endpoint.connections)
