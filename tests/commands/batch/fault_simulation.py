"""Simulation of the scheduler on virtual time, with random faults of workers."""

from copy import deepcopy
from dataclasses import dataclass, field
from random import Random

from geraniumwell.commands.batch.acknowledgement import may_acknowledge
from geraniumwell.commands.batch.answers import (
    apply_start_answer,
    apply_stop_answer,
    apply_unanswered_start,
    is_start_wanted,
)
from geraniumwell.commands.batch.ends import apply_report
from geraniumwell.commands.batch.health import record_unanswered_call
from geraniumwell.commands.batch.leases import extend_lease
from geraniumwell.commands.batch.lifecycle import add_job
from geraniumwell.commands.batch.planning import plan
from geraniumwell.model.batch.capacity import FleetIndex
from geraniumwell.model.batch.cluster import Cluster, Order, StartTask, StopTask
from geraniumwell.model.batch.job import (
    ENDED_STATES,
    JobSpec,
    JobState,
    Phase,
    TaskId,
)
from geraniumwell.model.batch.resources import Resources
from geraniumwell.model.batch.unit import UnitQueue
from geraniumwell.model.batch.worker import (
    EndedTask,
    EndKind,
    RunningTask,
    StartResult,
    Worker,
    WorkerReport,
)
from tests.support.batch import (
    CAPACITY,
    WALL,
    get_task,
    make_cluster,
    make_job,
    make_step,
)

STEP_SECONDS = 0.05
POLL_INTERVAL_SECONDS = 0.4
LAST_FAULT_SECONDS = 40.0
MAX_SIMULATED_SECONDS = 600.0
MAX_START_DELAY_SECONDS = 4.0
LEASE_LIMIT_MS = 10_000


@dataclass(slots=True)
class FakeRun:
    """A run on a simulated worker."""

    id: TaskId
    run: int
    started_at: float
    ends_at: float
    kind: EndKind


@dataclass(slots=True)
class FakeWorker:
    """A simulated worker with its actual state.

    Parameters
    ----------
    rate : float
        Speed of its clock relative to ours.
    highest_run : dict
        Highest run number that was started or stopped, by task.
    delayed_starts : list
        Starts that take effect later, each with that time and its lease deadline.
    last_end : int
        Number of the last ended run.
    partitioned_until : float
        Time until which calls to the worker get no response.
    """

    name: str
    rate: float
    runs: dict[TaskId, FakeRun] = field(default_factory=dict)
    highest_run: dict[TaskId, int] = field(default_factory=dict)
    ended: list[EndedTask] = field(default_factory=list)
    delayed_starts: list[tuple[float, StartTask, int]] = field(default_factory=list)
    last_end: int = 0
    incarnation: int = 1
    started_at: float = 0.0
    deadline_ms: int = 0
    partitioned_until: float = 0.0

    def extend(self, deadline_ms: int, now: float) -> None:
        """Extend the deadline of the leases, at most by the limit of the worker."""
        limit = self.clock_ms(now) + LEASE_LIMIT_MS
        self.deadline_ms = max(self.deadline_ms, min(deadline_ms, limit))

    def clock_ms(self, now: float) -> int:
        """Return the worker's clock."""
        return int(1000 + (now - self.started_at) * 1000 * self.rate)


