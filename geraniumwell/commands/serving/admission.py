"""Admission control: refuses requests that can't start within their window."""

from math import inf

from geraniumwell.commands.serving.ordering import make_urgency_key
from geraniumwell.commands.serving.reserve import (
    count_reserved_slots,
    find_long_work_capacity,
    may_use_slot,
)
from geraniumwell.commands.serving.service_times import (
    find_short_classes,
    get_service_time,
)
from geraniumwell.commands.serving.shares import count_used_by_organisation, find_weight
from geraniumwell.commands.serving.slots import count_usable_slots, has_any_free_slot
from geraniumwell.model.config import RequestClass
from geraniumwell.model.serving import ServiceState, ServingState
from geraniumwell.model.serving_policy import (
    AdmitAll,
    BoundedWait,
    FairShortFirst,
    Fifo,
)


def predict_wait(
    state: ServingState, svc: ServiceState, org: str, cls: RequestClass, now: float
) -> float:
    """Return the expected wait of a new request, in seconds.

    It is the work ahead of the request divided by the slots of its organisation: those
    that it uses now or its fair share among the waiting organisations, whichever is
    more. While all endpoints are excluded, the wait for the next probe is added.
    """
    slots = count_usable_slots(svc)
    ahead = _sum_work_ahead(state, svc, org, cls)
    if ahead == 0 and slots > 0 and has_any_free_slot(state, svc, now):
        capacity = find_long_work_capacity(state, svc, now)
        if may_use_slot(state, svc, capacity, org, cls.name):
            return 0.0
    until_probe = 0.0
    if slots == 0:
        excluded = [e for e in svc.endpoints.values() if e.leaving_since is None]
        slots = sum(ep.share for ep in excluded)
        if slots == 0:
            return inf
        until_probe = max(0.0, min(ep.probe_at for ep in excluded) - now)
    short_classes = find_short_classes(svc)
    if short_classes and cls.name not in short_classes:
        slots = max(slots - count_reserved_slots(state, svc, slots), 1)
    match state.policy.order:
        case FairShortFirst(is_fair=True):
            waiting = {key[0] for key, queue in svc.queues.items() if queue} | {org}
            total = sum(find_weight(state.cfg, name) for name in waiting)
            fair_share = slots * find_weight(state.cfg, org) / max(total, 1e-9)
            slots = max(fair_share, min(slots, count_used_by_organisation(svc, org)))
    return until_probe + (ahead + get_service_time(svc, cls).mean) / max(slots, 1e-9)


def is_admitted(state: ServingState, wait: float, window_seconds: float) -> bool:
    """Return whether a request with this expected wait is accepted into the queue."""
    match state.policy.admission:
        case AdmitAll():
            return True
        case BoundedWait(tolerance):
            return wait <= window_seconds * tolerance


def _sum_work_ahead(
    state: ServingState, svc: ServiceState, org: str, cls: RequestClass
) -> float:
    """Return the slot time, in seconds, of queued work ahead of a new request."""
    ahead = 0.0
    own_key = make_urgency_key(state, svc, cls.name)
    for (other, name), queue in svc.queues.items():
        if not queue:
            continue
        match state.policy.order:
            case Fifo():
                is_ahead = True
            case FairShortFirst(is_fair, is_short_first, _):
                is_ahead = not is_fair or other == org
                if is_short_first and make_urgency_key(state, svc, name) > own_key:
                    is_ahead = False
        if is_ahead:
            ahead += len(queue) * svc.service_times[name].mean
    return ahead
