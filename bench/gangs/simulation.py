"""Simulation of a trace under one policy, on virtual time."""

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

# Ageing and planned stops change a plan even when no event happens.
TICK_INTERVAL_SECONDS = 300.0


@dataclass(slots=True)
class RunResult:
    """Measurements of one run; times are in seconds."""

    completions: dict[str, float] = field(default_factory=dict)
    run_times: list[float] = field(default_factory=list)
    slowdowns: list[float] = field(default_factory=list)
    claim_waits: list[float] = field(default_factory=list)
    urgent_waits: list[float] = field(default_factory=list)
    decision_seconds: list[float] = field(default_factory=list)
    fragmented_seconds: float = 0.0
    total_seconds: float = 0.0
    allocated_accelerator_seconds: float = 0.0
    used_share: float = 0.0
    bound_share: float = 0.0
    lost_share: float = 0.0
    refused: int = 0
    late_urgent_by_quota: int = 0
    unfinished: int = 0
    stops: int = 0
    peak_tasks: int = 0


class Simulation:
    """Runs the decisions on a trace and measures their results."""

    __slots__ = ("end", "now", "policy", "result", "size", "trace", "workers")

    def __init__(self, size: Size, seed: int, policy: Policy) -> None:
        self.size = size
        self.policy = policy
        self.trace = {e.job.job_id: e for e in make_trace(size, seed)}
        self.workers = FakeWorkers(make_configuration(size), DATA_CENTRE)
        self.result = RunResult()
        self.end = size.hours * HOUR_SECONDS
        self.now = 0.0
        for trace_job in self.trace.values():
            self.workers.push_event(
                trace_job.job.submitted_at, "submit", trace_job.job.job_id
            )
            if trace_job.cancel_at is not None:
                self.workers.push_event(
                    trace_job.cancel_at, "cancel", trace_job.job.job_id
                )
        # A tick only triggers a plan; it has no other effect.
        for stop in self.workers.cfg.stops.values():
            for before in (70.0, 7.0, 0.0):
                self.workers.push_event(stop.starts_at - before, "tick")
            self.workers.push_event(stop.ends_at, "tick")
        self.workers.push_event(TICK_INTERVAL_SECONDS, "ticks")

    def run(self) -> RunResult:
        """Run until all jobs have ended."""
        while self.workers.events:
            self.step()
        self.collect()
        return self.result

    def step(self) -> None:
        """Handle all events of the next point in time, then plan once."""
        workers = self.workers
        at, kind, job_id, attempt = workers.pop_event()
        self.handle_event(at, kind, job_id, attempt)
        while workers.events and workers.events[0][0] <= at:
            self.handle_event(*workers.pop_event())
        self.run_plan()
        self.record_fragmentation()

    def handle_event(self, at: float, kind: str, job_id: str, attempt: int) -> None:
        """Handle one event."""
        workers = self.workers
        self.now = at
        match kind:
            case "submit":
                self.submit_job(self.trace[job_id])
            case "started":
                workers.handle_started(job_id, attempt, at)
            case "finished":
                workers.handle_finished(job_id, attempt, at)
            case "stopped":
                workers.handle_stopped(job_id, attempt)
            case "cancel":
                workers.cancel_job(job_id, at)
            case "ticks":
                if at < self.end or self.has_waiting_jobs():
                    workers.push_event(at + TICK_INTERVAL_SECONDS, "ticks")

    def has_waiting_jobs(self) -> bool:
        """Return whether any job waits."""
        records = self.workers.records.values()
        return any(r.state is JobState.ACCEPTED for r in records)

    def submit_job(self, trace_job: TraceJob) -> None:
        """Admit a job or refuse it."""
        match admit(self.workers.view(), trace_job.job, self.now):
            case Admitted():
                self.workers.add_job(trace_job)
            case _:
                self.result.refused += 1

    def run_plan(self) -> None:
        """Plan once and execute the plan."""
        view = self.workers.view()
        started_at = perf_counter()
        effects = plan(view, self.policy, self.now)
        self.result.decision_seconds.append(perf_counter() - started_at)
        for effect in effects:
            self.workers.apply_effect(effect, self.now)
            self.result.stops += isinstance(effect, StopGang)
        self.result.peak_tasks = max(self.result.peak_tasks, len(self.workers.leases))

    def record_fragmentation(self) -> None:
        """Record use and fragmentation until the next event.

        The time counts as fragmented if the first waiting job fits by the number of
        free accelerators, but can't be placed.
        """
        workers = self.workers
        if not workers.events or self.now >= self.end:
            return
        seconds = min(workers.events[0][0], self.end) - self.now
        self.result.total_seconds += seconds
        state = PlanState(workers.view(), self.policy, self.now)
        occupancy = state.free_now
        free = occupancy.free_accelerators()
        self.result.allocated_accelerator_seconds += seconds * (
            self.size.accelerator_workers * 8 - free
        )
        queue = order_queue(state.view, self.policy.order, self.now)
        # A job that is blocked by its quota does not wait for free accelerators.
        unblocked_jobs = (
            r.job for r in queue if state.explain_quota_wait(r.job) is None
        )
        head = next((j.shape for j in unblocked_jobs if j.shape.accelerators), None)
        if head is None:
            return
        if free < head.members * head.accelerators:
            return
        if place_gang(occupancy, head, self.policy.packing) is None:
            self.result.fragmented_seconds += seconds

    def find_offered_work(self) -> float:
        """Return the accelerator seconds that the accepted jobs could use at most."""
        total = 0.0
        for job_id in self.workers.records:
            trace_job = self.trace[job_id]
            shape, at = trace_job.job.shape, trace_job.job.submitted_at
            ends_at = self.end if trace_job.cancel_at is None else trace_job.cancel_at
            seconds = max(0.0, min(trace_job.true_seconds, ends_at - at))
            total += seconds * shape.members * shape.accelerators
        return total

    def collect(self) -> None:
        """Add the figures of all jobs to the result."""
        workers, result = self.workers, self.result
        for job_id, record in workers.records.items():
            trace_job, job = self.trace[job_id], record.job
            started_at = workers.first_start.get(job_id)
            if job.guaranteed:
                wait = (
                    float("inf")
                    if started_at is None
                    else started_at - job.submitted_at
                )
                result.claim_waits.append(wait)
            if trace_job.cancel_at is not None:
                continue
            is_late = (
                started_at is not None
                and started_at - job.submitted_at > CLAIM_BOUND_SECONDS
            )
            if job.urgent and started_at is not None:
                result.urgent_waits.append(started_at - job.submitted_at)
                if is_late and job_id in workers.blocked_by_quota:
                    result.late_urgent_by_quota += 1
            if record.state is not JobState.FINISHED:
                result.unfinished += 1
                continue
            completion_seconds = workers.ended_at[job_id] - job.submitted_at
            if job.shape.accelerators:
                result.completions[job_id] = completion_seconds
                result.run_times.append(trace_job.true_seconds)
                result.slowdowns.append(
                    completion_seconds / max(10.0, trace_job.true_seconds)
                )
        capacity = self.size.accelerator_workers * 8 * self.end
        result.used_share = result.allocated_accelerator_seconds / capacity
        result.bound_share = min(1.0, self.find_offered_work() / capacity)
        result.lost_share = workers.lost_accelerator_seconds / max(
            1.0, workers.used_accelerator_seconds
        )
