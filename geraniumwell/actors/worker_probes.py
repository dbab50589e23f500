"""Probes: small tasks that show whether a quarantined worker is healthy again.

Part of the decider's state; used by the decider's thread only.
"""

from itertools import count

from geraniumwell.actors.worker_pool import WorkerPool
from geraniumwell.messages.workers import AcknowledgeTasks
from geraniumwell.model.gang_run import ReserveTask, StartTask, StopTask
from geraniumwell.model.gang_view import LeaseTable
from geraniumwell.model.worker import TaskLease, TaskReport, TaskState

PROBE_JOB_PREFIX = "probe:"


class WorkerProbes:
    """Runs at most one probe per worker.

    ``results`` holds the worker of each ended probe and whether it is healthy.

    A probe is not recorded: it depends on its short lease only, and a new decider
    releases it like any lease without a job.
    """

    __slots__ = ("_pool", "_leases", "_open", "_serial", "_epoch", "results")

    def __init__(self, pool: WorkerPool, leases: LeaseTable, epoch: int) -> None:
        self._pool = pool
        self._leases = leases
        self._epoch = epoch
        self._serial = count()
        self._open: dict[str, TaskLease] = {}
        self.results: list[tuple[str, bool]] = []

    def begin(self, worker: str, now: float) -> None:
        """Start a probe of a worker, on a free accelerator if there is one."""
        entry = self._pool.workers.get(worker)
        if entry is None or any(p.worker == worker for p in self._open.values()):
            return
        usage = self._leases.usage_of(worker)
        mask = usage.mask if usage else 0
        free = [i for i in range(entry.accelerators) if not mask >> i & 1]
        first, accelerators = (free[0], 1) if free else (0, 0)
        job_id = f"{PROBE_JOB_PREFIX}{worker}"
        lease_id = f"{job_id}/{self._epoch}/{next(self._serial)}"
        lease = TaskLease(lease_id, job_id, 0, 0, worker, first, accelerators, 1, 1)
        self._open[lease_id] = lease
        self._leases.put(TaskReport(lease, TaskState.RESERVED, 0.0))
        self._pool.call(worker, ReserveTask(lease), now)

    def owns(self, lease_id: str) -> bool:
        """Return whether a lease belongs to a running probe."""
        return lease_id in self._open

    def list_workers(self) -> set[str]:
        """Return the workers on which a probe is running."""
        return {lease.worker for lease in self._open.values()}

    def handle_report(self, report: TaskReport, now: float) -> None:
        """Start the task of a reserved probe, or record the result of an ended one."""
        lease = report.lease
        match report.state:
            case TaskState.RESERVED:
                self._pool.call(lease.worker, StartTask(lease), now)
            case TaskState.FINISHED | TaskState.FAILED | TaskState.STOPPED:
                self._end(lease, report.state is TaskState.FINISHED)
                call = AcknowledgeTasks((lease.lease_id,))
                self._pool.call(lease.worker, call, now)

    def handle_failure(self, lease_id: str, now: float) -> None:
        """End a probe as failed, because a call failed or its lease is unknown."""
        lease = self._open.get(lease_id)
        if lease is not None:
            self._end(lease, False)
            self._pool.call(lease.worker, StopTask(lease), now)

    def _end(self, lease: TaskLease, is_healthy: bool) -> None:
        del self._open[lease.lease_id]
        self._leases.drop(lease.lease_id)
        self.results.append((lease.worker, is_healthy))
