"""Reserve of slots that long work may not use, so that short work starts at once."""

from dataclasses import dataclass
from math import ceil, exp, inf, sqrt

from geraniumwell.commands.serving.learning import find_short_classes, overdue_seconds
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

    ``left`` is the number of further slots that long work may use and ``ratio`` its
    fraction of all slots; ``short_left`` is the unused part of the reserve.
    """

    short: set[str]
    left: int
    ratio: float = 1.0
    short_left: int = 0


def count_reserved_slots(state: ServingState, svc: ServiceState, slots: int) -> int:
    """Return how many of ``slots`` are reserved for short work."""
    match state.policy.reserve:
        case NoReserve():
            return 0
        case FixedReserve(ratio):
            return ceil(slots * ratio)
        case LearnedReserve(headroom, ratio_max):
            demand = svc.demand.value
            wanted = demand + headroom * sqrt(demand)
            return ceil(min(wanted, slots * ratio_max))
    return 0


def update_short_demand(
    state: ServingState, svc: ServiceState, short: set[str], now: float
) -> None:
    """Update the average demand of short work.

    The average rises faster than it falls, so that slots are reserved soon after a
    burst begins and long work does not take them between two bursts. Demand above an
    organisation's fair share is ignored, so that a surge of one organisation takes no
    slots from the long work of the others.
    """
    match state.policy.reserve:
        case LearnedReserve(rise_seconds=rise, fall_seconds=fall):
            wanted: dict[str, int] = {}
            for (org, name), queue in svc.queues.items():
                if name in short:
                    used = svc.in_use.get((org, name), 0) + len(queue)
                    wanted[org] = wanted.get(org, 0) + used
            slots = count_usable_slots(svc)
            current = sum(
                min(used, find_fair_share(state.cfg, slots, org))
                for org, used in wanted.items()
            )
            demand = svc.demand
            seconds = rise if current > demand.value else fall
            part = 1 - exp((demand.at - now) / seconds)
            value = demand.value + part * (current - demand.value)
            svc.demand = ShortDemand(value, now)


def find_long_work_capacity(
    state: ServingState, svc: ServiceState, now: float
) -> LongWorkCapacity:
    """Return the slots that long work may still use.

    Overdue attempts of short classes count as long work, so that stragglers don't use
    up the reserve.
    """
    short = find_short_classes(svc)
    slots = count_usable_slots(svc)
    if not short or isinstance(state.policy.reserve, NoReserve):
        return LongWorkCapacity(short, slots)
    late = {name: now - overdue_seconds(svc, name) for name in short}
    used = used_short = 0
    for ep in svc.endpoints.values():
        for attempt in ep.flights.values():
            if attempt.sent_at < late.get(attempt.class_name, inf):
                used += 1
            else:
                used_short += 1
    reserved = count_reserved_slots(state, svc, slots)
    allowed = slots - reserved
    part = allowed / max(slots, 1)
    return LongWorkCapacity(short, allowed - used, part, reserved - used_short)


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
    if class_name in capacity.short or capacity.left > 0:
        return True
    own = find_fair_share(state.cfg, count_usable_slots(svc), org) * capacity.ratio
    used = sum(
        count
        for (other, name), count in svc.in_use.items()
        if other == org and name not in capacity.short
    )
    return used + 1 <= own
