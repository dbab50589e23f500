"""Timeouts of calls, estimated from measured response times."""

# Weights and factor of RFC 6298.
SMOOTHING_WEIGHT = 0.125
DEVIATION_WEIGHT = 0.25
DEVIATION_FACTOR = 4.0
# Responses take about 10 ms, but a slow daemon may process them up to 0.2 s late.
MIN_TIMEOUT_SECONDS = 0.3
MAX_TIMEOUT_SECONDS = 1.0


class TimeoutEstimator:
    """Estimates the timeout of calls to a server, like TCP's retransmission timeout.

    All connections to a server share one estimator. Several threads may update it at
    the same time; a lost update only delays the estimate.
    """

    __slots__ = ("_deviation", "_timeout", "_mean")

    def __init__(self) -> None:
        self._mean: float | None = None
        self._deviation = 0.0
        self._timeout = MAX_TIMEOUT_SECONDS

    @property
    def timeout_seconds(self) -> float:
        """Time after which a response counts as lost."""
        return self._timeout

    def record_answer(self, seconds: float) -> None:
        """Update the estimate with a response that took ``seconds``."""
        if self._mean is None:
            self._mean, self._deviation = seconds, seconds / 2
        else:
            error = abs(self._mean - seconds)
            self._deviation += DEVIATION_WEIGHT * (error - self._deviation)
            self._mean += SMOOTHING_WEIGHT * (seconds - self._mean)
        estimate = self._mean + DEVIATION_FACTOR * self._deviation
        self._timeout = min(MAX_TIMEOUT_SECONDS, max(MIN_TIMEOUT_SECONDS, estimate))

    def record_timeout(self) -> None:
        """Double the timeout, because the server may have become slow."""
        self._timeout = min(MAX_TIMEOUT_SECONDS, 2 * self._timeout)
