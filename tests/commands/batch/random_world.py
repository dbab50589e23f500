"""Workers on virtual time that lose calls, are cut off, restart and fail tasks."""

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
LOOK_SECONDS = 0.4
TROUBLE_SECONDS = 40.0
LIMIT_SECONDS = 600.0
LATE_LIMIT_SECONDS = 4.0
LEASE_LIMIT_MS = 10_000


@dataclass(slots=True)
class FakeRun:
    """A run on a fake worker."""

    id: TaskId
    run: int
    begun_at: float
    ends_at: float
    kind: EndKind


@dataclass(slots=True)
class FakeWorker:
    """What really happens on a worker.

    Parameters
    ----------
    rate : float
        Speed of its clock against ours.
    late : list
        Starts that take effect at a later time.
    """

    name: str
    rate: float
    runs: dict[TaskId, FakeRun] = field(default_factory=dict)
    highest: dict[TaskId, int] = field(default_factory=dict)
    ended: list[EndedTask] = field(default_factory=list)
    late: list[tuple[float, StartTask, int]] = field(default_factory=list)
    count: int = 0
    life: int = 1
    born_at: float = 0.0
    deadline_ms: int = 0
    cut_until: float = 0.0

    def extend(self, deadline_ms: int, now: float) -> None:
        """Move the end of the leases; a longer lease is shortened to the limit."""
        limit = self.clock_ms(now) + LEASE_LIMIT_MS
        self.deadline_ms = max(self.deadline_ms, min(deadline_ms, limit))

    def clock_ms(self, now: float) -> int:
        """Return the worker's clock."""
        return int(1000 + (now - self.born_at) * 1000 * self.rate)


@dataclass(slots=True)
class World:
    """A cluster, its fake workers, and what must never happen.

    Parameters
    ----------
    done : dict
        How often each task has ended as done on a worker that was heard of it.
    is_compared : bool
        Whether each round is compared with one that counts everything anew.
    """

    random: Random
    cluster: Cluster
    fakes: dict[str, FakeWorker]
    now: float = 0.0
    next_look: float = 0.0
    done: dict[TaskId, int] = field(default_factory=dict)
    failures: dict[TaskId, int] = field(default_factory=dict)
    orders: list[Order] = field(default_factory=list)
    is_compared: bool = False

    def run(self) -> None:
        """Play until all jobs have ended."""
        while self.now < LIMIT_SECONDS:
            self.now += STEP_SECONDS
            if self.now < TROUBLE_SECONDS:
                self._make_trouble()
            self._work()
            if self.now >= self.next_look:
                self.next_look = self.now + LOOK_SECONDS
                self._look()
            if self.is_compared:
                self._compare()
            self.orders += plan(self.cluster, self.now, WALL + self.now)
            self._deliver()
            self._check()
            if all(job.state in ENDED_STATES for job in self.cluster.jobs.values()):
                return
        states = {name: job.state for name, job in self.cluster.jobs.items()}
        raise AssertionError(f"jobs have not ended: {states}")

    def _compare(self) -> None:
        """Check that the kept indexes and fresh ones lead to the same orders."""
        kept, fresh = deepcopy(self.cluster), deepcopy(self.cluster)
        forget_indexes(fresh)
        now = self.now
        assert plan(kept, now, WALL + now) == plan(fresh, now, WALL + now), now
        assert kept.fleet.pools == fresh.fleet.pools, now
        assert kept.queue.units == fresh.queue.units, now

    def _make_trouble(self) -> None:
        for fake in self.fakes.values():
            if self.random.random() < 0.004:
                fake.cut_until = self.now + self.random.uniform(0.5, 14.0)
            if self.random.random() < 0.001:
                self._restart(fake)

    def _restart(self, fake: FakeWorker) -> None:
        fake.runs.clear()
        fake.highest.clear()
        fake.ended.clear()
        fake.late.clear()
        fake.count, fake.deadline_ms = 0, 0
        fake.life += 1
        fake.born_at = self.now

    def _work(self) -> None:
        for fake in self.fakes.values():
            due = [item for item in fake.late if item[0] <= self.now]
            fake.late = [item for item in fake.late if item[0] > self.now]
            for _, order, deadline_ms in due:
                self._begin(fake, order, deadline_ms)
            for run in list(fake.runs.values()):
                if fake.clock_ms(self.now) >= fake.deadline_ms:
                    self._end(fake, run, EndKind.LAPSED)
                elif self.now >= run.ends_at:
                    self._end(fake, run, run.kind)

    def _begin(self, fake: FakeWorker, order: StartTask, deadline_ms: int) -> bool:
        if order.run <= fake.highest.get(order.id, 0):
            return False
        if deadline_ms <= fake.clock_ms(self.now):
            return False
        fake.extend(deadline_ms, self.now)
        fake.highest[order.id] = order.run
        self._check_start(order)
        fails = self.random.random() < 0.08
        kind = EndKind.FAILED if fails else EndKind.DONE
        # Some outlast a lease, so that a lease that is taken as lapsed too soon shows.
        longest = self.random.choice((3.0, 3.0, 18.0))
        ends_at = self.now + self.random.uniform(0.3, longest)
        fake.runs[order.id] = FakeRun(order.id, order.run, self.now, ends_at, kind)
        return True

    def _end(self, fake: FakeWorker, run: FakeRun, kind: EndKind) -> None:
        del fake.runs[run.id]
        fake.count += 1
        fake.ended.append(EndedTask(fake.count, run.id, run.run, kind, ""))

    def _look(self) -> None:
        for name, fake in self.fakes.items():
            worker = self.cluster.workers[name]
            is_cut = self.now < fake.cut_until
            may_extend = worker.tasks and not worker.is_unresponsive
            deadline = 0
            if may_extend:
                deadline = extend_lease(worker, self.cluster.policy, self.now)
            if is_cut:
                # A cut may let calls through and hold back only the answers.
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
        # What is acknowledged is forgotten, even if an earlier life listed it.
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
        answer = WorkerReport(clock_ms, running, ended, fake.life)
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
        chance = self.random.random()
        if self.now < fake.cut_until or chance < 0.06:
            if chance < 0.03:
                wait = self.random.uniform(0.0, LATE_LIMIT_SECONDS)
                fake.late.append((self.now + wait, order, deadline_ms))
            self.orders += apply_unanswered_start(self.cluster, order, self.now)
            return
        is_begun = self._begin(fake, order, deadline_ms)
        result = StartResult.STARTED if is_begun else StartResult.OLD_RUN
        apply_start_answer(self.cluster, order, result, self.now)

    def _deliver_stop(self, fake: FakeWorker, order: StopTask) -> None:
        if self.now < fake.cut_until:
            return
        fake.highest[order.id] = max(fake.highest.get(order.id, 0), order.run)
        run = fake.runs.get(order.id)
        if run is not None and run.run <= order.run:
            self._end(fake, run, EndKind.STOPPED)
        apply_stop_answer(self.cluster, order, self.now)

    def _check_start(self, order: StartTask) -> None:
        """Check what must hold when a task really starts."""
        job = self.cluster.jobs[order.id.job]
        assert not self.done.get(order.id), f"{order.id} starts after it was done"
        spec = job.spec.steps[order.id.step]
        for before in spec.after:
            assert job.steps[0, before].is_done(), f"{order.id} starts too early"
        count = self.failures.get(order.id, 0)
        assert count < job.spec.max_attempts, f"{order.id} has no attempts left"

    def _check(self) -> None:
        """Check what must hold at every moment."""
        places: dict[TaskId, str] = {}
        for fake in self.fakes.values():
            used = Resources()
            for run in fake.runs.values():
                assert run.id not in places, f"{run.id} runs twice"
                places[run.id] = fake.name
                used.add(self.cluster.jobs[run.id.job].spec.steps[run.id.step].needs)
            assert CAPACITY.can_fit(used), f"{fake.name} is over its capacity: {used}"


