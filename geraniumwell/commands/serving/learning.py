"""Service times of classes, learned from finished and running work."""

from collections import deque
from statistics import median

from geraniumwell.model.config import RequestClass
from geraniumwell.model.serving import InFlightAttempt, Learned, ServiceState

# Declared sizes are far off, so a declared time counts as one sample only.
MEAN_WEIGHT_MIN = 0.02
# An odd and small number, so that the median follows a change within seconds.
RECENT_SAMPLES = 31
# Work that runs this many times longer than its class does as a rule is overdue.
OVERDUE_FACTOR = 4.0
OVERDUE_SECONDS_MIN = 0.05
# A class is short when the longest class typically runs this many times longer.
SHORT_FACTOR = 4.0


def learned_time(svc: ServiceState, cls: RequestClass) -> Learned:
    """Return the learned time of a class, at first its declared time."""
    learned = svc.learned.get(cls.name)
    if learned is None:
        seconds = max(cls.expected_ms, 1) / 1000
        recent = deque([seconds], maxlen=RECENT_SAMPLES)
        learned = svc.learned[cls.name] = Learned(seconds, seconds, recent)
    return learned


def learn_time(svc: ServiceState, class_name: str, seconds: float) -> None:
    """Take the service time of a finished attempt."""
    learned = svc.learned.get(class_name)
    if learned is None:
        return
    learned.samples += 1
    weight = max(1 / (learned.samples + 1), MEAN_WEIGHT_MIN)
    learned.mean += weight * (seconds - learned.mean)
    learned.recent.append(seconds)
    learned.typical = median(learned.recent)


def is_overdue(svc: ServiceState, flight: InFlightAttempt, now: float) -> bool:
    """Return whether an attempt runs much longer than its class does as a rule."""
    return now > overdue_at(svc, flight)


def overdue_at(svc: ServiceState, flight: InFlightAttempt) -> float:
    """Return when an attempt becomes overdue."""
    return flight.sent_at + overdue_seconds(svc, flight.class_name)


def overdue_seconds(svc: ServiceState, class_name: str) -> float:
    """Return how long an attempt of a class runs until it is overdue."""
    typical = svc.learned[class_name].typical
    return max(OVERDUE_FACTOR * typical, OVERDUE_SECONDS_MIN)


def short_classes(svc: ServiceState) -> set[str]:
    """Return the classes that run much shorter than the longest class."""
    longest = max((lt.typical for lt in svc.learned.values()), default=0.0)
    return {
        name for name, lt in svc.learned.items() if lt.typical * SHORT_FACTOR <= longest
    }
