"""Order of queued requests: fairness between organisations, urgency and age."""

from collections import deque

from geraniumwell.commands.serving.reserve import LongWorkCapacity, may_use_slot
from geraniumwell.commands.serving.shares import (
    count_used_by_class,
    count_used_by_organisation,
    find_fair_share,
    find_weight,
)
from geraniumwell.commands.serving.slots import count_usable_slots
from geraniumwell.model.serving import PendingRequest, ServiceState, ServingState
from geraniumwell.model.serving_policy import FairShortFirst, Fifo

Key = tuple[str, str]


def make_urgency_key(
    state: ServingState, svc: ServiceState, class_name: str
) -> tuple[float, float]:
    """Return the sort key of a class: its rank, then its typical service time.

    Queued requests of a class that was removed go first, so that its queue empties.
    """
    cls = state.cfg.classes.get(class_name)
    rank = cls.rank if cls is not None else 0
    return (float(rank), svc.service_times[class_name].typical)


def enqueue(svc: ServiceState, pending: PendingRequest, at_front: bool = False) -> None:
    """Add a request to the queue of its organisation and class."""
    req = pending.req
    queue = svc.queues.setdefault((req.organisation, req.class_name), deque())
    if at_front:
        queue.appendleft(pending)
    else:
        queue.append(pending)
    pending.is_queued = True


def remove_from_queue(svc: ServiceState, pending: PendingRequest) -> None:
    """Remove a request from its queue."""
    req = pending.req
    svc.queues[(req.organisation, req.class_name)].remove(pending)
    pending.is_queued = False


def choose_queue(
    state: ServingState, svc: ServiceState, capacity: LongWorkCapacity, now: float
) -> Key | None:
    """Return the key of the queue to send from next, or None if none may be sent."""
    keys = [
        key
        for key, queue in svc.queues.items()
        if queue
        and (
            may_use_slot(state, svc, capacity, *key)
            or _is_starved(state, svc, queue[0], now)
        )
    ]
    if not keys:
        return None
    match state.policy.order:
        case Fifo():
            return min(keys, key=lambda key: svc.queues[key][0].arrived_at)
        case FairShortFirst() as order:
            return min(
                keys,
                key=_make_sort_keys(state, svc, order, capacity, keys, now).__getitem__,
            )


def _make_sort_keys(
    state: ServingState,
    svc: ServiceState,
    order: FairShortFirst,
    capacity: LongWorkCapacity,
    keys: list[Key],
    now: float,
) -> dict[Key, tuple[float, ...]]:
    """Return the sort key of each queue; the lowest is sent first.

    Organisations below their fair share go before those above it. Among equals,
    urgency decides before slot usage, because work within the fair share takes no
    slots from other organisations.
    """
    above_share: dict[str, float] = {}
    usage: dict[str, float] = {}
    slots = count_usable_slots(svc)
    for org in {key[0] for key in keys}:
        used = count_used_by_organisation(svc, org)
        above_share[org] = float(used >= find_fair_share(state.cfg, slots, org))
        usage[org] = used / max(find_weight(state.cfg, org), 1e-9)
    sort_keys: dict[Key, tuple[float, ...]] = {}
    for key in keys:
        org, name = key
        head = svc.queues[key][0]
        # Short work may use the reserve even if its organisation is above its share.
        may_use_reserve = name in capacity.short_classes and capacity.reserve_left > 0
        share_key = (
            (0.0 if may_use_reserve else above_share[org],) if order.is_fair else ()
        )
        usage_key = (usage[org],) if order.is_fair else ()
        urgency_key: tuple[float, ...] = ()
        if order.is_short_first:
            is_starved = _is_starved(state, svc, head, now)
            urgency_key = (float(not is_starved), *make_urgency_key(state, svc, name))
        sort_keys[key] = (*share_key, *urgency_key, *usage_key, head.arrived_at)
    return sort_keys


def _is_starved(
    state: ServingState, svc: ServiceState, pending: PendingRequest, now: float
) -> bool:
    """Return whether a request waited half its window and its class is below its floor.

    See `FairShortFirst` for the floor.
    """
    if now - pending.arrived_at <= pending.start_by - now:
        return False
    match state.policy.order:
        case FairShortFirst(floor_ratio=ratio):
            used = count_used_by_class(svc, pending.req.class_name)
            return used < ratio * count_usable_slots(svc)
    return False
