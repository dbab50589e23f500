"""Reserve of slots that long work may not use, so that short work starts at once."""

from dataclasses import dataclass
from math import ceil, exp, inf, sqrt

from geraniumwell.commands.serving.learning import overdue_seconds, short_classes
from geraniumwell.commands.serving.shares import guaranteed_slots
from geraniumwell.commands.serving.slots import usable_slots
from geraniumwell.model.serving import ServiceState, ServingState, ShortDemand
from geraniumwell.model.serving_policy import (
    FixedReserve,
    LearnedReserve,
    NoReserve,
)


@dataclass(slots=True)
class LongRoom:
    """The short classes, and the slots that long work may use.

    ``left`` is the number of further slots that long work may use and ``ratio`` its
    fraction of all slots; ``short_left`` is the unused part of the reserve.
    """

    short: set[str]
    left: int
    ratio: float = 1.0
    short_left: int = 0


def reserved_slots(state: ServingState, svc: ServiceState, slots: int) -> int:
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


def note_short_demand(
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
            slots = usable_slots(svc)
            current = sum(
                min(used, guaranteed_slots(state.cfg, slots, org))
                for org, used in wanted.items()
            )
            demand = svc.demand
            seconds = rise if current > demand.value else fall
            part = 1 - exp((demand.at - now) / seconds)
            value = demand.value + part * (current - demand.value)
            svc.demand = ShortDemand(value, now)


def long_room(state: ServingState, svc: ServiceState, now: float) -> LongRoom:
    """Return the slots that long work may still use.

    Overdue attempts of short classes count as long work, so that stragglers don't use
    up the reserve.
    """
    short = short_classes(svc)
    slots = usable_slots(svc)
    if not short or isinstance(state.policy.reserve, NoReserve):
        return LongRoom(short, slots)
    late = {name: now - overdue_seconds(svc, name) for name in short}
    used = used_short = 0
    for ep in svc.endpoints.values():
        for flight in ep.flights.values():
            if flight.sent_at < late.get(flight.class_name, inf):
                used += 1
            else:
                used_short += 1
    reserved = reserved_slots(state, svc, slots)
    allowed = slots - reserved
    part = allowed / max(slots, 1)
    return LongRoom(short, allowed - used, part, reserved - used_short)


def may_start(
    state: ServingState, svc: ServiceState, room: LongRoom, org: str, class_name: str
) -> bool:
    """Return whether work of an organisation and class may use a free slot.

    Long work of an organisation may always use the organisation's fair share of the
    slots for long work, regardless of what the others use.
    """
    if class_name in room.short or room.left > 0:
        return True
    own = guaranteed_slots(state.cfg, usable_slots(svc), org) * room.ratio
    used = sum(
        count
        for (other, name), count in svc.in_use.items()
        if other == org and name not in room.short
    )
    return used + 1 <= own
