"""Steps for the state machine of one gang, with workers simulated in virtual time."""

from dataclasses import dataclass, field
from random import Random

from behave import then, when
from behave.runner import Context

from geraniumwell.commands.gangs.start import advance, begin_start, list_renewable
from geraniumwell.const import TASK_LEASE_SECONDS, TASK_RESERVATION_SECONDS
from geraniumwell.model.gang_run import (
    CallFailed,
    ClockTick,
    ExtendTask,
    GangAttempt,
    GangEvent,
    GangPhase,
    RecordEnd,
    RecordRunning,
    ReserveTask,
    StartTask,
    StopRequested,
    StopTask,
    TaskExtended,
    TaskMissing,
    TaskReported,
)
from geraniumwell.model.worker import TaskLease, TaskReport, TaskState

STEP_SECONDS = 0.25
ALIVE = (TaskState.RESERVED, TaskState.RUNNING)


@dataclass
class SimTask:
    """A task lease on a simulated worker, which expires unless it is extended."""

    lease: TaskLease
    run_seconds: float
    fails: bool
    state: TaskState = TaskState.RESERVED
    expires: float = 0.0
    started: float | None = None
    ended: float | None = None

    def apply_due(self, now: float) -> None:
        """Apply the end of the task or the expiry of its lease if it is due."""
        if self.state not in ALIVE or not self.expires:
            return
        due = self.started + self.run_seconds if self.started is not None else now + 1
        if due <= min(now, self.expires):
            self.state = TaskState.FAILED if self.fails else TaskState.FINISHED
            self.ended = due
        elif self.expires <= now:
            self.state, self.ended = TaskState.STOPPED, self.expires

    def apply(self, call: object, now: float) -> GangEvent:
        """Apply a call as a worker does, and return its response."""
        self.apply_due(now)
        lease_id = self.lease.lease_id
        match call:
            case ReserveTask() if self.state is TaskState.RESERVED:
                self.expires = now + TASK_RESERVATION_SECONDS
            case StartTask() if self.state is TaskState.RESERVED and self.expires:
                self.state, self.started = TaskState.RUNNING, now
            case ExtendTask() if self.state in ALIVE:
                self.expires = now + TASK_LEASE_SECONDS
                return TaskExtended(lease_id)
            case StopTask() if self.state in ALIVE:
                held = self.expires
                self.state, self.ended = TaskState.STOPPED, now
                if not held:
                    return TaskMissing(lease_id)
        return TaskReported(TaskReport(self.lease, self.state, 0.0))


@dataclass
class GangSimulation:
    """Simulation of one gang, its workers and delayed calls.

    Calls fail at random in proportion to ``fault_rate``.
    """

    rng: Random
    fault_rate: float
    members: int = 3
    now: float = 0.0
    tasks: dict[str, SimTask] = field(default_factory=dict)
    delayed: list[tuple[float, object]] = field(default_factory=list)
    unreachable: set[str] = field(default_factory=set)
    calls: list[object] = field(default_factory=list)
    answers: list[GangEvent] = field(default_factory=list)
    outcome: object = None
    ended_at: float = 0.0
    recorded_after_start: bool = True

    def run(self, until: float) -> None:
        """Start the gang and run until a time; delayed calls may arrive later."""
        leases = tuple(
            TaskLease(f"g/1/{m}", "g", 1, m, f"w-{m}", 0, 8, 1, 1)
            for m in range(self.members)
        )
        for lease in leases:
            fails = self.rng.random() < self.fault_rate / 8
            seconds = self.rng.uniform(0, 90)
            self.tasks[lease.lease_id] = SimTask(lease, seconds, fails)
        self.gang, effects = begin_start("g", 1, leases, self.now)
        self.execute(effects)
        while self.now < until:
            self.step()

    def step(self) -> None:
        """Advance the time by one step and handle what is due."""
        self.now += STEP_SECONDS
        for due, call in [entry for entry in self.delayed if entry[0] <= self.now]:
            self.delayed.remove((due, call))
            self.tasks[call.lease.lease_id].apply(call, self.now)
        if self.rng.random() < self.fault_rate / 400:
            self.unreachable.add(self.rng.choice(list(self.tasks)))
        if self.rng.random() < self.fault_rate / 400:
            self.handle(StopRequested("asked"))
        self.handle(ClockTick())
        if self.now % 10 == 0:
            self.execute(
                tuple(ExtendTask(lease) for lease in list_renewable(self.gang))
            )
        for task in self.tasks.values():
            task.apply_due(self.now)
            if task.ended == self.now and task.lease.lease_id not in self.unreachable:
                report = TaskReport(task.lease, task.state, 0.0)
                self.handle(TaskReported(report))

    def handle(self, event: GangEvent) -> None:
        """Apply an event to the gang, and then the responses to the calls it causes."""
        self.answers.append(event)
        while self.answers:
            event = self.answers.pop(0)
            self.gang, effects = advance(self.gang, event, self.now)
            self.execute(effects)

    def execute(self, effects: tuple[object, ...]) -> None:
        """Execute effects; each call may be lost before or after it is applied."""
        for effect in effects:
            match effect:
                case RecordRunning():
                    started = [t.started is not None for t in self.tasks.values()]
                    self.recorded_after_start = self.recorded_after_start and all(
                        started
                    )
                case RecordEnd(outcome):
                    self.outcome, self.ended_at = outcome, self.now
                case _:
                    self.calls.append(effect)
                    self.answers.append(self.send(effect))

    def send(self, call: object) -> GangEvent:
        """Send a call to its worker and return the event that results."""
        lease_id = call.lease.lease_id
        chance = self.rng.random()
        if lease_id in self.unreachable:
            return CallFailed(lease_id, was_sent=False)
        if chance < self.fault_rate / 4:
            self.delayed.append((self.now + self.rng.uniform(0, 70), call))
            return CallFailed(lease_id)
        event = self.tasks[lease_id].apply(call, self.now)
        return CallFailed(lease_id) if chance < self.fault_rate / 2 else event

    def find_incomplete_seconds(self) -> float:
        """Return the longest time that a task ran while its gang was incomplete."""
        tasks = self.tasks.values()
        if any(t.started is None for t in tasks):
            whole_until = 0.0
        else:
            early_ends = [t.ended for t in tasks if t.state is not TaskState.FINISHED]
            whole_until = min(
                (end for end in early_ends if end is not None), default=1e9
            )
        ran = [t for t in tasks if t.started is not None and t.ended is not None]
        return max((t.ended - max(t.started, whole_until) for t in ran), default=0.0)


