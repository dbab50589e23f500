"""Estimates the speeds of workers from reported progress, and finds slow workers.

Load: gangs and urgent jobs on a fleet of uneven workers. A gang takes as long as its
slowest member, so one slow worker makes it miss its objective.

The logarithm of the time that one percent of a run takes is the work of its step less
the speed of its worker. Both are fitted in turn, because tasks of a step are alike and
the estimates of their run times are too inaccurate. Both are medians, which stragglers
hardly affect.
"""

from collections import defaultdict
from math import exp, log, sqrt
from statistics import median

from geraniumwell.commands.batch.lifecycle import find_step_run
from geraniumwell.commands.batch.progress import FINISHED_PERCENT, find_percent_ms
from geraniumwell.model.batch.capacity import Pool
from geraniumwell.model.batch.cluster import Cluster
from geraniumwell.model.batch.job import Task
from geraniumwell.model.batch.speed import (
    RateSample,
    SpeedIndex,
    add_sample,
    forget_worker,
)
from geraniumwell.model.batch.unit import StepKey, Unit
from geraniumwell.model.batch.worker import Worker

# Variance of the logarithm of one sample: tasks of a step differ by up to 30 percent.
SAMPLE_VARIANCE = 0.09
# Variance of the logarithm of the speed of an unknown worker.
WORKER_VARIANCE = 0.16
# Number of samples that the assumption of an ordinary speed counts as.
PRIOR_SAMPLES = SAMPLE_VARIANCE / WORKER_VARIANCE
# Time after which a sample no longer counts. A worker may be slowed for seconds.
SAMPLE_SECONDS = 60.0
# Largest deviation that counts: stragglers take many times as long as other tasks.
DEVIATION_LIMIT = 1.0
# Each fit starts from the last one, so few iterations are enough.
FIT_ITERATIONS = 2
# Percentage of a task over which its rate is measured; reports are in whole percent.
MIN_SAMPLE_PERCENT = 20
# A single sample of a worker may be that of a straggler.
MIN_SAMPLES = 2
# Speed relative to the median of the pool below which a worker is slow.
SLOW_SHARE = 0.75
# Number of standard deviations by which its speed has to be below the median.
SLOW_CONFIDENCE = 1.5
# The speeds change slowly compared with planning rounds.
DERIVE_SECONDS = 1.0
# Estimated run times are too short by up to half.
ESTIMATE_MARGIN = 1.5


def record_progress(
    cluster: Cluster, worker: Worker, task: Task, percent: int, now: float
) -> None:
    """Record a changed percentage of a run, and measure its rate once per run.

    The report that ``worker.clock_ms`` belongs to lists ``percent`` for the run.
    """
    task.progress, task.progressed_at = percent, now
    task.progressed_clock_ms = worker.clock_ms
    if task.base_clock_ms is None:
        # Before that, a gang may still be waiting for its other members.
        if percent > 0:
            task.base_progress, task.base_clock_ms = percent, worker.clock_ms
        return
    # A finished member reached 100 percent at an unknown time before the report.
    if task.has_speed_sample or percent >= FINISHED_PERCENT:
        return
    if percent - task.base_progress < MIN_SAMPLE_PERCENT:
        return
    percent_ms = find_percent_ms(task)
    key = (task.id.job, task.id.occurrence, task.id.step)
    # A stopping task of a removed job may still be reported.
    step = find_step_run(cluster, key)
    if step is None or percent_ms is None or step.spec.is_long_running:
        return
    task.has_speed_sample = True
    add_sample(cluster.speeds, worker.entry.id, RateSample(key, log(percent_ms), now))


def refresh_slow_workers(cluster: Cluster, now: float) -> None:
    """Derive the speeds and the slow workers of each pool again, if that is due."""
    index = cluster.speeds
    if now < index.derived_at + DERIVE_SECONDS:
        return
    index.derived_at = now
    if drop_old_samples(index, now) or index.has_new_samples:
        derive_speeds(index)
    for pool in cluster.fleet.pools.values():
        slow, factor = find_slow_workers(pool, index)
        if slow != pool.slow_workers:
            pool.slow_workers = slow
            # The headroom is chosen among workers that are not slow.
            pool.is_stale = True
        pool.slow_factor = factor


def drop_old_samples(index: SpeedIndex, now: float) -> bool:
    """Drop the samples that no longer count; return whether there were any."""
    is_changed = False
    for worker, samples in list(index.samples.items()):
        while samples and now - samples[0].measured_at > SAMPLE_SECONDS:
            samples.popleft()
            is_changed = True
        if not samples:
            forget_worker(index, worker)
    return is_changed


def derive_speeds(index: SpeedIndex) -> None:
    """Fit the speeds of all workers with samples."""
    index.has_new_samples = False
    by_step: dict[StepKey, list[tuple[str, float]]] = defaultdict(list)
    for worker, samples in index.samples.items():
        for sample in samples:
            by_step[sample.step].append((worker, sample.log_ms))
    earlier = {worker: index.speeds.get(worker, 0.0) for worker in index.samples}
    speeds = earlier
    for _ in range(FIT_ITERATIONS):
        deviations: dict[str, list[float]] = defaultdict(list)
        for pairs in by_step.values():
            work = median(log_ms + speeds[worker] for worker, log_ms in pairs)
            for worker, log_ms in pairs:
                limited = max(-DEVIATION_LIMIT, min(DEVIATION_LIMIT, work - log_ms))
                deviations[worker].append(limited)
        # The earlier estimate stands for the prior: steps that ran on workers of one
        # kind only say nothing about the difference to others.
        speeds = {
            worker: (median(found) * len(found) + earlier[worker] * PRIOR_SAMPLES)
            / (len(found) + PRIOR_SAMPLES)
            for worker, found in deviations.items()
        }
    index.speeds = speeds


def find_slow_workers(pool: Pool, index: SpeedIndex) -> tuple[frozenset[str], float]:
    """Return the slow workers of a pool, and how many times as long they take."""
    speeds = {
        name: index.speeds[name] for name in pool.capacities if name in index.speeds
    }
    if not speeds:
        return frozenset(), 1.0
    usual_speed = median(speeds.values())
    lags: dict[str, float] = {}
    for name, speed in speeds.items():
        count = len(index.samples[name])
        uncertainty = sqrt(SAMPLE_VARIANCE / (count + PRIOR_SAMPLES))
        threshold = max(-log(SLOW_SHARE), SLOW_CONFIDENCE * uncertainty)
        if count >= MIN_SAMPLES and usual_speed - speed > threshold:
            lags[name] = usual_speed - speed
    if not lags:
        return frozenset(), 1.0
    return frozenset(lags), exp(median(lags.values()))


def can_afford_slow_worker(pool: Pool, unit: Unit, wall_now: float) -> bool:
    """Return whether a unit loses nothing on a slow worker.

    It still meets its objective there, or its result has no value any more.
    """
    if wall_now > unit.expires_at:
        return True
    needed = unit.spec.estimate_seconds * ESTIMATE_MARGIN * pool.slow_factor
    return wall_now + needed <= unit.objective
