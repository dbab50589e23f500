"""Input of the gang scheduling decisions of one data centre, and their effects."""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field

from geraniumwell.model.config import Configuration
from geraniumwell.model.job import JobRecord
from geraniumwell.model.worker import TaskLease, TaskReport


@dataclass(slots=True)
class WorkerUsage:
    """Leased resources of one worker; bit i of ``mask`` is accelerator i."""

    mask: int = 0
    cores: int = 0
    memory_gb: int = 0
    lease_ids: dict[str, None] = field(default_factory=dict)


class LeaseTable:
    """Valid leases with their last reports, indexed by job and by worker.

    A lease is added when the worker is asked to reserve it, and removed only when the
    worker has released it or the lease has expired.
    """

    __slots__ = ("_by_job", "_by_worker", "_reports")

    def __init__(self) -> None:
        self._reports: dict[str, TaskReport] = {}
        self._by_job: dict[str, dict[str, None]] = {}
        self._by_worker: dict[str, WorkerUsage] = {}

    def put(self, report: TaskReport) -> None:
        """Add a lease, or replace the report of a known one."""
        lease = report.lease
        known = self._reports.get(lease.lease_id)
        if known is not None and known.lease != lease:
            self.drop(lease.lease_id)
            known = None
        self._reports[lease.lease_id] = report
        if known is not None:
            return
        self._by_job.setdefault(lease.job_id, {})[lease.lease_id] = None
        usage = self._by_worker.setdefault(lease.worker, WorkerUsage())
        usage.mask |= make_accelerator_mask(lease)
        usage.cores += lease.cores
        usage.memory_gb += lease.memory_gb
        usage.lease_ids[lease.lease_id] = None

    def drop(self, lease_id: str) -> None:
        """Remove a lease; an unknown one is ignored."""
        report = self._reports.pop(lease_id, None)
        if report is None:
            return
        lease = report.lease
        job_leases = self._by_job[lease.job_id]
        del job_leases[lease_id]
        if not job_leases:
            del self._by_job[lease.job_id]
        usage = self._by_worker[lease.worker]
        del usage.lease_ids[lease_id]
        usage.cores -= lease.cores
        usage.memory_gb -= lease.memory_gb
        # The mask is rebuilt, so that removing one of two leases that overlap by error
        # does not clear the accelerators of the other.
        usage.mask = 0
        for other in usage.lease_ids:
            usage.mask |= make_accelerator_mask(self._reports[other].lease)

    def get(self, lease_id: str) -> TaskReport | None:
        """Return the last report of a lease."""
        return self._reports.get(lease_id)

    def list_by_job(self, job_id: str) -> tuple[TaskReport, ...]:
        """Return the reports of a job's leases."""
        return tuple(self._reports[key] for key in self._by_job.get(job_id, ()))

    def list_by_worker(self, worker: str) -> tuple[TaskReport, ...]:
        """Return the reports of a worker's leases."""
        usage = self._by_worker.get(worker)
        return tuple(self._reports[key] for key in usage.lease_ids) if usage else ()

    def usage_of(self, worker: str) -> WorkerUsage | None:
        """Return the leased resources of a worker, or None if it has no leases."""
        return self._by_worker.get(worker)

    def job_ids(self) -> tuple[str, ...]:
        """Return the jobs that hold leases."""
        return tuple(self._by_job)

    def holds(self, job_id: str) -> bool:
        """Return whether a job holds any lease."""
        return job_id in self._by_job

    def __iter__(self) -> Iterator[TaskReport]:
        return iter(self._reports.values())

    def __len__(self) -> int:
        return len(self._reports)


def make_accelerator_mask(lease: TaskLease) -> int:
    """Return the accelerators of a lease as a bit mask."""
    return ((1 << lease.accelerators) - 1) << lease.first_accelerator


@dataclass(slots=True, frozen=True)
class Quarantine:
    """Quarantine of a worker until a probe succeeds; times are Unix seconds.

    ``wait_seconds`` is the delay before the probe at ``probe_at``.
    """

    since: float
    probe_at: float
    wait_seconds: float
    reason: str


@dataclass(slots=True, frozen=True)
class HealthState:
    """Unexplained failures of workers and jobs, and the resulting quarantines.

    ``failed_jobs`` holds the failed jobs by worker, ``failed_workers`` the workers by
    failed job, and ``bad_jobs`` the reason by job that keeps failing.
    """

    failed_jobs: Mapping[str, frozenset[str]] = field(default_factory=dict)
    failed_workers: Mapping[str, frozenset[str]] = field(default_factory=dict)
    quarantined: Mapping[str, Quarantine] = field(default_factory=dict)
    bad_jobs: Mapping[str, str] = field(default_factory=dict)


@dataclass(slots=True, frozen=True)
class GangView:
    """State of one data centre that the decisions on gang jobs read.

    The tables are shared with their owner, which does not change them during a call.
    A waiting job is ``ACCEPTED`` and holds no lease. ``started_at`` holds the Unix
    time at which the current attempt of each job started. Reserved leases are those
    whose report is ``RESERVED``; quarantined workers are in ``health``.
    """

    data_centre: str
    cfg: Configuration
    jobs: Mapping[str, JobRecord]
    leases: LeaseTable
    unreachable: frozenset[str] = frozenset()
    health: HealthState = field(default_factory=HealthState)
    started_at: Mapping[str, float] = field(default_factory=dict)


@dataclass(slots=True, frozen=True)
class StartGang:
    """Reserve all leases, then start all tasks; ``attempt`` is stored in the record."""

    job_id: str
    attempt: int
    leases: tuple[TaskLease, ...]


@dataclass(slots=True, frozen=True)
class StopGang:
    """Stop a gang, with a checkpoint if ``by_checkpoint``; the job then waits again.

    The record becomes ``STOPPING`` immediately, and ``ACCEPTED`` once all leases have
    ended.
    """

    job_id: str
    reason: str
    by_checkpoint: bool


@dataclass(slots=True, frozen=True)
class RejectJob:
    """Record a waiting job that was never started as ``NOT_RUN``."""

    job_id: str
    reason: str


@dataclass(slots=True, frozen=True)
class FailJob:
    """Stop the tasks of a job and record it as ``FAILED``.

    The job keeps failing, or it has run before and can no longer run.
    """

    job_id: str
    reason: str


@dataclass(slots=True, frozen=True)
class ProbeWorker:
    """Run a small task on a quarantined worker to test whether it works."""

    worker: str


@dataclass(slots=True, frozen=True)
class RecordWaitReasons:
    """Record why a job waits."""

    job_id: str
    lines: tuple[str, ...]


GangPlanEffect = (
    StartGang | StopGang | RejectJob | FailJob | ProbeWorker | RecordWaitReasons
)
