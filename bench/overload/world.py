"""Sound workers on virtual time, for traces of jobs."""

from dataclasses import dataclass, field
from math import inf

from bench.fleet import SERVICE, WALL_OFFSET_SECONDS, add_workers, apply_started_run
from bench.overload.kinds import KINDS, MAX_ATTEMPTS, Arrival
from geraniumwell.commands.batch.answers import is_start_wanted
from geraniumwell.commands.batch.ends import apply_report
from geraniumwell.commands.batch.lifecycle import add_job
from geraniumwell.commands.batch.planning import plan
from geraniumwell.commands.batch.preemption import count_cores
from geraniumwell.model.batch.catalog import Organisation, Queue, make_catalog
from geraniumwell.model.batch.cluster import BatchPolicy, Cluster, Order, StartTask
from geraniumwell.model.batch.job import ENDED_STATES, JobState, TaskId
from geraniumwell.model.batch.resources import Resources
from geraniumwell.model.batch.worker import (
    EndedTask,
    EndKind,
    RunningTask,
    WorkerReport,
)

STEP_SECONDS = 0.05
LIMIT_SECONDS = 300.0
STOP_SECONDS = 0.3
RESTORE_SECONDS = 0.4
WORKERS = 24
WORKERS_PER_RACK = 8
ORGANISATIONS = 4
# Half of all accelerators are guaranteed, in equal parts.
GUARANTEED_SHARE = 0.5
CAPACITY = Resources(32_000, 128_000, 8)


@dataclass(slots=True)
class Run:
    """A run on a worker.

    Parameters
    ----------
    left : float
        Seconds of work that are left at full speed.
    speed : float
        Share of full speed; lower where a gang runs over several racks.
    """

    id: TaskId
    number: int
    left: float
    speed: float
    resume_at: float
    stops_at: float = inf


@dataclass(slots=True)
class World:
    """A cluster whose workers do what they are told.

    Parameters
    ----------
    saved : dict
        Seconds of work that a task's checkpoint holds.
    wasted : float
        Core-seconds of work that were stopped and not saved.
    """

    cluster: Cluster
    arrivals: dict[str, Arrival]
    runs: dict[str, dict[TaskId, Run]]
    now: float = 0.0
    numbers: dict[str, int] = field(default_factory=dict)
    saved: dict[TaskId, float] = field(default_factory=dict)
    wasted: float = 0.0

    def play(self, trace: list[Arrival]) -> None:
        """Play until all jobs have ended."""
        waiting = list(reversed(trace))
        while self.now < LIMIT_SECONDS:
            self.now += STEP_SECONDS
            while waiting and waiting[-1].at <= self.now:
                add_job(
                    self.cluster, waiting.pop().spec, WALL_OFFSET_SECONDS + self.now
                )
            for name in self.runs:
                self._report(name)
            self._carry_out(
                plan(self.cluster, self.now, WALL_OFFSET_SECONDS + self.now)
            )
            jobs = self.cluster.jobs.values()
            if not waiting and all(job.state in ENDED_STATES for job in jobs):
                return

    def find_done_at(self, job_id: str) -> float:
        """Return the time at which a job was done; infinite if it was not."""
        job = self.cluster.jobs[job_id]
        return job.ended_at - WALL_OFFSET_SECONDS if job.state is JobState.DONE else inf

    def _carry_out(self, orders: list[Order]) -> None:
        starts = [order for order in orders if isinstance(order, StartTask)]
        for order in orders:
            if not isinstance(order, StartTask):
                run = self.runs[order.worker].get(order.id)
                if run is not None and run.stops_at == inf:
                    run.stops_at = self.now + STOP_SECONDS
        speeds = self._find_speeds(starts)
        for order in starts:
            if is_start_wanted(self.cluster, order):
                self._start(order, speeds[order.id])

    def _find_speeds(self, starts: list[StartTask]) -> dict[TaskId, float]:
        racks: dict[str, set[str]] = {}
        for order in starts:
            rack = self.cluster.workers[order.worker].entry.rack
            racks.setdefault(order.id.job, set()).add(rack)
        return {
            order.id: 1.0 / self.cluster.policy.far_factor
            if self.arrivals[order.id.job].spec.steps[0].is_same_rack
            and len(racks[order.id.job]) > 1
            else 1.0
            for order in starts
        }

    def _start(self, order: StartTask, speed: float) -> None:
        apply_started_run(self.cluster, order, self.now)
        arrival = self.arrivals[order.id.job]
        saved = self.saved.get(order.id, 0.0) if order.checkpoint else 0.0
        resume_at = self.now + (RESTORE_SECONDS if saved else 0.0)
        left = arrival.seconds - saved
        run = Run(order.id, order.run, left, speed, resume_at)
        self.runs[order.worker][order.id] = run

    def _report(self, name: str) -> None:
        runs, worker = self.runs[name], self.cluster.workers[name]
        ended: list[EndedTask] = []
        for run in list(runs.values()):
            if self.now > run.resume_at:
                run.left -= STEP_SECONDS * run.speed
            kind = None
            if run.left <= 0:
                kind = EndKind.DONE
            elif self.now >= run.stops_at:
                kind = EndKind.STOPPED
            if kind is None:
                continue
            del runs[run.id]
            if kind is EndKind.STOPPED:
                self._lose(run)
            self.numbers[name] += 1
            saved = "saved" if run.id in self.saved else ""
            ended.append(EndedTask(self.numbers[name], run.id, run.number, kind, saved))
        running = tuple(
            RunningTask(run.id, run.number, "", self._find_percent(run))
            for run in runs.values()
        )
        if not running and not ended and not worker.tasks:
            return
        report = WorkerReport(int(1000 + self.now * 1000), running, tuple(ended), 1)
        wall_now = WALL_OFFSET_SECONDS + self.now
        self._carry_out(
            apply_report(self.cluster, worker, report, self.now, self.now, wall_now)
        )

    def _find_percent(self, run: Run) -> int:
        seconds = self.arrivals[run.id.job].seconds
        return max(0, min(99, int(100 * (1.0 - run.left / seconds))))

    def _lose(self, run: Run) -> None:
        """Count the work of a stopped run that no checkpoint holds."""
        arrival = self.arrivals[run.id.job]
        step = arrival.spec.steps[0]
        done = arrival.seconds - run.left
        kept = self.saved.get(run.id, 0.0)
        if step.has_checkpoints:
            # A stop writes a checkpoint.
            self.saved[run.id] = kept = max(kept, done)
        self.wasted += max(0.0, done - kept) * count_cores(step)


def make_world(trace: list[Arrival]) -> World:
    """Return a world with empty workers that were heard."""
    queues = tuple(
        Queue(
            kind.queue,
            "host",
            f"/{kind.queue}/",
            SERVICE,
            kind.priority,
            MAX_ATTEMPTS,
            kind.target_seconds,
            kind.stretch,
        )
        for kind in KINDS
    )
    total = WORKERS * CAPACITY.accelerators
    part = int(total * GUARANTEED_SHARE / ORGANISATIONS)
    organisations = tuple(
        Organisation(f"org-{number}", frozenset(), part)
        for number in range(ORGANISATIONS)
    )
    catalog = make_catalog(1, queues, organisations, 1_000_000)
    cluster = Cluster(1, BatchPolicy(), catalog)
    arrivals = {item.spec.id: item for item in trace}
    world = World(cluster, arrivals, {})
    for name in add_workers(cluster, WORKERS, CAPACITY, WORKERS_PER_RACK):
        world.runs[name] = {}
        world.numbers[name] = 0
    return world
