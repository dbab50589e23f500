"""Order of waiting requests: fairness between organisations, urgency, age."""

from collections import deque

from geraniumwell.commands.serving.reserve import LongRoom, may_start
from geraniumwell.commands.serving.shares import (
    guaranteed_slots,
    share_of,
    used_by_class,
    used_by_organisation,
)
from geraniumwell.commands.serving.slots import usable_slots
from geraniumwell.model.serving import PendingRequest, ServiceState, ServingState
from geraniumwell.model.serving_policy import FairShortFirst, Fifo

Key = tuple[str, str]


def urgency_of(
    state: ServingState, svc: ServiceState, class_name: str
) -> tuple[float, float]:
    """Return the sort key of a class: its rank, then its typical time.

    Work of a class that was removed while it waited goes first, so it leaves.
    """
    cls = state.cfg.classes.get(class_name)
    rank = cls.rank if cls is not None else 0
    return (float(rank), svc.learned[class_name].typical)


def enqueue(svc: ServiceState, pending: PendingRequest, is_first: bool = False) -> None:
    """Put a request into the queue of its organisation and class."""
    req = pending.req
    queue = svc.queues.setdefault((req.organisation, req.class_name), deque())
    if is_first:
        queue.appendleft(pending)
    else:
        queue.append(pending)
    pending.is_waiting = True


def remove(svc: ServiceState, pending: PendingRequest) -> None:
    """Take a request out of its queue."""
    req = pending.req
    svc.queues[(req.organisation, req.class_name)].remove(pending)
    pending.is_waiting = False


def choose_queue(
    state: ServingState, svc: ServiceState, room: LongRoom, now: float
) -> Key | None:
    """Return the queue whose head is sent next, or None where none may be sent."""
    keys = [
        key
        for key, queue in svc.queues.items()
        if queue
        and (
            may_start(state, svc, room, *key) or _is_starved(state, svc, queue[0], now)
        )
    ]
    if not keys:
        return None
    match state.policy.order:
        case Fifo():
            return min(keys, key=lambda key: svc.queues[key][0].arrived_at)
        case FairShortFirst() as order:
            return min(keys, key=_ranks(state, svc, order, room, keys, now).__getitem__)


def _ranks(
    state: ServingState,
    svc: ServiceState,
    order: FairShortFirst,
    room: LongRoom,
    keys: list[Key],
    now: float,
) -> dict[Key, tuple[float, ...]]:
    """Return the sort key of each queue; the lowest goes first.

    An organisation below its share goes before all that are above theirs. Among
    equals, urgency decides before the use of slots, because work within the
    share can't take anything from the other organisations.
    """
    above: dict[str, float] = {}
    ratio: dict[str, float] = {}
    slots = usable_slots(svc)
    for org in {key[0] for key in keys}:
        used = used_by_organisation(svc, org)
        above[org] = float(used >= guaranteed_slots(state.cfg, slots, org))
        ratio[org] = used / max(share_of(state.cfg, org), 1e-9)
    ranks: dict[Key, tuple[float, ...]] = {}
    for key in keys:
        org, name = key
        head = svc.queues[key][0]
        # Short work may use the reserve whatever its organisation uses.
        is_due = name in room.short and room.short_left > 0
        fair = (0.0 if is_due else above[org],) if order.is_fair else ()
        use = (ratio[org],) if order.is_fair else ()
        urgency: tuple[float, ...] = ()
        if order.is_short_first:
            is_starved = _is_starved(state, svc, head, now)
            urgency = (float(not is_starved), *urgency_of(state, svc, name))
        ranks[key] = (*fair, *urgency, *use, head.arrived_at)
    return ranks


def _is_starved(
    state: ServingState, svc: ServiceState, pending: PendingRequest, now: float
) -> bool:
    """Return whether a class waits for half its window and is below its floor."""
    if now - pending.arrived_at <= pending.start_by - now:
        return False
    match state.policy.order:
        case FairShortFirst(floor_ratio=ratio):
            used = used_by_class(svc, pending.req.class_name)
            return used < ratio * usable_slots(svc)
    return False