@dataclass(slots=True)
class Simulation:
    """A cluster with simulated workers, and the invariants that must hold.

    Parameters
    ----------
    done : dict
        How often the end of a task as done was reported for its current run.
    failures : dict
        The same for its end as failed.
    checks_indexes : bool
        Whether each round is compared with one on rebuilt indexes.
    """

    random: Random
    cluster: Cluster
    fakes: dict[str, FakeWorker]
    now: float = 0.0
    next_poll_at: float = 0.0
    done: dict[TaskId, int] = field(default_factory=dict)
    failures: dict[TaskId, int] = field(default_factory=dict)
    orders: list[Order] = field(default_factory=list)
    checks_indexes: bool = False

    def run(self) -> None:
        """Run the simulation until all jobs have ended."""
        while self.now < MAX_SIMULATED_SECONDS:
            self.now += STEP_SECONDS
            if self.now < LAST_FAULT_SECONDS:
                self._inject_faults()
            self._run_tasks()
            if self.now >= self.next_poll_at:
                self.next_poll_at = self.now + POLL_INTERVAL_SECONDS
                self._poll()
            if self.checks_indexes:
                self._check_indexes()
            self.orders += plan(self.cluster, self.now, WALL + self.now)
            self._deliver()
            self._check_invariants()
            if all(job.state in ENDED_STATES for job in self.cluster.jobs.values()):
                return
        states = {name: job.state for name, job in self.cluster.jobs.items()}
        raise AssertionError(f"jobs have not ended: {states}")

    def _check_indexes(self) -> None:
        """Check that incremental and rebuilt indexes give the same orders."""
        incremental, rebuilt = deepcopy(self.cluster), deepcopy(self.cluster)
        reset_indexes(rebuilt)
        now = self.now
        assert plan(incremental, now, WALL + now) == plan(rebuilt, now, WALL + now), now
        assert incremental.fleet.pools == rebuilt.fleet.pools, now
        assert incremental.queue.units == rebuilt.queue.units, now

    def _inject_faults(self) -> None:
        for fake in self.fakes.values():
            if self.random.random() < 0.004:
                fake.partitioned_until = self.now + self.random.uniform(0.5, 14.0)
            if self.random.random() < 0.001:
                self._restart(fake)

    def _restart(self, fake: FakeWorker) -> None:
        fake.runs.clear()
        fake.highest_run.clear()
        fake.ended.clear()
        fake.delayed_starts.clear()
        fake.last_end, fake.deadline_ms = 0, 0
        fake.incarnation += 1
        fake.started_at = self.now

    def _run_tasks(self) -> None:
        for fake in self.fakes.values():
            due = [item for item in fake.delayed_starts if item[0] <= self.now]
            fake.delayed_starts = [
                item for item in fake.delayed_starts if item[0] > self.now
            ]
            for _, order, deadline_ms in due:
                self._start_run(fake, order, deadline_ms)
            for run in list(fake.runs.values()):
                if fake.clock_ms(self.now) >= fake.deadline_ms:
                    self._end_run(fake, run, EndKind.LAPSED)
                elif self.now >= run.ends_at:
                    self._end_run(fake, run, run.kind)

    def _start_run(self, fake: FakeWorker, order: StartTask, deadline_ms: int) -> bool:
        if order.run <= fake.highest_run.get(order.id, 0):
            return False
        if deadline_ms <= fake.clock_ms(self.now):
            return False
        fake.extend(deadline_ms, self.now)
        fake.highest_run[order.id] = order.run
        self._check_start(order)
        fails = self.random.random() < 0.08
        kind = EndKind.FAILED if fails else EndKind.DONE
        # Some runs last longer than a lease, so that releasing a task before its lease
        # has expired is detected.
        longest = self.random.choice((3.0, 3.0, 18.0))
        ends_at = self.now + self.random.uniform(0.3, longest)
        fake.runs[order.id] = FakeRun(order.id, order.run, self.now, ends_at, kind)
        return True

    def _end_run(self, fake: FakeWorker, run: FakeRun, kind: EndKind) -> None:
        del fake.runs[run.id]
        fake.last_end += 1
        fake.ended.append(EndedTask(fake.last_end, run.id, run.run, kind, ""))

    def _poll(self) -> None:
        for name, fake in self.fakes.items():
            worker = self.cluster.workers[name]
            is_partitioned = self.now < fake.partitioned_until
            may_extend = worker.tasks and not worker.is_unresponsive
            deadline = 0
            if may_extend:
                deadline = extend_lease(worker, self.cluster.policy, self.now)
            if is_partitioned:
                # A partition may let calls through and block only the responses.
                if self.random.random() < 0.5:
                    fake.extend(deadline, self.now)
                record_unanswered_call(worker, self.now)
                self.cluster.mark_worker_changed(name)
                continue
            fake.extend(deadline, self.now)
            self._report(worker, fake)

    def _report(self, worker: Worker, fake: FakeWorker) -> None:
        running = tuple(
            RunningTask(run.id, run.run, "", min(99, int(self.now * 10) % 100))
            for run in fake.runs.values()
        )
        # Acknowledged ends are discarded, even if an earlier incarnation reported them.
        last_seen = worker.last_applied_end if may_acknowledge(worker) else 0
        fake.ended = [end for end in fake.ended if end.number > last_seen]
        ended = tuple(fake.ended)
        for end in ended:
            task = get_task(self.cluster, end.id)
            is_current = task.worker == fake.name and task.run == end.run
            if end.kind is EndKind.DONE and is_current:
                self.done[end.id] = self.done.get(end.id, 0) + 1
            if end.kind is EndKind.FAILED and is_current:
                self.failures[end.id] = self.failures.get(end.id, 0) + 1
        clock_ms = fake.clock_ms(self.now)
        answer = WorkerReport(clock_ms, running, ended, fake.incarnation)
        self.orders += apply_report(
            self.cluster, worker, answer, self.now, self.now, WALL + self.now
        )

    def _deliver(self) -> None:
        orders, self.orders = self.orders, []
        for order in orders:
            fake = self.fakes[order.worker]
            match order:
                case StartTask():
                    if is_start_wanted(self.cluster, order):
                        self._deliver_start(fake, order)
                case StopTask():
                    self._deliver_stop(fake, order)

    def _deliver_start(self, fake: FakeWorker, order: StartTask) -> None:
        worker = self.cluster.workers[order.worker]
        get_task(self.cluster, order.id).is_start_sent = True
        deadline_ms = extend_lease(worker, self.cluster.policy, self.now)
        draw = self.random.random()
        if self.now < fake.partitioned_until or draw < 0.06:
            if draw < 0.03:
                wait = self.random.uniform(0.0, MAX_START_DELAY_SECONDS)
                fake.delayed_starts.append((self.now + wait, order, deadline_ms))
            self.orders += apply_unanswered_start(self.cluster, order, self.now)
            return
        is_started = self._start_run(fake, order, deadline_ms)
        result = StartResult.STARTED if is_started else StartResult.OLD_RUN
        apply_start_answer(self.cluster, order, result, self.now)

    def _deliver_stop(self, fake: FakeWorker, order: StopTask) -> None:
        if self.now < fake.partitioned_until:
            return
        fake.highest_run[order.id] = max(fake.highest_run.get(order.id, 0), order.run)
        run = fake.runs.get(order.id)
        if run is not None and run.run <= order.run:
            self._end_run(fake, run, EndKind.STOPPED)
        apply_stop_answer(self.cluster, order, self.now)

    def _check_start(self, order: StartTask) -> None:
        """Check the invariants that must hold when a run starts on a worker."""
        job = self.cluster.jobs[order.id.job]
        assert not self.done.get(order.id), f"{order.id} starts after it was done"
        spec = job.spec.steps[order.id.step]
        for before in spec.after:
            assert job.steps[0, before].is_done(), f"{order.id} starts too early"
        count = self.failures.get(order.id, 0)
        assert count < job.spec.max_attempts, f"{order.id} has no attempts left"

    def _check_invariants(self) -> None:
        """Check the invariants that must hold after each simulation step."""
        workers_by_task: dict[TaskId, str] = {}
        for fake in self.fakes.values():
            used = Resources()
            for run in fake.runs.values():
                assert run.id not in workers_by_task, f"{run.id} runs twice"
                workers_by_task[run.id] = fake.name
                used.add(self.cluster.jobs[run.id.job].spec.steps[run.id.step].needs)
            assert CAPACITY.can_fit(used), f"{fake.name} is over its capacity: {used}"


