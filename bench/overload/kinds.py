"""Kinds of jobs, and random traces of them with bursts."""

from dataclasses import dataclass, replace
from math import exp, log, sqrt
from random import Random

from bench.fleet import SERVICE, WALL_OFFSET_SECONDS
from geraniumwell.commands.batch.preemption import CORES_PER_ACCELERATOR, count_cores
from geraniumwell.model.batch.job import JobSpec, StepSpec
from geraniumwell.model.batch.resources import Resources

TRAFFIC_SECONDS = 55.0
BURST_SECONDS = 6.0
BURST_FACTOR = 2.2
MAX_ATTEMPTS = 3
# Part of a job's value that does not depend on its size; the rest is proportional to
# its work relative to the mean.
BASE_VALUE = 0.3
MAX_VALUE_FACTOR = 4.0


@dataclass(slots=True, frozen=True)
class JobKind:
    """Jobs of one queue.

    Parameters
    ----------
    per_second : float
        Mean arrival rate outside of bursts.
    value, late_value : float
        What a job of mean size earns within its objective, and within three times its
        objective.
    mean_tasks, max_tasks : float, int
        Mean and greatest number of tasks of a job.
    mean_task_seconds, spread : float
        Mean run time of a task, and its relative spread over the jobs.
    accelerators : tuple of int
        Accelerators of a task; each entry is equally likely.
    same_rack_share, checkpoint_share : float
        Shares of the jobs that ask for one rack, and whose tasks write checkpoints.
    """

    queue: str
    priority: int
    per_second: float
    value: float
    late_value: float
    mean_tasks: float
    max_tasks: int
    mean_task_seconds: float
    spread: float
    cpu_millis: int
    memory_mb: int
    accelerators: tuple[int, ...]
    is_gang: bool
    same_rack_share: float
    checkpoint_share: float
    stretch: float
    target_seconds: float


@dataclass(slots=True, frozen=True)
class Arrival:
    """A job of a trace with its true run time and its value.

    Parameters
    ----------
    task_seconds : float
        True run time of each of its tasks.
    value, late_value : float
        What it earns within its objective, and within three times its objective.
    """

    at: float
    spec: JobSpec
    task_seconds: float
    objective_seconds: float
    value: float
    late_value: float


QUOTES = JobKind(
    queue="quotes",
    priority=0,
    per_second=0.954,
    value=4.0,
    late_value=0.8,
    mean_tasks=3.4,
    max_tasks=21,
    mean_task_seconds=2.5,
    spread=0.5,
    cpu_millis=3_700,
    memory_mb=9_800,
    accelerators=(1, 2, 4, 8, 8),
    is_gang=True,
    same_rack_share=0.8,
    checkpoint_share=0.0,
    stretch=1.5,
    target_seconds=0.25,
)
RENDERS = JobKind(
    queue="renders",
    priority=1,
    per_second=0.392,
    value=3.0,
    late_value=0.3,
    mean_tasks=5.0,
    max_tasks=30,
    mean_task_seconds=6.8,
    spread=0.3,
    cpu_millis=13_000,
    memory_mb=19_000,
    accelerators=(1, 2, 4, 8, 8),
    is_gang=True,
    same_rack_share=0.6,
    checkpoint_share=0.45,
    stretch=3.0,
    target_seconds=1.0,
)
BATCHES = JobKind(
    queue="batches",
    priority=2,
    per_second=0.295,
    value=1.0,
    late_value=0.1,
    mean_tasks=16.0,
    max_tasks=96,
    mean_task_seconds=7.6,
    spread=0.3,
    cpu_millis=2_800,
    memory_mb=5_700,
    accelerators=(1,),
    is_gang=False,
    same_rack_share=0.0,
    checkpoint_share=0.45,
    stretch=3.0,
    target_seconds=3.0,
)


@dataclass(slots=True, frozen=True)
class Fleet:
    """A fleet of workers and the load that it gets.

    Parameters
    ----------
    speeds : tuple of float
        Speeds of the workers, by turns.
    guaranteed_share : float
        Guaranteed part of all accelerators, divided equally among the organisations.
    """

    kinds: tuple[JobKind, ...]
    workers: int
    workers_per_rack: int
    capacity: Resources
    data_centres: int = 1
    speeds: tuple[float, ...] = (1.0,)
    organisations: int = 4
    guaranteed_share: float = 0.5


