"""The only place that reads the clocks of the machine."""

import time


def monotonic_seconds() -> float:
    """Return seconds of a clock that never goes back; no two VMs share it."""
    return time.monotonic()


def wall_seconds() -> float:
    """Return Unix time in seconds, for records and windows that people read."""
    return time.time()


def boottime_seconds() -> float:
    """Return seconds of a clock that never goes back and counts suspended time."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


# Later jumps of the time of day do not move the times of jobs.
WALL_OFFSET_SECONDS = time.time() - boottime_seconds()


def stable_wall_seconds() -> float:
    """Return Unix time in seconds as it was set when the process started."""
    return boottime_seconds() + WALL_OFFSET_SECONDS
