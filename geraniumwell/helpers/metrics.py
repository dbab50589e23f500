"""Metrics of the serving part of a daemon.

Label values come from bounded sets only, so the number of series is bounded too.
"""

from collections.abc import Iterable

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    generate_latest,
)

from geraniumwell.model.request import Answer, RefusalCode

# Callers may send any class name; names outside the configuration share this label.
OTHER_CLASS = "other"
WAIT_BUCKETS_SECONDS = (0.001, 0.005, 0.02, 0.1, 0.5, 2.0, 10.0)


class Metrics:
    """Metrics of one daemon.

    Parameters
    ----------
    registry : CollectorRegistry
        Registry that holds the metrics and renders them for operators.
    """

    __slots__ = (
        "_registry",
        "_classes",
        "_requests",
        "_refusals",
        "_retries",
        "_in_flight",
        "_copies",
        "_queue_wait",
    )

    def __init__(self, registry: CollectorRegistry) -> None:
        self._registry = registry
        self._classes: frozenset[str] = frozenset()
        self._requests = Counter(
            "geraniumwell_requests",
            "Answered requests by class and outcome.",
            ("class", "outcome"),
            registry=self._registry,
        )
        self._refusals = Counter(
            "geraniumwell_refusals",
            "Answers with a code, by code.",
            ("code",),
            registry=self._registry,
        )
        self._retries = Counter(
            "geraniumwell_retries",
            "Further attempts by the reason of the previous attempt's failure.",
            ("reason",),
            registry=self._registry,
        )
        self._in_flight = Gauge(
            "geraniumwell_attempts_in_flight",
            "Attempts that have not ended.",
            registry=self._registry,
        )
        self._copies = Gauge(
            "geraniumwell_outcome_copies",
            "Outcomes of other daemons' tickets that this daemon keeps.",
            registry=self._registry,
        )
        self._queue_wait = Histogram(
            "geraniumwell_queue_wait_seconds",
            "Time from acceptance to the first attempt, by class.",
            ("class",),
            buckets=WAIT_BUCKETS_SECONDS,
            registry=self._registry,
        )

    def set_classes(self, names: Iterable[str]) -> None:
        """Set the class names that are used as label values."""
        self._classes = frozenset(names)

    def count_answer(self, class_name: str, answer: Answer) -> None:
        """Count the answer to a request; each request is answered once."""
        label = self._label_of(class_name)
        self._requests.labels(label, answer.outcome.value).inc()
        if answer.code is not None:
            self._refusals.labels(answer.code.value).inc()

    def count_refusal(self, code: RefusalCode) -> None:
        """Count a refusal that occurs before the class of a request is known."""
        self._refusals.labels(code.value).inc()

    def count_retry(self, reason: str) -> None:
        """Count a further attempt; ``reason`` names the failure of the previous one."""
        self._retries.labels(reason).inc()

    def observe_queue_wait(self, class_name: str, seconds: float) -> None:
        """Record how long a request waited for its first attempt."""
        self._queue_wait.labels(self._label_of(class_name)).observe(seconds)

    def set_in_flight(self, count: int) -> None:
        """Set the number of attempts that have not ended."""
        self._in_flight.set(count)

    def set_copies(self, count: int) -> None:
        """Set the number of outcomes kept for other daemons."""
        self._copies.set(count)

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self._registry)

    def _label_of(self, class_name: str) -> str:
        return class_name if class_name in self._classes else OTHER_CLASS
