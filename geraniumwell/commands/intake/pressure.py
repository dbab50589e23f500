"""Decides when the log states that requests are refused, and that this has ended.

Handles any number of refusals: two changes of state in ten seconds at most.
"""

from typing import Final

from geraniumwell.model.intake import (
    Pressure,
    PressureBegan,
    PressureEnded,
    RefusalReason,
)

CALM_SECONDS: Final = 10.0


def record_refusal(
    pressure: Pressure, reason: RefusalReason, now: float
) -> PressureBegan | None:
    """Count a refusal; return a change if it is the first after a calm time."""
    is_first = not pressure.refusals
    pressure.refusals[reason] = pressure.refusals.get(reason, 0) + 1
    pressure.last_refused_at = now
    return PressureBegan(reason) if is_first else None


def find_calm(pressure: Pressure, now: float) -> PressureEnded | None:
    """Return a change if refusals have ended, and begin to count anew."""
    if not pressure.refusals or now - pressure.last_refused_at < CALM_SECONDS:
        return None
    counts = {reason.value: count for reason, count in pressure.refusals.items()}
    pressure.refusals.clear()
    return PressureEnded(counts)
