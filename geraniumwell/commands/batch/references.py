"""Expected rates and tails of tasks without a certain neighbour.

Load: some thousand samples a minute; each reference is derived once per evaluation.
"""

from collections import defaultdict
from collections.abc import Iterable
from statistics import median, median_high

from geraniumwell.model.batch.interference import TailSample
from geraniumwell.model.batch.speed import RateSample, SpeedIndex
from geraniumwell.model.batch.unit import StepKey

# Workers with runs of a step, and runs on a worker, without the neighbour that a
# comparison needs. One may be a straggler or report wrong figures; of two workers the
# slower counts, because with the faster one all others would seem disturbed.
MIN_STEP_WORKERS = 2
MIN_WORKER_SAMPLES = 3
MIN_TAIL_WORKERS = 2
# Largest age of a tail that is compared with a new one: the load changes in seconds.
TAIL_SECONDS = 10.0


class RateReferences:
    """Expected rates of runs by step, worker and absent neighbour.

    Parameters
    ----------
    index : SpeedIndex
        Recent rates, and the speeds that were fitted to them.
    """

    __slots__ = ("_by_step", "_by_worker", "_speeds", "_work", "_worker_speeds")

    def __init__(self, index: SpeedIndex) -> None:
        self._speeds = index.speeds
        self._by_step: dict[StepKey, list[RateSample]] = defaultdict(list)
        self._by_worker: dict[str, list[RateSample]] = defaultdict(list)
        for worker, samples in index.samples.items():
            self._by_worker[worker] = list(samples)
            for sample in samples:
                self._by_step[sample.step].append(sample)
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
            found = {
                sample.worker: sample.log_ms + self._speeds.get(sample.worker, 0.0)
                for sample in self._by_step[step]
                if other not in sample.neighbours
            }
            is_enough = len(found) >= MIN_STEP_WORKERS
            self._work[key] = median_high(found.values()) if is_enough else None
        return self._work[key]

    def _find_speed(self, worker: str, other: str) -> float | None:
        """Return the speed of a worker by its runs without ``other``."""
        key = (worker, other)
        if key not in self._worker_speeds:
            found = [
                work - sample.log_ms
                for sample in self._by_worker[worker]
                if other not in sample.neighbours
                and (work := self._find_work(sample.step, other)) is not None
            ]
            is_enough = len(found) >= MIN_WORKER_SAMPLES
            self._worker_speeds[key] = median(found) if is_enough else None
        return self._worker_speeds[key]


class TailReferences:
    """Expected tails of serving tasks by kind and absent neighbour."""

    __slots__ = ("_by_kind", "_found")

    def __init__(self, samples: Iterable[TailSample], now: float) -> None:
        self._by_kind: dict[str, list[TailSample]] = defaultdict(list)
        for sample in samples:
            if now - sample.measured_at <= TAIL_SECONDS:
                self._by_kind[sample.kind].append(sample)
        self._found: dict[tuple[str, str], float | None] = {}

    def find_expected(self, sample: TailSample, other: str) -> float | None:
        """Return the logarithm of the usual share of the target without ``other``."""
        key = (sample.kind, other)
        if key not in self._found:
            tails: dict[str, list[float]] = defaultdict(list)
            for item in self._by_kind[sample.kind]:
                if other not in item.neighbours:
                    tails[item.worker].append(item.log_share)
            # The higher one of two: with a lower one all other workers seem disturbed.
            self._found[key] = (
                median_high(median(shares) for shares in tails.values())
                if len(tails) >= MIN_TAIL_WORKERS
                else None
            )
        return self._found[key]
