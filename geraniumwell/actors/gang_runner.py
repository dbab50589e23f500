"""Gangs in progress, their leases, and the calls to workers for them.

Part of the decider's state; used by the decider's thread only.
"""

from collections.abc import Iterable

from geraniumwell.actors.worker_pool import WorkerPool
from geraniumwell.actors.worker_probes import WorkerProbes
from geraniumwell.clients.worker import Renewal
from geraniumwell.commands.gangs.recovery import list_orphaned_tasks
from geraniumwell.commands.gangs.start import ENDED_TASK_STATES, advance, list_renewable
from geraniumwell.const import TASK_CHECK_SECONDS, TASK_RENEWAL_SECONDS
from geraniumwell.messages.workers import (
    AcknowledgeTasks,
    InventoryTaken,
    RenewTasks,
    TakeInventory,
    TaskAnswered,
    TasksRenewed,
    WorkerAnswer,
    WorkerCall,
    WorkerCallFailed,
)
from geraniumwell.model.gang_run import (
    CallFailed,
    ClockTick,
    ExtendTask,
    GangAttempt,
    GangEffect,
    GangEvent,
    GangPhase,
    RecordEnd,
    RecordRunning,
    StopRequested,
    StopTask,
    TaskEffect,
    TaskExtended,
    TaskMissing,
    TaskReported,
)
from geraniumwell.model.gang_view import LeaseTable, make_accelerator_mask
from geraniumwell.model.worker import Inventory, TaskLease, TaskReport, TaskState
from geraniumwell.util.invariants import check_invariant

GangUpdate = tuple[GangAttempt, RecordRunning | RecordEnd]


