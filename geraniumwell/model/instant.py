"""A point in time on both clocks."""

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class Instant:
    """The same moment on the monotonic clock and on the wall clock, in seconds."""

    monotonic: float
    wall: float
