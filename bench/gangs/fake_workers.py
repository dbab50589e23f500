"""Fake workers and decider on virtual time that execute the effects of a plan."""

from dataclasses import replace
from heapq import heappop, heappush

from bench.gangs.traces import TraceJob
from geraniumwell.commands.gangs.reclaim import reclaim_seconds
from geraniumwell.model.config import Configuration
from geraniumwell.model.gang_view import (
    FailJob,
    GangPlanEffect,
    GangView,
    LeaseTable,
    ProbeWorker,
    RecordWaitReasons,
    RejectJob,
    StartGang,
    StopGang,
)
from geraniumwell.model.job import JobRecord, JobState
from geraniumwell.model.worker import TaskReport, TaskState

# Reserving and starting take one round trip to all workers each.
START_SECONDS = 0.4

ENDED_STATES = (
    JobState.FINISHED,
    JobState.FAILED,
    JobState.CANCELLED,
    JobState.NOT_RUN,
)


class FakeWorkers:
    """Leases, jobs and future events of simulated workers.

    ``blocked_by_quota`` holds the jobs that waited for their quota at some time.
    """

    __slots__ = (
        "cfg",
        "data_centre",
        "ended_at",
        "events",
        "first_start",
        "blocked_by_quota",
        "jobs",
        "leases",
        "lost_accelerator_seconds",
        "records",
        "event_count",
        "started_at",
        "unreachable",
        "used_accelerator_seconds",
    )

    def __init__(self, cfg: Configuration, data_centre: str) -> None:
        self.cfg = cfg
        self.data_centre = data_centre
        self.events: list[tuple[float, int, str, str, int]] = []
        self.event_count = 0
        self.jobs: dict[str, TraceJob] = {}
        self.records: dict[str, JobRecord] = {}
        self.leases = LeaseTable()
        self.started_at: dict[str, float] = {}
        self.first_start: dict[str, float] = {}
        self.ended_at: dict[str, float] = {}
        self.blocked_by_quota: set[str] = set()
        self.unreachable: frozenset[str] = frozenset()
        self.lost_accelerator_seconds = 0.0
        self.used_accelerator_seconds = 0.0

    def view(self) -> GangView:
        """Return the state that the decisions read."""
        return GangView(
            self.data_centre,
            self.cfg,
            self.records,
            self.leases,
            self.unreachable,
            started_at=self.started_at,
        )

    def push_event(
        self, at: float, kind: str, job_id: str = "", attempt: int = 0
    ) -> None:
        """Add an event; events at the same time keep their order."""
        self.event_count += 1
        heappush(self.events, (at, self.event_count, kind, job_id, attempt))

    def pop_event(self) -> tuple[float, str, str, int]:
        """Remove and return the next event."""
        at, _, kind, job_id, attempt = heappop(self.events)
        return at, kind, job_id, attempt

    def add_job(self, trace_job: TraceJob) -> None:
        """Add an accepted job."""
        job_id = trace_job.job.job_id
        self.jobs[job_id] = trace_job
        self.records[job_id] = JobRecord(trace_job.job, JobState.ACCEPTED)

    def apply_effect(self, effect: GangPlanEffect, now: float) -> None:
        """Execute one effect of a plan."""
        match effect:
            case StartGang():
                self.start_gang(effect, now)
            case StopGang():
                self.stop_gang(effect, now)
            case RejectJob(job_id=job_id):
                self.end_job(job_id, JobState.NOT_RUN, now)
            case FailJob(job_id=job_id):
                self.end_job(job_id, JobState.FAILED, now)
            case RecordWaitReasons(job_id=job_id, lines=lines):
                if "quota" in lines[0]:
                    self.blocked_by_quota.add(job_id)
            case ProbeWorker():
                pass

    def start_gang(self, effect: StartGang, now: float) -> None:
        """Reserve the leases of a gang, which runs after ``START_SECONDS``."""
        job_id = effect.job_id
        for lease in effect.leases:
            self.leases.put(TaskReport(lease, TaskState.RESERVED, 0.0))
        record = replace(self.records[job_id], attempt=effect.attempt)
        self.records[job_id] = replace(record, state=JobState.STARTING)
        self.push_event(now + START_SECONDS, "started", job_id, effect.attempt)

    def stop_gang(self, effect: StopGang, now: float) -> None:
        """Begin to stop a gang; progress that is not saved is lost."""
        job_id = effect.job_id
        record = self.records[job_id]
        run_seconds = max(0.0, now - self.started_at.get(job_id, now))
        saved = record.saved_progress_seconds
        accelerators = count_accelerators(record)
        self.used_accelerator_seconds += run_seconds * accelerators
        if effect.by_checkpoint:
            saved += run_seconds
            self.lost_accelerator_seconds += (
                2 * reclaim_seconds(record.job) * accelerators
            )
        else:
            self.lost_accelerator_seconds += run_seconds * accelerators
        self.records[job_id] = replace(
            record, state=JobState.STOPPING, saved_progress_seconds=saved
        )
        ends_at = now + reclaim_seconds(record.job)
        self.push_event(ends_at, "stopped", job_id, record.attempt)

    def handle_started(self, job_id: str, attempt: int, now: float) -> None:
        """Run a gang whose leases are all confirmed, unless it was stopped."""
        record = self.records[job_id]
        if record.state is not JobState.STARTING or record.attempt != attempt:
            return
        self.records[job_id] = replace(record, state=JobState.RUNNING)
        for report in self.leases.list_by_job(job_id):
            self.leases.put(replace(report, state=TaskState.RUNNING))
        self.started_at[job_id] = now
        self.first_start.setdefault(job_id, now)
        saved = record.saved_progress_seconds
        remaining = max(0.0, self.jobs[job_id].true_seconds - saved)
        restore = reclaim_seconds(record.job) if saved else 0.0
        self.push_event(now + remaining + restore, "finished", job_id, attempt)

    def handle_finished(self, job_id: str, attempt: int, now: float) -> None:
        """End the job of a gang that finished, unless it was stopped before."""
        record = self.records[job_id]
        if record.state is not JobState.RUNNING or record.attempt != attempt:
            return
        self.used_accelerator_seconds += (
            now - self.started_at[job_id]
        ) * count_accelerators(record)
        self.end_job(job_id, JobState.FINISHED, now)

    def handle_stopped(self, job_id: str, attempt: int) -> None:
        """Release the leases of a stopped gang, whose job then waits again."""
        self.release_leases(job_id)
        record = self.records[job_id]
        if record.state is JobState.STOPPING and record.attempt == attempt:
            self.records[job_id] = replace(record, state=JobState.ACCEPTED)

    def lose_worker(self, worker: str) -> None:
        """Release whole gangs that used a dead worker; their jobs wait again."""
        self.unreachable |= {worker}
        for job_id in {r.lease.job_id for r in self.leases.list_by_worker(worker)}:
            self.release_leases(job_id)
            record = self.records[job_id]
            if record.state not in ENDED_STATES:
                self.records[job_id] = replace(record, state=JobState.ACCEPTED)

    def cancel_job(self, job_id: str, now: float) -> None:
        """Cancel a job that has not ended."""
        record = self.records.get(job_id)
        if record is None or record.state in ENDED_STATES:
            return
        if record.state is JobState.RUNNING:
            self.used_accelerator_seconds += (
                now - self.started_at[job_id]
            ) * count_accelerators(record)
        self.end_job(job_id, JobState.CANCELLED, now)

    def end_job(self, job_id: str, state: JobState, now: float) -> None:
        """Record the final state of a job and release its leases."""
        self.records[job_id] = replace(self.records[job_id], state=state)
        self.ended_at[job_id] = now
        self.release_leases(job_id)

    def release_leases(self, job_id: str) -> None:
        """Remove all leases of a job."""
        for report in self.leases.list_by_job(job_id):
            self.leases.drop(report.lease.lease_id)
        self.started_at.pop(job_id, None)


def count_accelerators(record: JobRecord) -> int:
    """Return how many accelerators a job takes."""
    return record.job.shape.members * record.job.shape.accelerators
