"""Timers of planning rounds and of other actions that have a due time."""

from dataclasses import dataclass, field
from heapq import heappop, heappush
from math import inf

# Minimum time between planning rounds; messages that arrive within it share a round.
MIN_ROUND_INTERVAL_SECONDS = 0.02
# Maximum time between planning rounds. Leases expire and stops have to be repeated
# without any message.
MAX_ROUND_INTERVAL_SECONDS = 0.25
# Minimum delay of a timer that fired early and is set again. Timers use another clock
# than the decisions, so with the exact remaining time a timer could fire early forever.
MIN_TIMER_SECONDS = 0.001


@dataclass(slots=True)
class DueTimer:
    """Due time of an action, and the pending timers for it.

    Timers can't be cancelled. After one has fired too early, another one is set only if
    no pending timer fires in time; otherwise timers would accumulate with each request.

    Parameters
    ----------
    due : float
        Time at which the action is due; infinite if it is not requested.
    pending : list
        Heap of the times at which the pending timers fire.
    """

    due: float = inf
    pending: list[float] = field(default_factory=list)

    def request(self, due: float, now: float) -> float | None:
        """Request the action by ``due``; return the delay of a timer to set, if any."""
        self.due = min(self.due, due)
        return self.find_remaining(now)

    def fire(self, now: float) -> bool:
        """Record that a timer has fired; return whether the action is due."""
        if self.pending:
            heappop(self.pending)
        if now < self.due:
            return False
        self.due = inf
        return True

    def find_remaining(self, now: float) -> float | None:
        """Return the delay of a timer to set; None if a pending one fires in time."""
        if self.due == inf or (self.pending and self.pending[0] <= self.due):
            return None
        wait = max(self.due - now, MIN_TIMER_SECONDS)
        heappush(self.pending, now + wait)
        return wait


@dataclass(slots=True)
class RoundTimer:
    """Timer of planning rounds, which keeps a minimum and a maximum interval.

    A requested round must always have a pending timer.
    """

    timer: DueTimer = field(default_factory=DueTimer)
    last_round_at: float = -inf

    def request_round(self, now: float) -> float | None:
        """Request a round soon; return the delay of a timer to set, if any."""
        return self.timer.request(
            max(now, self.last_round_at + MIN_ROUND_INTERVAL_SECONDS), now
        )

    def begin_round(self, now: float) -> bool:
        """Begin a round if one is due; return whether it has begun."""
        if not self.timer.fire(now):
            return False
        self.last_round_at = now
        return True

    def find_remaining(self, now: float) -> float | None:
        """Return the delay of a timer to set for a pending round, if any."""
        return self.timer.find_remaining(now)

    def schedule_idle_round(self, now: float) -> float | None:
        """Request the next round after the maximum interval."""
        return self.timer.request(now + MAX_ROUND_INTERVAL_SECONDS, now)