SMALL = Fleet((QUOTES, RENDERS, BATCHES), 24, 8, Resources(32_000, 128_000, 8))
# Callers that compete for too little capacity at times.
COMPETING = Fleet(
    (
        replace(QUOTES, per_second=2.85, mean_tasks=5.4, max_tasks=32, memory_mb=7_600),
        replace(
            RENDERS, per_second=1.05, late_value=0.9, mean_tasks=13.0, max_tasks=78
        ),
        replace(
            BATCHES,
            per_second=0.66 * 1.3,
            late_value=0.3,
            mean_tasks=39.0,
            max_tasks=230,
            mean_task_seconds=9.5,
        ),
    ),
    176,
    8,
    Resources(32_000, 65_536, 8),
    data_centres=3,
    speeds=(0.8, 1.0, 1.25),
    organisations=10,
    guaranteed_share=0.62,
)
# A quarter of the workers is much slower than the others.
UNEVEN = Fleet(
    (
        replace(
            QUOTES,
            per_second=3.87,
            mean_task_seconds=2.1,
            mean_tasks=5.4,
            max_tasks=32,
            cpu_millis=15_000,
            memory_mb=22_000,
        ),
        replace(
            RENDERS,
            per_second=0.91,
            late_value=0.9,
            mean_task_seconds=7.2,
            mean_tasks=13.0,
            max_tasks=78,
            cpu_millis=52_000,
            memory_mb=75_000,
        ),
        replace(
            BATCHES,
            per_second=1.12 * 1.3,
            late_value=0.3,
            mean_tasks=39.0,
            max_tasks=230,
            mean_task_seconds=5.2,
            cpu_millis=11_000,
            memory_mb=16_000,
        ),
    ),
    176,
    20,
    Resources(128_000, 262_144, 8),
    data_centres=4,
    speeds=(0.55, 1.2, 1.2, 1.2),
    organisations=10,
    guaranteed_share=0.62,
)
FLEETS = {"small": SMALL, "competing": COMPETING, "uneven": UNEVEN}


def draw_lognormal(random: Random, mean: float, spread: float) -> float:
    """Return a log-normal number with this mean and relative spread."""
    sigma = sqrt(log(1.0 + spread * spread))
    return mean * exp(random.gauss(0.0, sigma) - sigma * sigma / 2)


def make_trace(seed: int, load: float, fleet: Fleet) -> list[Arrival]:
    """Return the jobs of one run in the order of their arrival.

    Parameters
    ----------
    load : float
        Factor of all arrival rates. Each kind also has one burst.
    """
    random = Random(seed)
    arrivals: list[Arrival] = []
    for kind in fleet.kinds:
        burst = random.uniform(0.0, TRAFFIC_SECONDS - BURST_SECONDS)
        at = 0.0
        while True:
            is_burst = burst <= at < burst + BURST_SECONDS
            rate = kind.per_second * load * (BURST_FACTOR if is_burst else 1.0)
            at += random.expovariate(rate)
            if at >= TRAFFIC_SECONDS:
                break
            arrivals.append(
                make_arrival(random, kind, at, len(arrivals), fleet.organisations)
            )
    return sorted(arrivals, key=lambda arrival: arrival.at)


def make_arrival(
    random: Random, kind: JobKind, at: float, number: int, organisations: int
) -> Arrival:
    """Return one job of a kind."""
    task_count = min(
        kind.max_tasks, max(1, round(draw_lognormal(random, kind.mean_tasks, 0.8)))
    )
    task_seconds = max(0.3, draw_lognormal(random, kind.mean_task_seconds, kind.spread))
    accelerators = random.choice(kind.accelerators)
    step = StepSpec(
        task_count,
        Resources(kind.cpu_millis, kind.memory_mb, accelerators),
        task_seconds * random.uniform(0.5, 1.5),
        is_gang=kind.is_gang,
        is_same_rack=random.random() < kind.same_rack_share,
        has_checkpoints=random.random() < kind.checkpoint_share,
    )
    spec = JobSpec(
        id=f"{number:016x}",
        queue=kind.queue,
        organisation=f"org-{random.randrange(organisations)}",
        service=SERVICE,
        priority=kind.priority,
        max_attempts=MAX_ATTEMPTS,
        payload="",
        steps=(step,),
        accepted_at=WALL_OFFSET_SECONDS + at,
        target_seconds=kind.target_seconds,
        stretch=kind.stretch,
    )
    mean_accelerators = sum(kind.accelerators) / len(kind.accelerators)
    mean_cores = kind.cpu_millis / 1000 + mean_accelerators * CORES_PER_ACCELERATOR
    core_seconds = task_count * task_seconds * count_cores(step)
    mean = kind.mean_tasks * kind.mean_task_seconds * mean_cores
    factor = min(
        MAX_VALUE_FACTOR, BASE_VALUE + (1.0 - BASE_VALUE) * core_seconds / mean
    )
    objective_seconds = kind.stretch * task_seconds + kind.target_seconds
    return Arrival(
        at,
        spec,
        task_seconds,
        objective_seconds,
        kind.value * factor,
        kind.late_value * factor,
    )