@when("{number:d} gangs start on workers with random faults from seed {seed:d}")
def step_random(context: Context, number: int, seed: int) -> None:
    context.sims = []
    for index in range(number):
        sim = GangSimulation(Random(seed * 1000 + index), fault_rate=(index % 8) / 10)
        sim.run(until=400.0)
        context.sims.append(sim)


@then("each gang ended and none of its tasks ran after its end")
def step_ended(context: Context) -> None:
    for sim in context.sims:
        assert sim.outcome is not None, sim.gang
        for task in sim.tasks.values():
            assert task.state is not TaskState.RUNNING, task
            assert task.ended is None or task.ended <= sim.ended_at, (sim.gang, task)


@then("each gang was recorded as running only after all its members had started")
def step_recorded(context: Context) -> None:
    assert all(sim.recorded_after_start for sim in context.sims)


@then("no incomplete gang ran for longer than its leases allow")
def step_incomplete(context: Context) -> None:
    # A delayed renewal can extend a lease once, and the loss is detected at its end.
    worst = max(sim.find_incomplete_seconds() for sim in context.sims)
    assert worst <= 2 * TASK_LEASE_SECONDS, worst
    short = [sim for sim in context.sims if not sim.gang.extended]
    worst = max((sim.find_incomplete_seconds() for sim in short), default=0.0)
    assert worst <= 2 * TASK_RESERVATION_SECONDS, worst


@then("every outcome occurred")
def step_covered(context: Context) -> None:
    names = {type(sim.outcome).__name__ for sim in context.sims}
    expected = {"AllFinished", "GangMemberFailed", "GangMemberLost", "StoppedOnRequest"}
    assert names == expected, names


def run_healthy(members: int, until: float) -> GangSimulation:
    """Simulate a gang on workers without faults, with tasks that don't end."""
    sim = GangSimulation(Random(1), fault_rate=0.0, members=members)
    sim.run(until=0.0)
    for task in sim.tasks.values():
        task.run_seconds = 1e6
    while sim.now < until:
        sim.step()
    return sim


@when("a gang of {members:d} members starts on healthy workers")
def step_healthy(context: Context, members: int) -> None:
    context.sim = run_healthy(members, until=1.0)


@then("the calls were 3 reservations, 3 starts and 3 extensions in this order")
def step_order(context: Context) -> None:
    kinds = [type(call) for call in context.sim.calls]
    assert kinds == [ReserveTask] * 3 + [StartTask] * 3 + [ExtendTask] * 3, kinds
    assert context.sim.gang.phase is GangPhase.RUNNING


@when("a worker of a running gang of {members:d} members becomes unreachable for good")
def step_unreachable(context: Context, members: int) -> None:
    sim = run_healthy(members, until=1.0)
    sim.handle(CallFailed("g/1/2", was_sent=True))
    sim.unreachable.add("g/1/2")
    context.sim, context.lost_at = sim, sim.now
    while sim.now < 100:
        sim.step()


@then("the other members are stopped when its lease has expired")
def step_stopped(context: Context) -> None:
    ended = [context.sim.tasks[f"g/1/{m}"].ended for m in range(3)]
    assert abs(ended[0] - ended[2]) <= STEP_SECONDS, ended
    assert abs(ended[1] - ended[2]) <= STEP_SECONDS, ended


@then("the gang ends only after two lifetimes of that lease")
def step_gang_end(context: Context) -> None:
    gang: GangAttempt = context.sim.gang
    assert gang.phase is GangPhase.ENDED
    assert context.sim.ended_at >= 2 * TASK_LEASE_SECONDS, context.sim.ended_at
