"""Reproducible random traces of jobs."""

from dataclasses import dataclass
from random import Random

from bench.gangs.sizes import DATA_CENTRE, HOUR_SECONDS, Size, make_guarantees
from geraniumwell.model.job import (
    Checkpointable,
    Interruption,
    Job,
    SameDataCentre,
    SameRack,
    SameWorker,
    Shape,
    Stoppable,
    Uninterruptible,
)

STRAGGLER_SHARE = 0.05
STRAGGLER_FACTOR = 20.0
UNPLACEABLE_SHARE = 0.03
URGENT_SHARE = 0.04
# Standard deviation of the logarithm of declared over true run time: 1 in 20 is off
# by more than a factor of 7.
DECLARED_SIGMA = 1.0
RUN_TIME_SIGMA = 0.9
# (weight, shape) of ordinary jobs; large ones are rare but use many accelerators.
SHAPES = (
    (30, Shape(1, 1, 2, 8)),
    (22, Shape(1, 2, 4, 16, SameWorker())),
    (16, Shape(1, 4, 4, 16, SameWorker())),
    (12, Shape(1, 8, 8, 32, SameWorker())),
    (8, Shape(4, 2, 2, 8)),
    (6, Shape(2, 8, 8, 32, SameRack())),
    (4, Shape(4, 8, 8, 32, SameRack())),
    (2, Shape(16, 1, 2, 8)),
)
FILLER_SHAPE = Shape(64, 0, 1, 2, SameDataCentre())
UNPLACEABLE_SHAPES = (
    Shape(1, 16, 4, 16, SameWorker()),
    Shape(9, 8, 8, 32, SameRack()),
    Shape(1, 3, 4, 16),
    Shape(1, 1, 4096, 16),
)


@dataclass(slots=True, frozen=True)
class TraceJob:
    """A job with its true run time and, for a few jobs, the time of a cancellation."""

    job: Job
    true_seconds: float
    cancel_at: float | None = None


class TraceBuilder:
    """Draws the random jobs of one trace."""

    __slots__ = ("count", "jobs", "rng", "size")

    def __init__(self, size: Size, seed: int) -> None:
        self.size = size
        self.rng = Random(f"{size.name}/{seed}")
        self.jobs: list[TraceJob] = []
        self.count = 0

    def add_job(
        self,
        at: float,
        shape: Shape,
        seconds: float,
        interruption: Interruption,
        organisation: str,
        urgent: bool = False,
        guaranteed: bool = False,
    ) -> None:
        """Add one job; its declared run time deviates widely from the true one."""
        self.count += 1
        declared_seconds = max(
            5.0, seconds * self.rng.lognormvariate(0.0, DECLARED_SIGMA)
        )
        if self.rng.random() < STRAGGLER_SHARE and not guaranteed:
            seconds *= STRAGGLER_FACTOR
        job = Job(
            f"j{self.count:05d}",
            organisation,
            DATA_CENTRE,
            shape,
            declared_seconds,
            interruption,
            at,
            urgent,
            guaranteed,
        )
        self.jobs.append(TraceJob(job, seconds))

    def add_ordinary_job(self, at: float, shape: Shape | None = None) -> None:
        """Add a job of the ordinary mix, or of a given shape."""
        rng = self.rng
        if shape is None:
            weights = [weight for weight, _ in SHAPES]
            shape = rng.choices([s for _, s in SHAPES], weights)[0]
            if rng.random() < UNPLACEABLE_SHARE:
                shape = rng.choice(UNPLACEABLE_SHAPES)
        seconds = rng.lognormvariate(0.0, RUN_TIME_SIGMA) * self.size.median_seconds
        urgent = rng.random() < URGENT_SHARE and shape.members == 1
        self.add_job(
            at,
            shape,
            seconds,
            self.draw_interruption(),
            self.draw_organisation(),
            urgent,
        )

    def draw_organisation(self) -> str:
        """Return a random organisation; a few submit most of the jobs."""
        count = self.size.organisations
        return f"org{int(count * self.rng.random() ** 2):02d}"

    def draw_interruption(self) -> Interruption:
        """Return how a job may be interrupted."""
        draw = self.rng.random()
        if draw < 0.55:
            return Checkpointable(self.rng.uniform(0.5, 1.8))
        if draw < 0.70:
            return Checkpointable(self.rng.uniform(10.0, 60.0))
        return Stoppable(1.0) if draw < 0.85 else Uninterruptible()

    def add_claims(self, end: float) -> None:
        """Add guarantee claims; a copy is claimed again well after its last use."""
        for guarantee in make_guarantees(self.size).values():
            for _ in range(guarantee.count):
                at = self.rng.uniform(0.05, 0.4) * end
                while at < end:
                    seconds = self.rng.uniform(300.0, HOUR_SECONDS)
                    self.add_job(
                        at,
                        guarantee.shape,
                        seconds,
                        Checkpointable(1.5),
                        guarantee.organisation,
                        guaranteed=True,
                    )
                    at += seconds + self.rng.uniform(0.15, 0.5) * end


