"""Simulation of fully used workers on virtual time, with a backlog of jobs."""

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
class SchedulingSimulation:
    """A cluster and the times at which its tasks end.

    Parameters
    ----------
    ends : dict
        Time at which each run ends, by worker and task.
    last_end_numbers : dict
        Number of the last end that each worker reported.
    """

    random: Random
    worker_count: int
    cluster: Cluster
    now: float = 0.0
    ends: dict[str, dict[TaskId, float]] = field(default_factory=dict)
    last_end_numbers: dict[str, int] = field(default_factory=dict)
    job_count: int = 0

    def apply_orders(self, orders: list[Order]) -> None:
        """Apply orders: starts succeed and stops take effect at once."""
        for order in orders:
            if isinstance(order, StartTask):
                apply_started_run(self.cluster, order, self.now)
                seconds = self.random.uniform(1.0, 12.0)
                self.ends[order.worker][order.id] = self.now + seconds
            else:
                self.ends[order.worker][order.id] = self.now

    def list_due_workers(self) -> list[str]:
        """Return the workers on which a run has ended."""
        return [
            name
            for name, ends in self.ends.items()
            if any(at <= self.now for at in ends.values())
        ]

    def make_report(self, name: str) -> WorkerReport:
        """Return the current report of a worker."""
        worker, ends = self.cluster.workers[name], self.ends[name]
        ended: list[EndedTask] = []
        for task_id, at in list(ends.items()):
            task = worker.tasks.get(task_id)
            if task is None:
                del ends[task_id]
            elif at <= self.now:
                del ends[task_id]
                self.last_end_numbers[name] += 1
                number = self.last_end_numbers[name]
                ended.append(EndedTask(number, task_id, task.run, EndKind.DONE, ""))
        # Each report shows other progress, so that no task seems to be stuck.
        percent = int(self.now * 10) % 100
        running = tuple(
            RunningTask(task_id, worker.tasks[task_id].run, "", percent)
            for task_id in ends
        )
        clock_ms = int(1000 + self.now * 1000)
        return WorkerReport(clock_ms, running, tuple(ended), 1)

    def apply_worker_report(self, name: str, report: WorkerReport) -> list[Order]:
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

    def refill_backlog(self) -> None:
        """Submit jobs until the backlog has its intended size."""
        waiting_count = sum(not job.has_begun for job in self.cluster.jobs.values())
        for _ in range(int(self.worker_count * BACKLOG_PER_WORKER) - waiting_count):
            self.job_count += 1
            add_job(self.cluster, self._make_job(), WALL_OFFSET_SECONDS + self.now)

    def _make_job(self) -> JobSpec:
        queue = self.random.choices(("quotes", "renders", "batches"), (5, 2, 2))[0]
        priority = ("quotes", "renders", "batches").index(queue)
        accelerators = 1 if queue == "batches" else self.random.choice((1, 2, 4, 8))
        count = {"quotes": 3, "renders": 12, "batches": 30}[queue]
        is_gang = queue == "renders" and self.random.random() < 0.5
        step = StepSpec(
            count,
            Resources(3_700, 6_000, accelerators),
            6.0,
            is_gang=is_gang,
            is_same_rack=is_gang and self.random.random() < 0.5,
        )
        org = f"org-{self.random.randrange(24)}"
        return JobSpec(
            f"job-{self.job_count}",
            queue,
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


def make_simulation(worker_count: int, seed: int) -> SchedulingSimulation:
    """Return a simulation with idle workers that have answered a poll."""
    queues = tuple(
        Queue(name, "host", f"/{name}/", SERVICE, priority, 3, 1.0, 2.0)
        for priority, name in enumerate(("quotes", "renders", "batches"))
    )
    organisations = tuple(
        Organisation(f"org-{number}", frozenset(), worker_count * 8 // 48)
        for number in range(24)
    )
    catalog = make_catalog(1, queues, organisations, 1_000_000)
    simulation = SchedulingSimulation(
        Random(seed), worker_count, Cluster(1, BatchPolicy(), catalog)
    )
    for name in add_workers(
        simulation.cluster, worker_count, CAPACITY, WORKERS_PER_RACK
    ):
        simulation.ends[name] = {}
        simulation.last_end_numbers[name] = 0
    return simulation