def forget_indexes(cluster: Cluster) -> None:
    """Let the next round count all workers and jobs anew."""
    steps = [
        ((job.spec.id, *key), step)
        for job in cluster.jobs.values()
        for key, step in job.steps.items()
    ]
    cluster.fleet, cluster.queue = FleetIndex(), UnitQueue()
    cluster.changed_workers = set(cluster.workers)
    cluster.changed_jobs = set(cluster.jobs)
    cluster.broken_gangs = {key for key, step in steps if step.broken_at}
    # The order of repeated stops is that in which they were given.
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


def make_world(seed: int) -> World:
    """Return a world with jobs of several kinds."""
    random = Random(seed)
    cluster = make_cluster("r1 r1 r1 r2 r2 r2")
    fakes = {
        name: FakeWorker(name, random.uniform(0.98, 1.0)) for name in cluster.workers
    }
    for number in range(12):
        add_job(cluster, make_random_job(random, f"j{number}"), WALL)
    return World(random, cluster, fakes)


def make_random_job(random: Random, name: str) -> JobSpec:
    """Return a job of one or two steps; some are gangs."""
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


def count_not_once(world: World) -> dict[TaskId, int]:
    """Return the tasks of done jobs that did not end as done exactly once."""
    wrong: dict[TaskId, int] = {}
    for job in world.cluster.jobs.values():
        if job.state is not JobState.DONE:
            continue
        for step in job.steps.values():
            ends = {task.id: world.done.get(task.id, 0) for task in step.tasks}
            if step.spec.is_gang:
                # One end stands for all; later ones of the same run change nothing.
                if not any(ends.values()):
                    wrong |= ends
                continue
            wrong |= {key: count for key, count in ends.items() if count != 1}
    return wrong
