"""Gangs in progress, with their leases, and the answers of the workers to them.

Part of the decider's state; only the decider's thread uses it.
"""

from collections.abc import Iterable

from geraniumwell.actors.worker_pool import WorkerPool
from geraniumwell.actors.worker_probes import WorkerProbes
from geraniumwell.clients.worker import Renewal
from geraniumwell.commands.gangs.recovery import list_orphaned_tasks
from geraniumwell.commands.gangs.start import ENDED_STATES, advance, list_renewable
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
    Phase,
    RecordEnd,
    RecordRunning,
    StopRequested,
    StopTask,
    TaskEffect,
    TaskExtended,
    TaskMissing,
    TaskReported,
)
from geraniumwell.model.gang_view import LeaseTable, mask_of
from geraniumwell.model.worker import Inventory, TaskLease, TaskReport, TaskState
from geraniumwell.util.invariants import check_invariant

GangNews = tuple[GangAttempt, RecordRunning | RecordEnd]


class GangRunner:
    """Executes the effects of gangs on workers and feeds the answers back.

    Each method that may complete a step of a gang returns what is to be recorded.
    """

    __slots__ = ("_pool", "_renewing", "_places", "gangs", "leases", "probes")

    def __init__(self, pool: WorkerPool, epoch: int) -> None:
        self._pool = pool
        self._renewing: set[str] = set()
        # Jobs whose start is being recorded; their workers know nothing of it yet.
        self._places: set[str] = set()
        self.gangs: dict[str, GangAttempt] = {}
        self.leases = LeaseTable()
        self.probes = WorkerProbes(pool, self.leases, epoch)

    def put(
        self, gang: GangAttempt, effects: Iterable[GangEffect], now: float
    ) -> list[GangNews]:
        """Take over a gang in its new phase and execute its effects."""
        self.gangs[gang.job_id] = gang
        self._places.discard(gang.job_id)
        self._sync_leases(gang)
        news: list[GangNews] = []
        for effect in effects:
            match effect:
                case RecordRunning() | RecordEnd():
                    news.append((gang, effect))
                case _:
                    news += self._execute(gang, effect, now)
        return news

    def stop_gang(
        self, job_id: str, reason: str, now: float, save_seconds: float = 0.0
    ) -> list[GangNews]:
        """Stop all members of a gang, after a checkpoint if time is given for it."""
        return self._feed(job_id, StopRequested(reason, save_seconds), now)

    def forget(self, job_id: str, leases: tuple[TaskLease, ...], now: float) -> None:
        """Drop a gang whose end is recorded, and let the workers drop its tasks."""
        self.gangs.pop(job_id, None)
        by_worker: dict[str, list[str]] = {}
        for lease in leases:
            self.leases.drop(lease.lease_id)
            by_worker.setdefault(lease.worker, []).append(lease.lease_id)
        for worker, ids in by_worker.items():
            self._pool.call(worker, AcknowledgeTasks(tuple(ids)), now)

    def hold_places(self, leases: tuple[TaskLease, ...]) -> None:
        """Count leases as held before their workers are asked."""
        for lease in leases:
            use = self.leases.usage_of(lease.worker)
            check_invariant(
                "no accelerator leased twice",
                use is None or not use.mask & mask_of(lease),
                lambda lease=lease: f"{lease} overlaps another lease",
            )
        for lease in leases:
            self._places.add(lease.job_id)
            self.leases.put(TaskReport(lease, TaskState.RESERVED, 0.0))

    def free_places(self, leases: tuple[TaskLease, ...]) -> None:
        """Undo ``hold_places`` of leases that no worker was asked for."""
        for lease in leases:
            self._places.discard(lease.job_id)
            self.leases.drop(lease.lease_id)

    def pass_time(self, now: float) -> list[GangNews]:
        """Repeat unanswered steps and give up what took too long."""
        news: list[GangNews] = []
        for job_id in list(self.gangs):
            news += self._feed(job_id, ClockTick(), now)
        return news

    def is_busy(self) -> bool:
        """Return whether any gang has steps to repeat soon."""
        quiet = (Phase.RUNNING, Phase.ENDED)
        return any(gang.phase not in quiet for gang in self.gangs.values())

    def renew(self, now: float) -> None:
        """Renew due leases in one call to each worker, which also reports ends."""
        due: dict[str, list[str]] = {w: [] for w in self.probes.list_workers()}
        for gang in self.gangs.values():
            for lease in list_renewable(gang):
                ids = due.setdefault(lease.worker, [])
                heard = gang.heard.get(lease.lease_id, 0.0)
                if now - heard > TASK_RENEWAL_SECONDS - TASK_CHECK_SECONDS / 2:
                    ids.append(lease.lease_id)
        for worker, ids in due.items():
            if worker in self._renewing:
                continue
            if self._pool.call(worker, RenewTasks(tuple(ids)), now):
                self._renewing.add(worker)

    def handle(self, answer: WorkerAnswer, now: float) -> list[GangNews]:
        """Apply a worker's answer, whose epoch is that of this decider."""
        match answer:
            case TaskAnswered(_, _, call, None):
                return self._note(call.lease, TaskMissing(call.lease.lease_id), now)
            case TaskAnswered(_, _, _, report):
                return self._note_report(report, now)
            case TasksRenewed(worker, _, call, renewal):
                return self._note_renewal(worker, call, renewal, now)
            case InventoryTaken(worker, _, inventory):
                return self._note_inventory(worker, inventory, now)
            case WorkerCallFailed():
                return self._note_failure(answer, now)
        return []

    def release_strays(self, worker: str, inventory: Inventory, now: float) -> None:
        """Stop and acknowledge the leases of a worker that belong to no gang."""
        held = [
            lease
            for gang in self.gangs.values()
            for lease in gang.leases
            if lease.worker == worker
        ]
        for report in list_orphaned_tasks(inventory, held):
            if not self.probes.owns(report.lease.lease_id):
                self._note_stray(report, now)

    def _execute(
        self, gang: GangAttempt, effect: TaskEffect, now: float
    ) -> list[GangNews]:
        if self._pool.call(effect.lease.worker, effect, now):
            return []
        event = CallFailed(effect.lease.lease_id, was_sent=False)
        return self._feed(gang.job_id, event, now)

    def _feed(self, job_id: str, event: GangEvent, now: float) -> list[GangNews]:
        gang = self.gangs.get(job_id)
        if gang is None or gang.phase is Phase.ENDED:
            return []
        gang, effects = advance(gang, event, now)
        return self.put(gang, effects, now)

    def _sync_leases(self, gang: GangAttempt) -> None:
        for lease in gang.leases:
            if lease.lease_id in gang.ended or gang.phase is Phase.ENDED:
                self.leases.drop(lease.lease_id)
            elif self.leases.get(lease.lease_id) is None:
                self.leases.put(TaskReport(lease, TaskState.RESERVED, 0.0))

    def _note(self, lease: TaskLease, event: GangEvent, now: float) -> list[GangNews]:
        gang = self.gangs.get(lease.job_id)
        if gang is not None and gang.attempt == lease.attempt:
            return self._feed(lease.job_id, event, now)
        is_probe = self.probes.owns(lease.lease_id)
        match event:
            case TaskMissing() | CallFailed() if is_probe:
                self.probes.note_failure(lease.lease_id, now)
            case TaskMissing():
                self.leases.drop(lease.lease_id)
            case TaskReported(report) if is_probe:
                self.probes.note_report(report, now)
            case TaskReported(report):
                self._note_stray(report, now)
        return []

    def _note_report(self, report: TaskReport, now: float) -> list[GangNews]:
        if self.leases.get(report.lease.lease_id) is not None:
            self.leases.put(report)
        return self._note(report.lease, TaskReported(report), now)

    def _note_stray(self, report: TaskReport, now: float) -> None:
        lease = report.lease
        if report.state in ENDED_STATES:
            self.leases.drop(lease.lease_id)
            call: WorkerCall = AcknowledgeTasks((lease.lease_id,))
        else:
            self.leases.put(report)
            call = StopTask(lease)
        self._pool.call(lease.worker, call, now)

    def _note_renewal(
        self,
        worker: str,
        call: RenewTasks | ExtendTask,
        renewal: Renewal,
        now: float,
    ) -> list[GangNews]:
        match call:
            case ExtendTask(lease):
                asked: tuple[str, ...] = (lease.lease_id,)
            case RenewTasks(lease_ids):
                asked = lease_ids
                self._renewing.discard(worker)
        news: list[GangNews] = []
        for report in renewal.ended:
            news += self._note_report(report, now)
        ended = {report.lease.lease_id for report in renewal.ended}
        for lease_id in set(asked) - ended:
            known = self.leases.get(lease_id)
            if known is None:
                continue
            event: GangEvent = TaskExtended(lease_id)
            if lease_id in renewal.unknown:
                event = TaskMissing(lease_id)
            news += self._note(known.lease, event, now)
        return news

    def _note_inventory(
        self, worker: str, inventory: Inventory, now: float
    ) -> list[GangNews]:
        news: list[GangNews] = []
        for report in inventory.tasks:
            if report.lease.job_id in self.gangs:
                news += self._note_report(report, now)
        listed = {t.lease.lease_id for t in inventory.tasks}
        for report in self.leases.of_worker(worker):
            lease = report.lease
            gang = self.gangs.get(lease.job_id)
            if lease.lease_id in listed or lease.job_id in self._places:
                continue
            # Calls to a worker are answered in order, so a member of a running gang
            # was confirmed before this inventory was taken.
            if gang is not None and gang.phase in (Phase.RUNNING, Phase.SAVING):
                news += self._note(lease, TaskMissing(lease.lease_id), now)
            elif gang is None and not self.probes.owns(lease.lease_id):
                self.leases.drop(lease.lease_id)
        return news

    def _note_failure(self, failed: WorkerCallFailed, now: float) -> list[GangNews]:
        match failed.call:
            case RenewTasks(lease_ids):
                self._renewing.discard(failed.worker)
            case TakeInventory() | AcknowledgeTasks():
                return []
            case _:
                lease_ids = (failed.call.lease.lease_id,)
        news: list[GangNews] = []
        for lease_id in lease_ids:
            known = self.leases.get(lease_id)
            if known is not None:
                event = CallFailed(lease_id, failed.was_sent)
                news += self._note(known.lease, event, now)
        return news