def reset_indexes(cluster: Cluster) -> None:
    """Reset the indexes, so that the next round rebuilds them."""
    steps = [
        ((job.spec.id, *key), step)
        for job in cluster.jobs.values()
        for key, step in job.steps.items()
    ]
    cluster.fleet, cluster.queue = FleetIndex(), UnitQueue()
    cluster.changed_workers = set(cluster.workers)
    cluster.changed_jobs = set(cluster.jobs)
    cluster.broken_gangs = {key for key, step in steps if step.broken_at}
    # Stop orders are repeated in the order in which they were first issued.
    known = list(cluster.stopping_tasks)
    cluster.stopping_tasks = {
        task.id: task
        for _, step in steps
        for task in step.tasks
        if task.phase is Phase.STOPPING and task.stopped_at is not None
    }
    assert set(cluster.stopping_tasks).issubset(known)
    cluster.stopping_tasks = {
        key: cluster.stopping_tasks[key]
        for key in known
        if key in cluster.stopping_tasks
    }


def make_simulation(seed: int) -> Simulation:
    """Return a simulation with jobs of several kinds."""
    random = Random(seed)
    cluster = make_cluster("r1 r1 r1 r2 r2 r2")
    fakes = {
        name: FakeWorker(name, random.uniform(0.98, 1.0)) for name in cluster.workers
    }
    for number in range(12):
        add_job(cluster, make_random_job(random, f"j{number}"), WALL)
    return Simulation(random, cluster, fakes)


def make_random_job(random: Random, name: str) -> JobSpec:
    """Return a random job of one or two steps, of which some are gangs."""
    steps = [
        make_step(
            random.randint(1, 6),
            random.choice((1, 2, 4, 8)),
            is_gang=random.random() < 0.3,
            is_same_rack=random.random() < 0.3,
            max_per_worker=random.choice((0, 0, 2)),
        )
    ]
    if random.random() < 0.5:
        steps.append(make_step(random.randint(1, 4), 1, after=(0,)))
    queue = random.choice(("quotes", "renders", "batches"))
    return make_job(name, *steps, queue=queue, max_attempts=6)


def find_wrong_counts(simulation: Simulation) -> dict[TaskId, int]:
    """Return the tasks of done jobs that did not end as done exactly once."""
    wrong: dict[TaskId, int] = {}
    for job in simulation.cluster.jobs.values():
        if job.state is not JobState.DONE:
            continue
        for step in job.steps.values():
            ends = {task.id: simulation.done.get(task.id, 0) for task in step.tasks}
            if step.spec.is_gang:
                # One end completes all gang members; later ends are ignored.
                if not any(ends.values()):
                    wrong |= ends
                continue
            wrong |= {key: count for key, count in ends.items() if count != 1}
    return wrong
