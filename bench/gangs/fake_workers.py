"""Fake workers and decider on virtual time: they carry out what a plan says."""

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

# Reserve and start, each one round to all workers.
START_SECONDS = 0.4

ENDED = (JobState.FINISHED, JobState.FAILED, JobState.CANCELLED, JobState.NOT_RUN)


class FakeWorkers:
    """Leases, jobs and the events that workers would report."""

    __slots__ = (
        "cfg",
        "data_centre",
        "ended_at",
        "events",
        "first_start",
        "held_by_quota",
        "jobs",
        "leases",
        "lost_work",
        "records",
        "sequence",
        "started_at",
        "unreachable",
        "used_work",
    )

    def __init__(self, cfg: Configuration, data_centre: str) -> None:
        self.cfg = cfg
        self.data_centre = data_centre
        self.events: list[tuple[float, int, str, str, int]] = []
        self.sequence = 0
        self.jobs: dict[str, TraceJob] = {}
        self.records: dict[str, JobRecord] = {}
        self.leases = LeaseTable()
        self.started_at: dict[str, float] = {}
        self.first_start: dict[str, float] = {}
        self.ended_at: dict[str, float] = {}
        self.held_by_quota: set[str] = set()
        self.unreachable: frozenset[str] = frozenset()
        self.lost_work = 0.0
        self.used_work = 0.0

    def view(self) -> GangView:
        """Return the state as the decisions read it."""
        return GangView(
            self.data_centre,
            self.cfg,
            self.records,
            self.leases,
            self.unreachable,
            started_at=self.started_at,
        )

    def push(self, at: float, kind: str, job_id: str = "", attempt: int = 0) -> None:
        """Add an event; events at one time keep their order."""
        self.sequence += 1
        heappush(self.events, (at, self.sequence, kind, job_id, attempt))

    def pop(self) -> tuple[float, str, str, int]:
        """Return the next event."""
        at, _, kind, job_id, attempt = heappop(self.events)
        return at, kind, job_id, attempt

    def add(self, entry: TraceJob) -> None:
        """Add an accepted job."""
        job_id = entry.job.job_id
        self.jobs[job_id] = entry
        self.records[job_id] = JobRecord(entry.job, JobState.ACCEPTED)

    def apply(self, effect: GangPlanEffect, now: float) -> None:
        """Carry out one effect."""
        match effect:
            case StartGang():
                self.start(effect, now)
            case StopGang():
                self.stop(effect, now)
            case RejectJob(job_id=job_id):
                self.end(job_id, JobState.NOT_RUN, now)
            case FailJob(job_id=job_id):
                self.end(job_id, JobState.FAILED, now)
            case RecordWaitReasons(job_id=job_id, lines=lines):
                if "quota" in lines[0]:
                    self.held_by_quota.add(job_id)
            case ProbeWorker():
                pass

    def start(self, effect: StartGang, now: float) -> None:
        """Reserve the leases of a gang; it runs a moment later."""
        job_id = effect.job_id
        for lease in effect.leases:
            self.leases.put(TaskReport(lease, TaskState.RESERVED, 0.0))
        record = replace(self.records[job_id], attempt=effect.attempt)
        self.records[job_id] = replace(record, state=JobState.STARTING)
        self.push(now + START_SECONDS, "started", job_id, effect.attempt)

    def stop(self, effect: StopGang, now: float) -> None:
        """Begin to stop a gang; what is not saved is lost."""
        job_id = effect.job_id
        record = self.records[job_id]
        ran = max(0.0, now - self.started_at.get(job_id, now))
        saved = record.saved_progress_seconds
        weight = accelerators_of(record)
        self.used_work += ran * weight
        if effect.by_checkpoint:
            saved += ran
            self.lost_work += 2 * reclaim_seconds(record.job) * weight
        else:
            self.lost_work += ran * weight
        self.records[job_id] = replace(
            record, state=JobState.STOPPING, saved_progress_seconds=saved
        )
        ends = now + reclaim_seconds(record.job)
        self.push(ends, "stopped", job_id, record.attempt)

    def on_started(self, job_id: str, attempt: int, now: float) -> None:
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
        left = max(0.0, self.jobs[job_id].true_seconds - saved)
        restore = reclaim_seconds(record.job) if saved else 0.0
        self.push(now + left + restore, "finished", job_id, attempt)

    def on_finished(self, job_id: str, attempt: int, now: float) -> None:
        """End a gang that ran to its end, unless it was stopped before."""
        record = self.records[job_id]
        if record.state is not JobState.RUNNING or record.attempt != attempt:
            return
        self.used_work += (now - self.started_at[job_id]) * accelerators_of(record)
        self.end(job_id, JobState.FINISHED, now)

    def on_stopped(self, job_id: str, attempt: int) -> None:
        """Release a stopped gang; it waits again unless it was cancelled."""
        self.release(job_id)
        record = self.records[job_id]
        if record.state is JobState.STOPPING and record.attempt == attempt:
            self.records[job_id] = replace(record, state=JobState.ACCEPTED)

    def lose_worker(self, worker: str) -> None:
        """End the gangs of a dead worker as a whole; they wait again."""
        self.unreachable |= {worker}
        for job_id in {r.lease.job_id for r in self.leases.list_by_worker(worker)}:
            self.release(job_id)
            record = self.records[job_id]
            if record.state not in ENDED:
                self.records[job_id] = replace(record, state=JobState.ACCEPTED)

    def on_cancel(self, job_id: str, now: float) -> None:
        """Cancel a job that has not ended."""
        record = self.records.get(job_id)
        if record is None or record.state in ENDED:
            return
        if record.state is JobState.RUNNING:
            self.used_work += (now - self.started_at[job_id]) * accelerators_of(record)
        self.end(job_id, JobState.CANCELLED, now)

    def end(self, job_id: str, state: JobState, now: float) -> None:
        """Record the end of a job and release what it holds."""
        self.records[job_id] = replace(self.records[job_id], state=state)
        self.ended_at[job_id] = now
        self.release(job_id)

    def release(self, job_id: str) -> None:
        """Drop all leases of a job."""
        for report in self.leases.list_by_job(job_id):
            self.leases.drop(report.lease.lease_id)
        self.started_at.pop(job_id, None)


def accelerators_of(record: JobRecord) -> int:
    """Return how many accelerators a job takes."""
    return record.job.shape.members * record.job.shape.accelerators
