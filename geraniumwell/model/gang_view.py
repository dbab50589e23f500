"""What the gang decisions of one data centre read, and the effects they return."""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field

from geraniumwell.model.config import Configuration
from geraniumwell.model.job import JobRecord
from geraniumwell.model.worker import TaskLease, TaskReport


@dataclass(slots=True)
class WorkerUsage:
    """Resources of one worker that leases hold; bit i of ``mask`` is accelerator i."""

    mask: int = 0
    cores: int = 0
    memory_gb: int = 0
    lease_ids: dict[str, None] = field(default_factory=dict)


class LeaseTable:
    """Leases in force with their last reports, indexed by job and by worker.

    Its owner puts a lease here when it asks the worker to reserve it, and drops it
    only when the worker has released it or the lease has expired.
    """

    __slots__ = ("_by_job", "_by_worker", "_reports")

    def __init__(self) -> None:
        self._reports: dict[str, TaskReport] = {}
        self._by_job: dict[str, dict[str, None]] = {}
        self._by_worker: dict[str, WorkerUsage] = {}

    def put(self, report: TaskReport) -> None:
        """Add a lease, or replace the report of one that is already here."""
        lease = report.lease
        known = self._reports.get(lease.lease_id)
        if known is not None and known.lease != lease:
            self.drop(lease.lease_id)
            known = None
        self._reports[lease.lease_id] = report
        if known is not None:
            return
        self._by_job.setdefault(lease.job_id, {})[lease.lease_id] = None
        use = self._by_worker.setdefault(lease.worker, WorkerUsage())
        use.mask |= mask_of(lease)
        use.cores += lease.cores
        use.memory_gb += lease.memory_gb
        use.lease_ids[lease.lease_id] = None

    def drop(self, lease_id: str) -> None:
        """Remove a lease; an unknown one is ignored."""
        report = self._reports.pop(lease_id, None)
        if report is None:
            return
        lease = report.lease
        of_job = self._by_job[lease.job_id]
        del of_job[lease_id]
        if not of_job:
            del self._by_job[lease.job_id]
        use = self._by_worker[lease.worker]
        del use.lease_ids[lease_id]
        use.cores -= lease.cores
        use.memory_gb -= lease.memory_gb
        # Rebuilt, so that leases that wrongly overlap are not both cleared.
        use.mask = 0
        for other in use.lease_ids:
            use.mask |= mask_of(self._reports[other].lease)

    def get(self, lease_id: str) -> TaskReport | None:
        """Return the last report of a lease."""
        return self._reports.get(lease_id)

    def of_job(self, job_id: str) -> tuple[TaskReport, ...]:
        """Return the reports of a job's leases."""
        return tuple(self._reports[key] for key in self._by_job.get(job_id, ()))

    def of_worker(self, worker: str) -> tuple[TaskReport, ...]:
        """Return the reports of a worker's leases."""
        use = self._by_worker.get(worker)
        return tuple(self._reports[key] for key in use.lease_ids) if use else ()

    def usage_of(self, worker: str) -> WorkerUsage | None:
        """Return the resources of a worker that leases hold."""
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


def mask_of(lease: TaskLease) -> int:
    """Return the accelerators of a lease as bits."""
    return ((1 << lease.accelerators) - 1) << lease.first_accelerator


@dataclass(slots=True, frozen=True)
class Quarantine:
    """A worker that gets no jobs until a probe succeeds; times are Unix seconds."""

    since: float
    probe_at: float
    wait_seconds: float
    reason: str


@dataclass(slots=True, frozen=True)
class HealthState:
    """Unexplained failures of workers and jobs, and what was concluded from them."""

    failed_jobs: Mapping[str, frozenset[str]] = field(default_factory=dict)
    failed_workers: Mapping[str, frozenset[str]] = field(default_factory=dict)
    quarantined: Mapping[str, Quarantine] = field(default_factory=dict)
    bad_jobs: Mapping[str, str] = field(default_factory=dict)


@dataclass(slots=True, frozen=True)
class GangView:
    """State of one data centre that the decisions on gang jobs read.

    The tables are those of the owner, which does not change them during a call.
    A waiting job is ``ACCEPTED`` and holds no lease. ``started_at`` holds the Unix
    time at which the present attempt of a job started. Reserved leases are those
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
    """Reserve all leases, then start them all; ``attempt`` goes into the record."""

    job_id: str
    attempt: int
    leases: tuple[TaskLease, ...]


@dataclass(slots=True, frozen=True)
class StopGang:
    """Stop a gang, saving its progress if told so; the job then waits again.

    The record becomes ``STOPPING`` at once, and ``ACCEPTED`` when all leases have
    ended.
    """

    job_id: str
    reason: str
    by_checkpoint: bool


@dataclass(slots=True, frozen=True)
class RejectJob:
    """Record a waiting job as ``NOT_RUN``; it truly has not run."""

    job_id: str
    reason: str


@dataclass(slots=True, frozen=True)
class FailJob:
    """Record a job that ran and keeps failing as ``FAILED``; stop what it holds."""

    job_id: str
    reason: str


@dataclass(slots=True, frozen=True)
class ProbeWorker:
    """Run one small task on a quarantined worker to learn whether it is sound."""

    worker: str


@dataclass(slots=True, frozen=True)
class RecordWaitReasons:
    """Record why a job waits."""

    job_id: str
    lines: tuple[str, ...]


GangPlanEffect = (
    StartGang | StopGang | RejectJob | FailJob | ProbeWorker | RecordWaitReasons
)
