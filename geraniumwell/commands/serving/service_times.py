"""Service times of classes, estimated from finished attempts."""

from collections import deque
from statistics import median

from geraniumwell.model.config import RequestClass
from geraniumwell.model.serving import InFlightAttempt, ServiceState, ServiceTime

# Declared times are unreliable, so a declared time counts as a single sample.
MEAN_WEIGHT_MIN = 0.02
# Small, so that the median follows a change within seconds; odd, so that the median is
# a sample.
RECENT_SAMPLES = 31
# An attempt is overdue when it runs this many times longer than is typical.
OVERDUE_FACTOR = 4.0
OVERDUE_SECONDS_MIN = 0.05
# A class is short when the longest class typically runs this many times longer.
SHORT_FACTOR = 4.0


def get_service_time(svc: ServiceState, cls: RequestClass) -> ServiceTime:
    """Return the estimate for a class, which starts with its declared time."""
    estimate = svc.service_times.get(cls.name)
    if estimate is None:
        seconds = max(cls.expected_ms, 1) / 1000
        recent = deque([seconds], maxlen=RECENT_SAMPLES)
        estimate = svc.service_times[cls.name] = ServiceTime(seconds, seconds, recent)
    return estimate


def record_service_time(svc: ServiceState, class_name: str, seconds: float) -> None:
    """Update the estimate of a class with the service time of a finished attempt."""
    estimate = svc.service_times.get(class_name)
    if estimate is None:
        return
    estimate.sample_count += 1
    weight = max(1 / (estimate.sample_count + 1), MEAN_WEIGHT_MIN)
    estimate.mean += weight * (seconds - estimate.mean)
    estimate.recent.append(seconds)
    estimate.typical = median(estimate.recent)


def is_overdue(svc: ServiceState, attempt: InFlightAttempt, now: float) -> bool:
    """Return whether an attempt runs much longer than is typical for its class."""
    return now > overdue_at(svc, attempt)


def overdue_at(svc: ServiceState, attempt: InFlightAttempt) -> float:
    """Return when an attempt becomes overdue."""
    return attempt.sent_at + overdue_seconds(svc, attempt.class_name)


def overdue_seconds(svc: ServiceState, class_name: str) -> float:
    """Return after how many seconds an attempt of a class is overdue."""
    typical = svc.service_times[class_name].typical
    return max(OVERDUE_FACTOR * typical, OVERDUE_SECONDS_MIN)


def find_short_classes(svc: ServiceState) -> set[str]:
    """Return the classes that run much shorter than the longest class."""
    longest = max((time.typical for time in svc.service_times.values()), default=0.0)
    return {
        name
        for name, time in svc.service_times.items()
        if time.typical * SHORT_FACTOR <= longest
    }
