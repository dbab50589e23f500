"""Simulation of the batch scheduler with healthy workers on virtual time."""

from dataclasses import dataclass, field
from math import inf

from bench.fleet import SERVICE, WALL_OFFSET_SECONDS, add_workers, apply_started_run
from bench.overload.kinds import MAX_ATTEMPTS, Arrival, Fleet
from geraniumwell.commands.batch.answers import is_start_wanted
from geraniumwell.commands.batch.ends import apply_report
from geraniumwell.commands.batch.lifecycle import add_job
from geraniumwell.commands.batch.planning import plan
from geraniumwell.commands.batch.preemption import count_cores
from geraniumwell.model.batch.catalog import Organisation, Queue, make_catalog
from geraniumwell.model.batch.cluster import BatchPolicy, Cluster, Order, StartTask
from geraniumwell.model.batch.job import ENDED_STATES, JobState, TaskId
from geraniumwell.model.batch.worker import (
    EndedTask,
    EndKind,
    RunningTask,
    WorkerReport,
)

STEP_SECONDS = 0.05
# Interval of the reports of a worker on which no run ends.
REPORT_SECONDS = 1.0
MAX_RUN_SECONDS = 300.0
STOP_DURATION_SECONDS = 0.3
RESTORE_SECONDS = 0.4


@dataclass(slots=True)
class Run:
    """Run of a task on a worker.

    Parameters
    ----------
    remaining_seconds : float
        Remaining work in seconds at full speed.
    speed : float
        Share of full speed; lower if a same-rack job spans several racks.
    """

    id: TaskId
    number: int
    remaining_seconds: float
    speed: float
    resume_at: float
    stops_at: float = inf


