"""Small tasks that tell whether a quarantined worker is sound again.

Part of the decider's state; only the decider's thread uses it.
"""

from itertools import count

from geraniumwell.actors.worker_pool import WorkerPool
from geraniumwell.messages.workers import AcknowledgeTasks
from geraniumwell.model.gang_run import ReserveTask, StartTask, StopTask
from geraniumwell.model.gang_view import LeaseTable
from geraniumwell.model.worker import TaskLease, TaskReport, TaskState

PROBE_JOB_PREFIX = "probe:"


class WorkerProbes:
    """Runs one probe on a worker at a time; ``results`` holds what has ended.

    A probe needs no record: it lives under its short lease only, and a new decider
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
        """Probe a worker, on a free accelerator if there is one."""
        entry = self._pool.workers.get(worker)
        if entry is None or any(p.worker == worker for p in self._open.values()):
            return
        use = self._leases.usage_of(worker)
        mask = use.mask if use else 0
        free = [i for i in range(entry.accelerators) if not mask >> i & 1]
        first, accelerators = (free[0], 1) if free else (0, 0)
        job_id = f"{PROBE_JOB_PREFIX}{worker}"
        lease_id = f"{job_id}/{self._epoch}/{next(self._serial)}"
        lease = TaskLease(lease_id, job_id, 0, 0, worker, first, accelerators, 1, 1)
        self._open[lease_id] = lease
        self._leases.put(TaskReport(lease, TaskState.RESERVED, 0.0))
        self._pool.call(worker, ReserveTask(lease), now)

    def owns(self, lease_id: str) -> bool:
        """Return whether a lease is that of a probe under way."""
        return lease_id in self._open

    def list_workers(self) -> set[str]:
        """Return the workers on which a probe is under way."""
        return {lease.worker for lease in self._open.values()}

    def note_report(self, report: TaskReport, now: float) -> None:
        """Go on with a probe, or note its result."""
        lease = report.lease
        match report.state:
            case TaskState.RESERVED:
                self._pool.call(lease.worker, StartTask(lease), now)
            case TaskState.FINISHED | TaskState.FAILED | TaskState.STOPPED:
                self._end(lease, report.state is TaskState.FINISHED)
                call = AcknowledgeTasks((lease.lease_id,))
                self._pool.call(lease.worker, call, now)

    def note_failure(self, lease_id: str, now: float) -> None:
        """Note that a call for a probe got no answer, or its lease is gone."""
        lease = self._open.get(lease_id)
        if lease is not None:
            self._end(lease, False)
            self._pool.call(lease.worker, StopTask(lease), now)

    def _end(self, lease: TaskLease, is_sound: bool) -> None:
        del self._open[lease.lease_id]
        self._leases.drop(lease.lease_id)
        self.results.append((lease.worker, is_sound))
