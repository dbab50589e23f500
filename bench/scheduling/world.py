"""A full fleet on virtual time, with a backlog of jobs of three queues."""

from dataclasses import dataclass, field
from random import Random

from bench.fleet import SERVICE, WALL_OFFSET_SECONDS, add_workers, apply_started_run
from geraniumwell.commands.batch.ends import apply_report
from geraniumwell.commands.batch.lifecycle import add_job
from geraniumwell.model.batch.catalog import Organisation, Queue, make_catalog
from geraniumwell.model.batch.cluster import BatchPolicy, Cluster, Order, StartTask
from geraniumwell.model.batch.job import JobSpec, StepSpec, TaskId
from geraniumwell.model.batch.resources import Resources
from geraniumwell.model.batch.worker import (
    EndedTask,
    EndKind,
    RunningTask,
    WorkerReport,
)

WORKERS_PER_RACK = 20
CAPACITY = Resources(32_000, 64_000, 8)
# Waiting jobs for each worker; some jobs are gangs of whole workers.
BACKLOG_PER_WORKER = 0.5


@dataclass(slots=True)
class World:
    """A cluster and the times at which its tasks end.

    Parameters
    ----------
    ends : dict
        Time at which each run ends, by worker and task.
    numbers : dict
        Number of the last end that each worker listed.
    """

    random: Random
    size: int
    cluster: Cluster
    now: float = 0.0
    ends: dict[str, dict[TaskId, float]] = field(default_factory=dict)
    numbers: dict[str, int] = field(default_factory=dict)
    jobs: int = 0

    def carry_out(self, orders: list[Order]) -> None:
        """Let all starts succeed and all stops take effect at once."""
        for order in orders:
            if isinstance(order, StartTask):
                apply_started_run(self.cluster, order, self.now)
                seconds = self.random.uniform(1.0, 12.0)
                self.ends[order.worker][order.id] = self.now + seconds
            else:
                self.ends[order.worker][order.id] = self.now

    def find_due(self) -> list[str]:
        """Return the workers on which a run has ended."""
        return [
            name
            for name, ends in self.ends.items()
            if any(at <= self.now for at in ends.values())
        ]

    def make_report(self, name: str) -> WorkerReport:
        """Return what a worker lists now."""
        worker, ends = self.cluster.workers[name], self.ends[name]
        ended: list[EndedTask] = []
        for task_id, at in list(ends.items()):
            task = worker.tasks.get(task_id)
            if task is None:
                del ends[task_id]
            elif at <= self.now:
                del ends[task_id]
                self.numbers[name] += 1
                number = self.numbers[name]
                ended.append(EndedTask(number, task_id, task.run, EndKind.DONE, ""))
        # Progress is told in each report, so that no task seems to stand still.
        percent = int(self.now * 10) % 100
        running = tuple(
            RunningTask(task_id, worker.tasks[task_id].run, "", percent)
            for task_id in ends
        )
        clock_ms = int(1000 + self.now * 1000)
        return WorkerReport(clock_ms, running, tuple(ended), 1)

    def apply(self, name: str, report: WorkerReport) -> list[Order]:
        """Apply a report of a worker."""
        worker = self.cluster.workers[name]
        return apply_report(
            self.cluster,
            worker,
            report,
            self.now,
            self.now,
            WALL_OFFSET_SECONDS + self.now,
        )

    def refill(self) -> None:
        """Submit jobs until the backlog has its size."""
        waiting = sum(not job.has_begun for job in self.cluster.jobs.values())
        for _ in range(int(self.size * BACKLOG_PER_WORKER) - waiting):
            self.jobs += 1
            add_job(self.cluster, self._make_job(), WALL_OFFSET_SECONDS + self.now)

    def _make_job(self) -> JobSpec:
        kind = self.random.choices(("quotes", "renders", "batches"), (5, 2, 2))[0]
        priority = ("quotes", "renders", "batches").index(kind)
        accelerators = 1 if kind == "batches" else self.random.choice((1, 2, 4, 8))
        count = {"quotes": 3, "renders": 12, "batches": 30}[kind]
        is_gang = kind == "renders" and self.random.random() < 0.5
        step = StepSpec(
            count,
            Resources(3_700, 6_000, accelerators),
            6.0,
            is_gang=is_gang,
            is_same_rack=is_gang and self.random.random() < 0.5,
        )
        org = f"org-{self.random.randrange(24)}"
        return JobSpec(
            f"job-{self.jobs}",
            kind,
            org,
            SERVICE,
            priority,
            3,
            "",
            (step,),
            WALL_OFFSET_SECONDS + self.now,
            1.0,
            2.0,
        )


def make_world(size: int, seed: int) -> World:
    """Return a world with ``size`` empty workers that were heard."""
    queues = tuple(
        Queue(name, "host", f"/{name}/", SERVICE, priority, 3, 1.0, 2.0)
        for priority, name in enumerate(("quotes", "renders", "batches"))
    )
    organisations = tuple(
        Organisation(f"org-{number}", frozenset(), size * 8 // 48)
        for number in range(24)
    )
    catalog = make_catalog(1, queues, organisations, 1_000_000)
    world = World(Random(seed), size, Cluster(1, BatchPolicy(), catalog))
    for name in add_workers(world.cluster, size, CAPACITY, WORKERS_PER_RACK):
        world.ends[name] = {}
        world.numbers[name] = 0
    return world