class GangRunner:
    """Executes the effects of gangs on workers and applies the responses to the gangs.

    Each method that may complete a step of a gang returns the updates to record.
    """

    __slots__ = ("_pool", "_renewing", "_unstarted", "gangs", "leases", "probes")

    def __init__(self, pool: WorkerPool, epoch: int) -> None:
        self._pool = pool
        self._renewing: set[str] = set()
        # Jobs whose start is being recorded and whose workers were not called yet.
        self._unstarted: set[str] = set()
        self.gangs: dict[str, GangAttempt] = {}
        self.leases = LeaseTable()
        self.probes = WorkerProbes(pool, self.leases, epoch)

    def update_gang(
        self, gang: GangAttempt, effects: Iterable[GangEffect], now: float
    ) -> list[GangUpdate]:
        """Store a gang in its new phase and execute its effects."""
        self.gangs[gang.job_id] = gang
        self._unstarted.discard(gang.job_id)
        self._sync_leases(gang)
        updates: list[GangUpdate] = []
        for effect in effects:
            match effect:
                case RecordRunning() | RecordEnd():
                    updates.append((gang, effect))
                case _:
                    updates += self._execute(gang, effect, now)
        return updates

    def stop_gang(
        self, job_id: str, reason: str, now: float, save_seconds: float = 0.0
    ) -> list[GangUpdate]:
        """Stop all members of a gang, after a checkpoint if time is given for one."""
        return self._apply_event(job_id, StopRequested(reason, save_seconds), now)

    def remove_gang(
        self, job_id: str, leases: tuple[TaskLease, ...], now: float
    ) -> None:
        """Remove a gang whose end is recorded, and let the workers drop its tasks."""
        self.gangs.pop(job_id, None)
        by_worker: dict[str, list[str]] = {}
        for lease in leases:
            self.leases.drop(lease.lease_id)
            by_worker.setdefault(lease.worker, []).append(lease.lease_id)
        for worker, ids in by_worker.items():
            self._pool.call(worker, AcknowledgeTasks(tuple(ids)), now)

    def hold_leases(self, leases: tuple[TaskLease, ...]) -> None:
        """Count leases as held before their workers are called."""
        for lease in leases:
            usage = self.leases.usage_of(lease.worker)
            check_invariant(
                "no accelerator leased twice",
                usage is None or not usage.mask & make_accelerator_mask(lease),
                lambda lease=lease: f"{lease} overlaps another lease",
            )
        for lease in leases:
            self._unstarted.add(lease.job_id)
            self.leases.put(TaskReport(lease, TaskState.RESERVED, 0.0))

    def drop_held_leases(self, leases: tuple[TaskLease, ...]) -> None:
        """Undo ``hold_leases`` for leases whose workers were not called."""
        for lease in leases:
            self._unstarted.discard(lease.job_id)
            self.leases.drop(lease.lease_id)

    def retry_unanswered(self, now: float) -> list[GangUpdate]:
        """Retry unanswered steps and give up those that took too long."""
        updates: list[GangUpdate] = []
        for job_id in list(self.gangs):
            updates += self._apply_event(job_id, ClockTick(), now)
        return updates

    def is_busy(self) -> bool:
        """Return whether any gang has steps to retry soon."""
        steady = (GangPhase.RUNNING, GangPhase.ENDED)
        return any(gang.phase not in steady for gang in self.gangs.values())

    def renew(self, now: float) -> None:
        """Renew due leases with one call per worker, which also returns ended tasks."""
        due: dict[str, list[str]] = {w: [] for w in self.probes.list_workers()}
        for gang in self.gangs.values():
            for lease in list_renewable(gang):
                ids = due.setdefault(lease.worker, [])
                answered_at = gang.last_answer_at.get(lease.lease_id, 0.0)
                if now - answered_at > TASK_RENEWAL_SECONDS - TASK_CHECK_SECONDS / 2:
                    ids.append(lease.lease_id)
        for worker, ids in due.items():
            if worker in self._renewing:
                continue
            if self._pool.call(worker, RenewTasks(tuple(ids)), now):
                self._renewing.add(worker)

    def handle(self, answer: WorkerAnswer, now: float) -> list[GangUpdate]:
        """Apply a worker's response to a call under the epoch of this term."""
        match answer:
            case TaskAnswered(_, _, call, None):
                return self._apply_lease_event(
                    call.lease, TaskMissing(call.lease.lease_id), now
                )
            case TaskAnswered(_, _, _, report):
                return self._handle_report(report, now)
            case TasksRenewed(worker, _, call, renewal):
                return self._handle_renewal(worker, call, renewal, now)
            case InventoryTaken(worker, _, inventory):
                return self._handle_inventory(worker, inventory, now)
            case WorkerCallFailed():
                return self._handle_failure(answer, now)
        return []

    def release_orphaned_tasks(
        self, worker: str, inventory: Inventory, now: float
    ) -> None:
        """Stop or acknowledge the leases on a worker that belong to no gang."""
        held = [
            lease
            for gang in self.gangs.values()
            for lease in gang.leases
            if lease.worker == worker
        ]
        for report in list_orphaned_tasks(inventory, held):
            if not self.probes.owns(report.lease.lease_id):
                self._release_orphaned_task(report, now)

    def _execute(
        self, gang: GangAttempt, effect: TaskEffect, now: float
    ) -> list[GangUpdate]:
        if self._pool.call(effect.lease.worker, effect, now):
            return []
        event = CallFailed(effect.lease.lease_id, was_sent=False)
        return self._apply_event(gang.job_id, event, now)

    def _apply_event(
        self, job_id: str, event: GangEvent, now: float
    ) -> list[GangUpdate]:
        gang = self.gangs.get(job_id)
        if gang is None or gang.phase is GangPhase.ENDED:
            return []
        gang, effects = advance(gang, event, now)
        return self.update_gang(gang, effects, now)

    def _sync_leases(self, gang: GangAttempt) -> None:
        for lease in gang.leases:
            if lease.lease_id in gang.ended or gang.phase is GangPhase.ENDED:
                self.leases.drop(lease.lease_id)
            elif self.leases.get(lease.lease_id) is None:
                self.leases.put(TaskReport(lease, TaskState.RESERVED, 0.0))

    def _apply_lease_event(
        self, lease: TaskLease, event: GangEvent, now: float
    ) -> list[GangUpdate]:
        gang = self.gangs.get(lease.job_id)
        if gang is not None and gang.attempt == lease.attempt:
            return self._apply_event(lease.job_id, event, now)
        is_probe = self.probes.owns(lease.lease_id)
        match event:
            case TaskMissing() | CallFailed() if is_probe:
                self.probes.handle_failure(lease.lease_id, now)
            case TaskMissing():
                self.leases.drop(lease.lease_id)
            case TaskReported(report) if is_probe:
                self.probes.handle_report(report, now)
            case TaskReported(report):
                self._release_orphaned_task(report, now)
        return []

    def _handle_report(self, report: TaskReport, now: float) -> list[GangUpdate]:
        if self.leases.get(report.lease.lease_id) is not None:
            self.leases.put(report)
        return self._apply_lease_event(report.lease, TaskReported(report), now)

    def _release_orphaned_task(self, report: TaskReport, now: float) -> None:
        lease = report.lease
        if report.state in ENDED_TASK_STATES:
            self.leases.drop(lease.lease_id)
            call: WorkerCall = AcknowledgeTasks((lease.lease_id,))
        else:
            self.leases.put(report)
            call = StopTask(lease)
        self._pool.call(lease.worker, call, now)

    def _handle_renewal(
        self,
        worker: str,
        call: RenewTasks | ExtendTask,
        renewal: Renewal,
        now: float,
    ) -> list[GangUpdate]:
        match call:
            case ExtendTask(lease):
                asked: tuple[str, ...] = (lease.lease_id,)
            case RenewTasks(lease_ids):
                asked = lease_ids
                self._renewing.discard(worker)
        updates: list[GangUpdate] = []
        for report in renewal.ended:
            updates += self._handle_report(report, now)
        ended = {report.lease.lease_id for report in renewal.ended}
        for lease_id in set(asked) - ended:
            known = self.leases.get(lease_id)
            if known is None:
                continue
            event: GangEvent = TaskExtended(lease_id)
            if lease_id in renewal.unknown:
                event = TaskMissing(lease_id)
            updates += self._apply_lease_event(known.lease, event, now)
        return updates

    def _handle_inventory(
        self, worker: str, inventory: Inventory, now: float
    ) -> list[GangUpdate]:
        updates: list[GangUpdate] = []
        for report in inventory.tasks:
            if report.lease.job_id in self.gangs:
                updates += self._handle_report(report, now)
        listed = {t.lease.lease_id for t in inventory.tasks}
        for report in self.leases.list_by_worker(worker):
            lease = report.lease
            gang = self.gangs.get(lease.job_id)
            if lease.lease_id in listed or lease.job_id in self._unstarted:
                continue
            # A worker answers calls in order, so all members of a running gang were
            # confirmed before this inventory was taken.
            if gang is not None and gang.phase in (GangPhase.RUNNING, GangPhase.SAVING):
                updates += self._apply_lease_event(
                    lease, TaskMissing(lease.lease_id), now
                )
            elif gang is None and not self.probes.owns(lease.lease_id):
                self.leases.drop(lease.lease_id)
        return updates

    def _handle_failure(self, failed: WorkerCallFailed, now: float) -> list[GangUpdate]:
        match failed.call:
            case RenewTasks(lease_ids):
                self._renewing.discard(failed.worker)
            case TakeInventory() | AcknowledgeTasks():
                return []
            case _:
                lease_ids = (failed.call.lease.lease_id,)
        updates: list[GangUpdate] = []
        for lease_id in lease_ids:
            known = self.leases.get(lease_id)
            if known is not None:
                event = CallFailed(lease_id, failed.was_sent)
                updates += self._apply_lease_event(known.lease, event, now)
        return updates