def make_trace(size: Size, seed: int) -> list[TraceJob]:
    """Return the jobs of a trace in the order of submission."""
    builder = TraceBuilder(size, seed)
    rng = builder.rng
    end = size.hours * HOUR_SECONDS
    for _ in range(size.filler_gangs):
        seconds = rng.uniform(0.5, 2.0) * end
        organisation = builder.draw_organisation()
        builder.add_job(0.0, FILLER_SHAPE, seconds, Checkpointable(1.0), organisation)
    add_steady_load(builder, end)
    add_bursts(builder, end)
    builder.add_claims(end)
    return cancel_in_waves(builder, end)


def add_steady_load(builder: TraceBuilder, end: float) -> None:
    """Add jobs at random times until they offer four fifths of the load."""
    size = builder.size
    capacity = size.accelerator_workers * 8 * end
    offered = 0.0
    while offered < size.load * capacity * 0.8:
        builder.add_ordinary_job(builder.rng.uniform(0.0, end))
        last = builder.jobs[-1]
        offered += find_offered_work(last, end)


def add_bursts(builder: TraceBuilder, end: float) -> None:
    """Add two bursts of small jobs and two of large ones, a fifth of the load."""
    capacity = builder.size.accelerator_workers * 8 * end
    small, large = Shape(1, 1, 2, 8), Shape(4, 8, 8, 32, SameRack())
    for shape, at in ((small, 0.2), (large, 0.35), (small, 0.6), (large, 0.75)):
        offered = 0.0
        while offered < builder.size.load * capacity * 0.05:
            submitted_at = at * end + builder.rng.uniform(0.0, 60.0)
            builder.add_ordinary_job(submitted_at, shape)
            offered += find_offered_work(builder.jobs[-1], end)


def find_offered_work(trace_job: TraceJob, end: float) -> float:
    """Return the accelerator seconds that a job could use until the trace ends."""
    shape = trace_job.job.shape
    if shape in UNPLACEABLE_SHAPES:
        return 0.0
    seconds = min(trace_job.true_seconds, max(0.0, end - trace_job.job.submitted_at))
    return seconds * shape.members * shape.accelerators


def cancel_in_waves(builder: TraceBuilder, end: float) -> list[TraceJob]:
    """Cancel a third of the recently submitted jobs at two points in time."""
    jobs: list[TraceJob] = []
    waves = (0.45 * end, 0.8 * end)
    for trace_job in sorted(
        builder.jobs, key=lambda e: (e.job.submitted_at, e.job.job_id)
    ):
        at = trace_job.job.submitted_at
        wave = next((w for w in waves if w - 0.04 * end < at <= w), None)
        is_cancelled = wave is not None and builder.rng.random() < 0.33
        if is_cancelled and not trace_job.job.guaranteed:
            trace_job = TraceJob(trace_job.job, trace_job.true_seconds, wave)
        jobs.append(trace_job)
    return jobs
