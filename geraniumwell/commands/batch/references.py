"""Expected rates and tails of tasks without a certain neighbour.

Load: some thousand samples a minute; each reference is derived once per evaluation.
"""

from collections import deque
from itertools import islice
from random import Random
from statistics import median, median_high

from geraniumwell.model.batch.interference import Tails, TailSample
from geraniumwell.model.batch.speed import RateSample, SpeedIndex
from geraniumwell.model.batch.unit import StepKey

# Workers with runs of a step, and runs on a worker, without the neighbour that a
# comparison needs. One may be a straggler or report wrong figures; of two workers the
# slower counts, because with the faster one all others would seem disturbed.
MIN_STEP_WORKERS = 2
MIN_WORKER_SAMPLES = 3
MIN_TAIL_WORKERS = 2
# Largest numbers that serve as references: workers in all, workers of a step, samples
# of a worker, workers with tails of a kind, and tails of each. They bound the time of
# an evaluation.
REFERENCE_WORKER_LIMIT = 48
STEP_WORKER_LIMIT = 10
WORKER_SAMPLE_LIMIT = 6
TAIL_WORKER_LIMIT = 8
WORKER_TAIL_LIMIT = 3
# A worker may be slowed for 4 to 10 s whatever runs on it: time between runs that show
# it, the number of runs, and the logarithm of how many times as long they take.
SLOWED_SECONDS = 3.0
MIN_SLOWED_SAMPLES = 2
SLOWED_LAG = 0.4
# No kind has this name, so no run is left out because of its neighbours.
ANY_NEIGHBOUR = ""
# Largest age of a tail that is compared with a new one: the load changes in seconds.
TAIL_SECONDS = 10.0


class RateReferences:
    """Expected rates of runs by step, worker and absent neighbour.

    Parameters
    ----------
    index : SpeedIndex
        Recent rates, and the speeds that were fitted to them.
    workers : set of str
        Workers whose runs are compared.
    now : float
        Present time, which selects the other workers in a large fleet.
    """

    __slots__ = ("_by_step", "_lags", "_samples", "_speeds", "_work", "_worker_speeds")

    def __init__(self, index: SpeedIndex, workers: set[str], now: float) -> None:
        self._speeds = index.speeds
        self._samples = {
            worker: list(index.samples.get(worker, ()))[::-1] for worker in workers
        }
        steps = {
            sample.step for samples in self._samples.values() for sample in samples
        }
        by_step: dict[StepKey, list[RateSample]] = {step: [] for step in steps}
        names = list(index.samples)
        chosen = Random(now).sample(names, min(REFERENCE_WORKER_LIMIT, len(names)))
        for worker in dict.fromkeys(chosen + sorted(workers)):
            for sample in index.samples.get(worker, ()):
                found = by_step.get(sample.step)
                if found is not None:
                    found.append(sample)
        self._by_step = by_step
        self._lags: dict[str, list[tuple[RateSample, float]]] = {}
        self._work: dict[tuple[StepKey, str], float | None] = {}
        self._worker_speeds: dict[tuple[str, str], float | None] = {}

    def find_expected(self, sample: RateSample, other: str) -> float | None:
        """Return the logarithm of the time for one percent without ``other``.

        None if there are too few runs without it.
        """
        work = self._find_work(sample.step, other)
        if work is None:
            return None
        speed = self._find_speed(sample.worker, other)
        return None if speed is None else work - speed

    def _find_work(self, step: StepKey, other: str) -> float | None:
        """Return the work of a step by its runs without ``other``; None if too few."""
        key = (step, other)
        if key not in self._work:
            # One for each worker, whose own speed may be wrong for all of its runs.
            found: dict[str, float] = {}
            for sample in self._by_step.get(step, ()):
                if other not in sample.neighbours:
                    speed = self._speeds.get(sample.worker, 0.0)
                    found[sample.worker] = sample.log_ms + speed
                    if len(found) >= STEP_WORKER_LIMIT:
                        break
            is_enough = len(found) >= MIN_STEP_WORKERS
            self._work[key] = median_high(found.values()) if is_enough else None
        return self._work[key]

    def _find_speed(self, worker: str, other: str) -> float | None:
        """Return the speed of a worker by its runs without ``other``."""
        key = (worker, other)
        if key not in self._worker_speeds:
            found: list[float] = []
            for sample in self._samples[worker]:
                if other in sample.neighbours:
                    continue
                work = self._find_work(sample.step, other)
                if work is not None:
                    found.append(work - sample.log_ms)
                    if len(found) >= WORKER_SAMPLE_LIMIT:
                        break
            is_enough = len(found) >= MIN_WORKER_SAMPLES
            self._worker_speeds[key] = median(found) if is_enough else None
        return self._worker_speeds[key]

    def is_slowed(self, sample: RateSample) -> bool:
        """Return whether the worker of a sample was slowed for all its tasks then.

        The other kinds of runs that it measured in the same seconds are compared with
        all of its runs.
        """
        if sample.worker not in self._lags:
            found = [
                (other, other.log_ms - work)
                for other in self._samples[sample.worker]
                if (work := self._find_work(other.step, ANY_NEIGHBOUR)) is not None
            ]
            usual = median(lag for _, lag in found) if found else 0.0
            self._lags[sample.worker] = [(other, lag - usual) for other, lag in found]
        lags = [
            lag
            for other, lag in self._lags[sample.worker]
            if other.kind != sample.kind
            and abs(other.measured_at - sample.measured_at) <= SLOWED_SECONDS
        ]
        return len(lags) >= MIN_SLOWED_SAMPLES and median(lags) > SLOWED_LAG


class TailReferences:
    """Expected tails of serving tasks by kind, worker and absent neighbour."""

    __slots__ = ("_found", "_now", "_tails")

    def __init__(self, tails: Tails, now: float) -> None:
        self._now = now
        self._tails = tails
        self._found: dict[tuple[str, str], float | None] = {}

    def find_expected(self, sample: TailSample, other: str) -> float | None:
        """Return the logarithm of the usual share of the target without ``other``.

        None if its worker or the other workers have too few tails without it. A slow
        worker would seem disturbed beside the others, and a higher load would beside
        its own earlier tails.
        """
        key = (sample.kind, other)
        if key not in self._found:
            self._found[key] = self._find_usual(sample.kind, other)
        usual = self._found[key]
        own = self._find_median(self._tails[sample.kind][sample.worker], other)
        return None if usual is None or own is None else max(usual, own)

    def _find_usual(self, kind: str, other: str) -> float | None:
        latest = islice(reversed(self._tails[kind].values()), TAIL_WORKER_LIMIT)
        found = [self._find_median(tails, other) for tails in latest]
        shares = [share for share in found if share is not None]
        # The higher one of two: with a lower one all other workers seem disturbed.
        return median_high(shares) if len(shares) >= MIN_TAIL_WORKERS else None

    def _find_median(self, tails: deque[TailSample], other: str) -> float | None:
        shares: list[float] = []
        for tail in reversed(tails):
            if self._now - tail.measured_at > TAIL_SECONDS:
                break
            if other not in tail.neighbours:
                shares.append(tail.log_share)
                if len(shares) >= WORKER_TAIL_LIMIT:
                    break
        return median(shares) if shares else None
