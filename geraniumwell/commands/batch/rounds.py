"""When the next round of planning, or the next renewal, is due."""

from dataclasses import dataclass, field
from heapq import heappop, heappush
from math import inf

# Messages that come closer together share a round of planning.
PLAN_GAP_SECONDS = 0.02
# Longest time between rounds; leases lapse and stops are repeated without messages.
PLAN_IDLE_SECONDS = 0.25
# A timer that fires early is set again for this time at least. Timers count by another
# clock than the decisions do, and with the exact rest it could fire early for ever.
SHORTEST_TIMER_SECONDS = 0.001


@dataclass(slots=True)
class DueTimer:
    """Due time of one action, and the timers that are set for it.

    A timer can't be taken back, so one that fires too early is set again only where no
    other will fire in time. Otherwise timers would pile up with each change.

    Parameters
    ----------
    due : float
        Time at which the action is due; infinite if it is not asked for.
    pending : list
        Heap of the times at which the set timers fire.
    """

    due: float = inf
    pending: list[float] = field(default_factory=list)

    def request(self, due: float, now: float) -> float | None:
        """Ask for the action at ``due`` at the latest; return the timer to be set."""
        self.due = min(self.due, due)
        return self.find_remaining(now)

    def fire(self, now: float) -> bool:
        """Note that a timer has fired; tell whether the action is due."""
        if self.pending:
            heappop(self.pending)
        if now < self.due:
            return False
        self.due = inf
        return True

    def find_remaining(self, now: float) -> float | None:
        """Return the timer to be set, unless another one fires in time."""
        if self.due == inf or (self.pending and self.pending[0] <= self.due):
            return None
        wait = max(self.due - now, SHORTEST_TIMER_SECONDS)
        heappush(self.pending, now + wait)
        return wait


@dataclass(slots=True)
class RoundTimer:
    """Timer of planning: rounds keep a gap, and come after the idle time at least.

    A round that is due must never be left without a timer.
    """

    timer: DueTimer = field(default_factory=DueTimer)
    planned_at: float = -inf

    def request_round(self, now: float) -> float | None:
        """Ask for a round soon; return the time until the timer, if it is to be set."""
        return self.timer.request(max(now, self.planned_at + PLAN_GAP_SECONDS), now)

    def begin_round(self, now: float) -> bool:
        """Begin a round if one is due, and tell whether it has begun."""
        if not self.timer.fire(now):
            return False
        self.planned_at = now
        return True

    def find_remaining(self, now: float) -> float | None:
        """Return the time until a round that is not due yet; None if none is needed."""
        return self.timer.find_remaining(now)

    def schedule_idle_round(self, now: float) -> float | None:
        """Ask for the next round after the idle time."""
        return self.timer.request(now + PLAN_IDLE_SECONDS, now)
