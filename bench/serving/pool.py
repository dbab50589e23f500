"""Upper bound: one ideal pool of all slots serves the same trace."""

from dataclasses import dataclass
from heapq import heapify, heappop, heappush, heapreplace

from bench.serving.scenarios import Fault, Scenario
from bench.serving.traces import Arrival
from bench.serving.users import SHARES, SLOT_COUNT, SLOTS_PER_ENDPOINT


@dataclass(slots=True, frozen=True)
class Bounds:
    """Numbers of the requests that an ideal pool serves.

    ``served_by_share`` has the result of each organisation in a pool of its own, with
    its share of the slots.
    """

    served_in_pool: set[int]
    served_by_share: dict[str, set[int]]


def make_bounds(scenario: Scenario, trace: list[Arrival]) -> Bounds:
    """Serve a trace in one pool, and each organisation in a pool of its share."""
    total = sum(SHARES.values())
    served_by_share = {}
    for org, share in SHARES.items():
        org_trace = [arrival for arrival in trace if arrival.organisation == org]
        served_by_share[org] = serve_in_pool(scenario, org_trace, share / total)
    return Bounds(serve_in_pool(scenario, trace, 1.0), served_by_share)


def serve_in_pool(
    scenario: Scenario, trace: list[Arrival], fraction: float
) -> set[int]:
    """Return the numbers of the requests that a fraction of an ideal pool serves.

    The pool has one queue and no latency, detects faults at once, knows the true
    median time of each class, sends the shortest class first and drops expired
    requests. It has no fairness and no reserve, which maximises the served requests.
    """
    blocked_slots = 0
    if scenario.fault in (Fault.DEAD, Fault.SILENT, Fault.FAILING):
        blocked_slots = round(SLOTS_PER_ENDPOINT * fraction)
    if scenario.fault is Fault.OUTAGE:
        blocked_slots = round(SLOT_COUNT * fraction)
    free_at = [0.0] * round(SLOT_COUNT * fraction)
    heapify(free_at)
    served: set[int] = set()
    waiting: list[tuple[float, float, int, Arrival]] = []
    next_index = 0
    is_blocked = False
    while next_index < len(trace) or waiting:
        now = free_at[0]
        if blocked_slots and not is_blocked and now >= scenario.fault_from:
            is_blocked = True
            _block_slots(free_at, blocked_slots, scenario.fault_to)
            continue
        if not waiting:
            now = max(now, trace[next_index].at)
        while next_index < len(trace) and trace[next_index].at <= now:
            arrival = trace[next_index]
            heappush(
                waiting, (arrival.kind.seconds, arrival.at, arrival.number, arrival)
            )
            next_index += 1
        arrival = heappop(waiting)[3]
        if now > arrival.at + arrival.kind.window_seconds:
            continue
        heapreplace(free_at, now + arrival.seconds)
        if now + arrival.seconds <= arrival.at + arrival.kind.deadline_seconds:
            served.add(arrival.number)
    return served


def _block_slots(free_at: list[float], count: int, until: float) -> None:
    """Block the slots that become free first until a fault ends."""
    for _ in range(count):
        heappop(free_at)
    for _ in range(count):
        heappush(free_at, until)
