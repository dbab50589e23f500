"""Measured rates of runs, and the speeds of workers that are derived from them."""

from collections import deque
from dataclasses import dataclass, field

# Number of samples that are kept. It covers some runs on each of some hundred workers.
SAMPLE_LIMIT = 2_000


@dataclass(slots=True, frozen=True)
class RateSample:
    """Measured rate of one run.

    Parameters
    ----------
    step : tuple
        Job, occurrence and number of the step.
    log_ms : float
        Natural logarithm of the milliseconds that one percent took.
    measured_at : float
        Monotonic time of the report.
    kind : str
        Kind of the task.
    neighbours : frozenset of str
        Kinds of the tasks that worked beside the run while it was measured.
    """

    step: tuple[str, int, int]
    worker: str
    log_ms: float
    measured_at: float
    kind: str = ""
    neighbours: frozenset[str] = frozenset()


@dataclass(slots=True)
class SpeedIndex:
    """Recent rates of runs, and the speeds of their workers.

    Parameters
    ----------
    speeds : dict
        Natural logarithm of the speed of each worker with samples, by worker name. Only
        differences between workers have a meaning.
    counts : dict
        Number of samples of each of these workers.
    has_new_samples : bool
        Whether samples were added since the speeds were last derived.
    derived_at : float
        Time at which the speeds were last derived.
    """

    samples: deque[RateSample] = field(
        default_factory=lambda: deque(maxlen=SAMPLE_LIMIT)
    )
    speeds: dict[str, float] = field(default_factory=dict)
    counts: dict[str, int] = field(default_factory=dict)
    has_new_samples: bool = False
    derived_at: float = 0.0
