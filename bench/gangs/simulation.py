"""One run of a trace under one policy, on virtual time."""

from dataclasses import dataclass, field
from time import perf_counter

from bench.gangs.fake_workers import FakeWorkers
from bench.gangs.sizes import DATA_CENTRE, HOUR_SECONDS, Size, make_configuration
from bench.gangs.traces import TraceJob, make_trace
from geraniumwell.commands.gangs.admission import Admitted, admit
from geraniumwell.commands.gangs.ordering import order_queue
from geraniumwell.commands.gangs.placement import place_gang
from geraniumwell.commands.gangs.plan_state import PlanState
from geraniumwell.commands.gangs.policy import Policy
from geraniumwell.commands.gangs.scheduler import plan
from geraniumwell.const import CLAIM_BOUND_SECONDS
from geraniumwell.model.gang_view import StopGang
from geraniumwell.model.job import JobState

# Besides events, plans depend on time by ageing and by planned stops.
TICK_SECONDS = 300.0


@dataclass(slots=True)
class RunResult:
    """What one run measured; times are seconds."""

    completions: dict[str, float] = field(default_factory=dict)
    run_times: list[float] = field(default_factory=list)
    slowdowns: list[float] = field(default_factory=list)
    claim_waits: list[float] = field(default_factory=list)
    urgent_waits: list[float] = field(default_factory=list)
    decisions: list[float] = field(default_factory=list)
    fragmented_seconds: float = 0.0
    total_seconds: float = 0.0
    held_work: float = 0.0
    used_share: float = 0.0
    bound_share: float = 0.0
    lost_share: float = 0.0
    refused: int = 0
    urgent_quota: int = 0
    unfinished: int = 0
    stops: int = 0
    peak_tasks: int = 0


class Simulation:
    """Feeds a trace to the decisions and measures."""

    __slots__ = ("end", "now", "policy", "result", "size", "trace", "workers")

    def __init__(self, size: Size, seed: int, policy: Policy) -> None:
        self.size = size
        self.policy = policy
        self.trace = {e.job.job_id: e for e in make_trace(size, seed)}
        self.workers = FakeWorkers(make_configuration(size), DATA_CENTRE)
        self.result = RunResult()
        self.end = size.hours * HOUR_SECONDS
        self.now = 0.0
        for entry in self.trace.values():
            self.workers.push(entry.job.submitted_at, "submit", entry.job.job_id)
            if entry.cancel_at is not None:
                self.workers.push(entry.cancel_at, "cancel", entry.job.job_id)
        for stop in self.workers.cfg.stops.values():
            for before in (70.0, 7.0, 0.0):
                self.workers.push(stop.starts_at - before, "tick")
            self.workers.push(stop.ends_at, "tick")
        self.workers.push(TICK_SECONDS, "ticks")

    def run(self) -> RunResult:
        """Run until all jobs have ended."""
        while self.workers.events:
            self.step()
        self.collect()
        return self.result

    def step(self) -> None:
        """Apply all events of the next time, then plan once."""
        fakes = self.workers
        at, kind, job_id, attempt = fakes.pop()
        self.handle(at, kind, job_id, attempt)
        while fakes.events and fakes.events[0][0] <= at:
            self.handle(*fakes.pop())
        self.decide()
        self.watch_fragmentation()

    def handle(self, at: float, kind: str, job_id: str, attempt: int) -> None:
        """Apply one event."""
        fakes = self.workers
        self.now = at
        match kind:
            case "submit":
                self.submit(self.trace[job_id])
            case "started":
                fakes.on_started(job_id, attempt, at)
            case "finished":
                fakes.on_finished(job_id, attempt, at)
            case "stopped":
                fakes.on_stopped(job_id, attempt)
            case "cancel":
                fakes.on_cancel(job_id, at)
            case "ticks":
                if at < self.end or self.has_waiting():
                    fakes.push(at + TICK_SECONDS, "ticks")

    def has_waiting(self) -> bool:
        """Return whether a job waits."""
        records = self.workers.records.values()
        return any(r.state is JobState.ACCEPTED for r in records)

    def submit(self, entry: TraceJob) -> None:
        """Admit a job or refuse it."""
        match admit(self.workers.view(), entry.job, self.now):
            case Admitted():
                self.workers.add(entry)
            case _:
                self.result.refused += 1

    def decide(self) -> None:
        """Plan once and carry the plan out."""
        view = self.workers.view()
        begun = perf_counter()
        effects = plan(view, self.policy, self.now)
        self.result.decisions.append(perf_counter() - begun)
        for effect in effects:
            self.workers.apply(effect, self.now)
            self.result.stops += isinstance(effect, StopGang)
        self.result.peak_tasks = max(self.result.peak_tasks, len(self.workers.leases))

    def watch_fragmentation(self) -> None:
        """Count the time until the next event if the head fits by count only."""
        fakes = self.workers
        if not fakes.events or self.now >= self.end:
            return
        lasts = min(fakes.events[0][0], self.end) - self.now
        self.result.total_seconds += lasts
        state = PlanState(fakes.view(), self.policy, self.now)
        occ = state.free_now
        free = occ.free_accelerators()
        self.result.held_work += lasts * (self.size.accelerator_workers * 8 - free)
        queue = order_queue(state.view, self.policy.order, self.now)
        # A job that its quota holds does not wait for a place.
        open_jobs = (r.job for r in queue if state.explain_quota_wait(r.job) is None)
        head = next((j.shape for j in open_jobs if j.shape.accelerators), None)
        if head is None:
            return
        if free < head.members * head.accelerators:
            return
        if place_gang(occ, head, self.policy.packing) is None:
            self.result.fragmented_seconds += lasts

    def wanted_work(self) -> float:
        """Return the accelerator seconds that the window could hold at most."""
        total = 0.0
        for job_id in self.workers.records:
            entry = self.trace[job_id]
            shape, at = entry.job.shape, entry.job.submitted_at
            until = self.end if entry.cancel_at is None else entry.cancel_at
            seconds = max(0.0, min(entry.true_seconds, until - at))
            total += seconds * shape.members * shape.accelerators
        return total

    def collect(self) -> None:
        """Take the figures of jobs from their records."""
        fakes, result = self.workers, self.result
        for job_id, record in fakes.records.items():
            entry, job = self.trace[job_id], record.job
            first = fakes.first_start.get(job_id)
            if job.guaranteed:
                wait = float("inf") if first is None else first - job.submitted_at
                result.claim_waits.append(wait)
            if entry.cancel_at is not None:
                continue
            wait_is_late = (
                first is not None and first - job.submitted_at > CLAIM_BOUND_SECONDS
            )
            if job.urgent and first is not None:
                result.urgent_waits.append(first - job.submitted_at)
                if wait_is_late and job_id in fakes.held_by_quota:
                    result.urgent_quota += 1
            if record.state is not JobState.FINISHED:
                result.unfinished += 1
                continue
            took = fakes.ended_at[job_id] - job.submitted_at
            if job.shape.accelerators:
                result.completions[job_id] = took
                result.run_times.append(entry.true_seconds)
                result.slowdowns.append(took / max(10.0, entry.true_seconds))
        capacity = self.size.accelerator_workers * 8 * self.end
        result.used_share = result.held_work / capacity
        result.bound_share = min(1.0, self.wanted_work() / capacity)
        result.lost_share = fakes.lost_work / max(1.0, fakes.used_work)
