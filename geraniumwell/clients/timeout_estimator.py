"""Time limits of calls that follow how long answers take."""

# RFC 6298 gives the weights and the factor of the deviation.
SMOOTHING_WEIGHT = 0.125
DEVIATION_WEIGHT = 0.25
DEVIATION_FACTOR = 4.0
# Answers take some 10 ms; a daemon that is slow itself may be late by 0.2 s.
SHORTEST_SECONDS = 0.3
LONGEST_SECONDS = 1.0


class TimeoutEstimator:
    """Estimates how long to wait for an answer, as TCP does for its acknowledgements.

    One server has one timer, which all connections to it share. Threads may update it
    at the same time; a lost update only delays the estimate.
    """

    __slots__ = ("_deviation", "_limit", "_mean")

    def __init__(self) -> None:
        self._mean: float | None = None
        self._deviation = 0.0
        self._limit = LONGEST_SECONDS

    @property
    def timeout_seconds(self) -> float:
        """Time after which an answer is taken as lost."""
        return self._limit

    def record_answer(self, seconds: float) -> None:
        """Take account of an answer that came after ``seconds``."""
        if self._mean is None:
            self._mean, self._deviation = seconds, seconds / 2
        else:
            error = abs(self._mean - seconds)
            self._deviation += DEVIATION_WEIGHT * (error - self._deviation)
            self._mean += SMOOTHING_WEIGHT * (seconds - self._mean)
        wanted = self._mean + DEVIATION_FACTOR * self._deviation
        self._limit = min(LONGEST_SECONDS, max(SHORTEST_SECONDS, wanted))

    def record_timeout(self) -> None:
        """Wait twice as long from now on; the server may have become slow."""
        self._limit = min(LONGEST_SECONDS, 2 * self._limit)
