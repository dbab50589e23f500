"""Measured rates of runs, and the speeds of workers that are derived from them."""

from collections import deque
from dataclasses import dataclass, field

# Number of samples that are kept of each worker.
SAMPLES_PER_WORKER = 8


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
    """

    step: tuple[str, int, int]
    log_ms: float
    measured_at: float


@dataclass(slots=True)
class SpeedIndex:
    """Recent rates of runs, and the speeds of their workers.

    Parameters
    ----------
    samples : dict
        Latest samples of each worker, by worker name, the oldest first.
    speeds : dict
        Natural logarithm of the speed of each worker with samples, by worker name. Only
        differences between workers have a meaning.
    has_new_samples : bool
        Whether samples were added since the speeds were last derived.
    derived_at : float
        Time at which the speeds were last derived.
    """

    samples: dict[str, deque[RateSample]] = field(default_factory=dict)
    speeds: dict[str, float] = field(default_factory=dict)
    has_new_samples: bool = False
    derived_at: float = 0.0


def add_sample(index: SpeedIndex, worker: str, sample: RateSample) -> None:
    """Add the rate of a run; the oldest sample of the worker may be dropped."""
    samples = index.samples.setdefault(worker, deque(maxlen=SAMPLES_PER_WORKER))
    samples.append(sample)
    index.has_new_samples = True


def forget_worker(index: SpeedIndex, worker: str) -> None:
    """Drop what is known of a worker that left, or whose name another one may have."""
    index.samples.pop(worker, None)
    index.speeds.pop(worker, None)
