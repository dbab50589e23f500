"""Kinds of jobs, and a trace of them with bursts."""

from dataclasses import dataclass
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
# A job is worth a share by itself and the rest by its size against the mean.
BASE_WORTH = 0.3
WORTH_LIMIT = 4.0


@dataclass(slots=True, frozen=True)
class Kind:
    """Jobs of one queue.

    Parameters
    ----------
    per_second : float
        Jobs a second on average, outside of bursts.
    worth, late_worth : float
        What a job of mean size earns in time, and up to three times its objective.
    width, widest : float, int
        Tasks of a job on average and at the most.
    work_seconds, spread : float
        Mean length of a task and the spread of a job's own mean.
    accelerators : tuple of int
        Accelerators of a task, each as likely.
    near, saves : float
        Shares of the jobs that want one rack, and whose tasks write checkpoints.
    """

    queue: str
    priority: int
    per_second: float
    worth: float
    late_worth: float
    width: float
    widest: int
    work_seconds: float
    spread: float
    cpu_millis: int
    memory_mb: int
    accelerators: tuple[int, ...]
    is_gang: bool
    near: float
    saves: float
    stretch: float
    target_seconds: float


@dataclass(slots=True, frozen=True)
class Arrival:
    """A job of a trace, and what really happens with it.

    Parameters
    ----------
    seconds : float
        Real length of each of its tasks.
    worth, late_worth : float
        What it earns in time and up to three times its objective.
    """

    at: float
    spec: JobSpec
    seconds: float
    objective: float
    worth: float
    late_worth: float


QUOTES = Kind(
    queue="quotes",
    priority=0,
    per_second=0.954,
    worth=4.0,
    late_worth=0.8,
    width=3.4,
    widest=21,
    work_seconds=2.5,
    spread=0.5,
    cpu_millis=3_700,
    memory_mb=9_800,
    accelerators=(1, 2, 4, 8, 8),
    is_gang=True,
    near=0.8,
    saves=0.0,
    stretch=1.5,
    target_seconds=0.25,
)
RENDERS = Kind(
    queue="renders",
    priority=1,
    per_second=0.392,
    worth=3.0,
    late_worth=0.3,
    width=5.0,
    widest=30,
    work_seconds=6.8,
    spread=0.3,
    cpu_millis=13_000,
    memory_mb=19_000,
    accelerators=(1, 2, 4, 8, 8),
    is_gang=True,
    near=0.6,
    saves=0.45,
    stretch=3.0,
    target_seconds=1.0,
)
BATCHES = Kind(
    queue="batches",
    priority=2,
    per_second=0.295,
    worth=1.0,
    late_worth=0.1,
    width=16.0,
    widest=96,
    work_seconds=7.6,
    spread=0.3,
    cpu_millis=2_800,
    memory_mb=5_700,
    accelerators=(1,),
    is_gang=False,
    near=0.0,
    saves=0.45,
    stretch=3.0,
    target_seconds=3.0,
)
KINDS = (QUOTES, RENDERS, BATCHES)


def draw_lognormal(random: Random, mean: float, spread: float) -> float:
    """Return a positive number with this mean and relative spread."""
    sigma = sqrt(log(1.0 + spread * spread))
    return mean * exp(random.gauss(0.0, sigma) - sigma * sigma / 2)


def make_trace(seed: int, load: float, organisations: int) -> list[Arrival]:
    """Return the jobs of one run in the order of their arrival.

    Parameters
    ----------
    load : float
        Factor of all rates. Each kind has one burst beside it.
    """
    random = Random(seed)
    found: list[Arrival] = []
    for kind in KINDS:
        burst = random.uniform(0.0, TRAFFIC_SECONDS - BURST_SECONDS)
        at = 0.0
        while True:
            is_burst = burst <= at < burst + BURST_SECONDS
            rate = kind.per_second * load * (BURST_FACTOR if is_burst else 1.0)
            at += random.expovariate(rate)
            if at >= TRAFFIC_SECONDS:
                break
            found.append(make_arrival(random, kind, at, len(found), organisations))
    return sorted(found, key=lambda item: item.at)


def make_arrival(
    random: Random, kind: Kind, at: float, number: int, organisations: int
) -> Arrival:
    """Return one job of a kind."""
    width = min(kind.widest, max(1, round(draw_lognormal(random, kind.width, 0.8))))
    seconds = max(0.3, draw_lognormal(random, kind.work_seconds, kind.spread))
    size = random.choice(kind.accelerators)
    step = StepSpec(
        width,
        Resources(kind.cpu_millis, kind.memory_mb, size),
        seconds * random.uniform(0.5, 1.5),
        is_gang=kind.is_gang,
        is_same_rack=random.random() < kind.near,
        has_checkpoints=random.random() < kind.saves,
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
    mean_size = sum(kind.accelerators) / len(kind.accelerators)
    mean_cores = kind.cpu_millis / 1000 + mean_size * CORES_PER_ACCELERATOR
    work = width * seconds * count_cores(step)
    mean = kind.width * kind.work_seconds * mean_cores
    factor = min(WORTH_LIMIT, BASE_WORTH + (1.0 - BASE_WORTH) * work / mean)
    objective = kind.stretch * seconds + kind.target_seconds
    return Arrival(
        at, spec, seconds, objective, kind.worth * factor, kind.late_worth * factor
    )
