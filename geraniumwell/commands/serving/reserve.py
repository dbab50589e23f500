"""Reserve of slots that long work may not use, so that short work starts at once."""

from dataclasses import dataclass
from math import ceil, exp, inf, sqrt

from geraniumwell.commands.serving.service_times import (
    find_short_classes,
    overdue_seconds,
)
from geraniumwell.commands.serving.shares import find_fair_share
from geraniumwell.commands.serving.slots import count_usable_slots
from geraniumwell.model.serving import ServiceState, ServingState, ShortDemand
from geraniumwell.model.serving_policy import (
    FixedReserve,
    LearnedReserve,
    NoReserve,
)


@dataclass(slots=True)
class LongWorkCapacity:
    """The short classes, and the slots that long work may use.

    ``slots_left`` is the number of further slots that long work may use, and ``ratio``
    the fraction of all slots that is not reserved. ``reserve_left`` is the unused part
    of the reserve.
    """

    short_classes: set[str]
    slots_left: int
    ratio: float = 1.0
    reserve_left: int = 0


def count_reserved_slots(state: ServingState, svc: ServiceState, slots: int) -> int:
    """Return how many of ``slots`` are reserved for short work."""
    match state.policy.reserve:
        case NoReserve():
            return 0
        case FixedReserve(ratio):
            return ceil(slots * ratio)
        case LearnedReserve(headroom, ratio_max):
            demand = svc.short_demand.value
            wanted = demand + headroom * sqrt(demand)
            return ceil(min(wanted, slots * ratio_max))
    return 0


def update_short_demand(
    state: ServingState, svc: ServiceState, short_classes: set[str], now: float
) -> None:
    """Update the average demand of short work.

    The average rises faster than it falls, so that slots are reserved soon after a
    burst begins and long work does not take them between two bursts. Demand above an
    organisation's fair share is ignored, so that a surge of one organisation takes no
    slots from the long work of the others.
    """
    match state.policy.reserve:
        case LearnedReserve(rise_seconds=rise, fall_seconds=fall):
            demand_by_org: dict[str, int] = {}
            for (org, name), queue in svc.queues.items():
                if name in short_classes:
                    demand = svc.in_use.get((org, name), 0) + len(queue)
                    demand_by_org[org] = demand_by_org.get(org, 0) + demand
            slots = count_usable_slots(svc)
            current = sum(
                min(demand, find_fair_share(state.cfg, slots, org))
                for org, demand in demand_by_org.items()
            )
            average = svc.short_demand
            seconds = rise if current > average.value else fall
            weight = 1 - exp((average.at - now) / seconds)
            value = average.value + weight * (current - average.value)
            svc.short_demand = ShortDemand(value, now)


def find_long_work_capacity(
    state: ServingState, svc: ServiceState, now: float
) -> LongWorkCapacity:
    """Return the slots that long work may still use.

    Overdue attempts of short classes count as long work, so that stragglers don't use
    up the reserve.
    """
    short_classes = find_short_classes(svc)
    slots = count_usable_slots(svc)
    if not short_classes or isinstance(state.policy.reserve, NoReserve):
        return LongWorkCapacity(short_classes, slots)
    overdue_before = {name: now - overdue_seconds(svc, name) for name in short_classes}
    used_long = used_short = 0
    for ep in svc.endpoints.values():
        for attempt in ep.attempts.values():
            if attempt.sent_at < overdue_before.get(attempt.class_name, inf):
                used_long += 1
            else:
                used_short += 1
    reserved = count_reserved_slots(state, svc, slots)
    allowed = slots - reserved
    ratio = allowed / max(slots, 1)
    return LongWorkCapacity(
        short_classes, allowed - used_long, ratio, reserved - used_short
    )


def may_use_slot(
    state: ServingState,
    svc: ServiceState,
    capacity: LongWorkCapacity,
    org: str,
    class_name: str,
) -> bool:
    """Return whether work of an organisation and class may use a free slot.

    Long work of an organisation may always use the organisation's fair share of the
    slots for long work, regardless of what the others use.
    """
    if class_name in capacity.short_classes or capacity.slots_left > 0:
        return True
    own = find_fair_share(state.cfg, count_usable_slots(svc), org) * capacity.ratio
    used = sum(
        count
        for (other, name), count in svc.in_use.items()
        if other == org and name not in capacity.short_classes
    )
    return used + 1 <= own