@dataclass(slots=True)
class OverloadSimulation:
    """A cluster whose workers execute every order.

    Parameters
    ----------
    saved_seconds : dict
        Seconds of work that the checkpoint of each task holds.
    wasted_core_seconds : float
        Work that was lost because a run was stopped without a checkpoint of it.
    """

    cluster: Cluster
    arrivals: dict[str, Arrival]
    fleet: Fleet
    runs: dict[str, dict[TaskId, Run]]
    now: float = 0.0
    last_end_numbers: dict[str, int] = field(default_factory=dict)
    reported_at: dict[str, float] = field(default_factory=dict)
    saved_seconds: dict[TaskId, float] = field(default_factory=dict)
    wasted_core_seconds: float = 0.0

    def run(self, trace: list[Arrival]) -> None:
        """Run a trace until all jobs have ended."""
        upcoming = list(reversed(trace))
        while self.now < MAX_RUN_SECONDS:
            self.now += STEP_SECONDS
            while upcoming and upcoming[-1].at <= self.now:
                add_job(
                    self.cluster, upcoming.pop().spec, WALL_OFFSET_SECONDS + self.now
                )
            for name in self.runs:
                self._report(name)
            self._apply_orders(
                plan(self.cluster, self.now, WALL_OFFSET_SECONDS + self.now)
            )
            jobs = self.cluster.jobs.values()
            if not upcoming and all(job.state in ENDED_STATES for job in jobs):
                return

    def find_completion_time(self, job_id: str) -> float:
        """Return when a job completed, or infinity if it didn't."""
        job = self.cluster.jobs[job_id]
        return job.ended_at - WALL_OFFSET_SECONDS if job.state is JobState.DONE else inf

    def _apply_orders(self, orders: list[Order]) -> None:
        starts = [order for order in orders if isinstance(order, StartTask)]
        for order in orders:
            if not isinstance(order, StartTask):
                run = self.runs[order.worker].get(order.id)
                if run is not None and run.stops_at == inf:
                    run.stops_at = self.now + STOP_DURATION_SECONDS
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
        saved_seconds = (
            self.saved_seconds.get(order.id, 0.0) if order.checkpoint else 0.0
        )
        resume_at = self.now + (RESTORE_SECONDS if saved_seconds else 0.0)
        remaining_seconds = arrival.task_seconds - saved_seconds
        speeds = self.fleet.speeds
        speed *= speeds[int(order.worker[1:]) % len(speeds)]
        run = Run(order.id, order.run, remaining_seconds, speed, resume_at)
        self.runs[order.worker][order.id] = run

    def _report(self, name: str) -> None:
        runs, worker = self.runs[name], self.cluster.workers[name]
        ended: list[EndedTask] = []
        for run in list(runs.values()):
            if self.now > run.resume_at:
                run.remaining_seconds -= STEP_SECONDS * run.speed
            kind = None
            if run.remaining_seconds <= 0 and self._is_gang_finished(run):
                kind = EndKind.DONE
            elif self.now >= run.stops_at:
                kind = EndKind.STOPPED
            if kind is None:
                continue
            del runs[run.id]
            if kind is EndKind.STOPPED:
                self._record_stop(run)
            self.last_end_numbers[name] += 1
            checkpoint = "saved" if run.id in self.saved_seconds else ""
            ended.append(
                EndedTask(
                    self.last_end_numbers[name], run.id, run.number, kind, checkpoint
                )
            )
        if not ended and self.now < self.reported_at.get(name, 0.0) + REPORT_SECONDS:
            return
        self.reported_at[name] = self.now
        running = tuple(
            RunningTask(run.id, run.number, "", self._find_percent(run))
            for run in runs.values()
        )
        if not running and not ended and not worker.tasks:
            return
        report = WorkerReport(int(1000 + self.now * 1000), running, tuple(ended), 1)
        wall_now = WALL_OFFSET_SECONDS + self.now
        self._apply_orders(
            apply_report(self.cluster, worker, report, self.now, self.now, wall_now)
        )

    def _is_gang_finished(self, run: Run) -> bool:
        """Return whether all members of a gang are finished; they end together."""
        job = self.cluster.jobs[run.id.job]
        if not job.spec.steps[0].is_gang:
            return True
        return all(
            member is None or member.remaining_seconds <= 0
            for task in job.steps[0, 0].tasks
            if task.worker
            for member in (self.runs[task.worker].get(task.id),)
        )

    def _find_percent(self, run: Run) -> int:
        task_seconds = self.arrivals[run.id.job].task_seconds
        return max(0, min(100, int(100 * (1.0 - run.remaining_seconds / task_seconds))))

    def _record_stop(self, run: Run) -> None:
        """Save a checkpoint if the task writes them; count the work that is lost."""
        arrival = self.arrivals[run.id.job]
        step = arrival.spec.steps[0]
        done = arrival.task_seconds - run.remaining_seconds
        saved_seconds = self.saved_seconds.get(run.id, 0.0)
        if step.has_checkpoints:
            self.saved_seconds[run.id] = saved_seconds = max(saved_seconds, done)
        self.wasted_core_seconds += max(0.0, done - saved_seconds) * count_cores(step)


def make_simulation(trace: list[Arrival], fleet: Fleet) -> OverloadSimulation:
    """Return a simulation with idle workers that have answered a poll."""
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
        for kind in fleet.kinds
    )
    total = fleet.workers * fleet.capacity.accelerators
    guaranteed = int(total * fleet.guaranteed_share / fleet.organisations)
    organisations = tuple(
        Organisation(f"org-{number}", frozenset(), guaranteed)
        for number in range(fleet.organisations)
    )
    catalog = make_catalog(1, queues, organisations, 1_000_000)
    cluster = Cluster(1, BatchPolicy(), catalog)
    arrivals = {arrival.spec.id: arrival for arrival in trace}
    simulation = OverloadSimulation(cluster, arrivals, fleet, {})
    names = add_workers(
        cluster,
        fleet.workers,
        fleet.capacity,
        fleet.workers_per_rack,
        fleet.data_centres,
    )
    for name in names:
        simulation.runs[name] = {}
        simulation.last_end_numbers[name] = 0
    return simulation
