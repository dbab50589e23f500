"""Clocks of the machine; no other module reads them."""

import time


def monotonic_seconds() -> float:
    """Return monotonic seconds, which can't be compared between VMs."""
    return time.monotonic()


def wall_seconds() -> float:
    """Return Unix time in seconds, for records and time windows shown to people."""
    return time.time()


def boottime_seconds() -> float:
    """Return monotonic seconds that include time spent suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


# Fixed at start, so that later jumps of the system time don't shift times of jobs.
WALL_OFFSET_SECONDS = time.time() - boottime_seconds()


def stable_wall_seconds() -> float:
    """Return Unix time in seconds, unaffected by clock changes since the start."""
    return boottime_seconds() + WALL_OFFSET_SECONDS
