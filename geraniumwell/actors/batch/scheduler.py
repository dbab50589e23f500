"""Actor that schedules all jobs of a deployment while its claim is valid."""

from typing import Any

from pykka import ActorRef, ThreadingActor

from geraniumwell.actors.batch.commit_state import (
    CommitState,
    begin,
    confirm,
    find_due,
    find_version,
    make_commit_state,
)
from geraniumwell.actors.batch.end_reporter import EndReporter
from geraniumwell.actors.batch.feeds import start_feeds
from geraniumwell.actors.batch.job_sweeper import JobSweeper
from geraniumwell.actors.batch.messaging import tell
from geraniumwell.actors.batch.poll_results import apply_poll_result
from geraniumwell.actors.batch.priority_inbox import PriorityInbox
from geraniumwell.actors.batch.row_applier import RowApplier
from geraniumwell.actors.batch.scheduler_dependencies import (
    SchedulerDependencies,
    list_startup_tables,
)
from geraniumwell.actors.batch.start_results import (
    apply_start_result,
    has_confirmed_epoch,
)
from geraniumwell.actors.batch.store_link import StoreLink
from geraniumwell.actors.batch.table_loader import TableLoader
from geraniumwell.actors.batch.worker_caller import WorkerCaller
from geraniumwell.clients.table import RowRange, TablePartition, merge_ranges
from geraniumwell.clients.task_worker import FencedError
from geraniumwell.commands.batch.answers import (
    apply_stop_answer,
    handle_unsent_start,
    is_start_wanted,
)
from geraniumwell.commands.batch.evacuation import cancel_unsent_starts
from geraniumwell.commands.batch.lifecycle import (
    find_task,
    remove_expired_jobs,
)
from geraniumwell.commands.batch.planning import plan
from geraniumwell.commands.batch.registry import remove_unregistered_workers
from geraniumwell.commands.batch.rounds import DueTimer, RoundTimer
from geraniumwell.const import (
    JOB_PARTITIONS,
    PARTITION_SCHEDULE,
    TABLE_JOBS,
    TABLE_PROGRESS,
)
from geraniumwell.helpers.batch_log_fields import group_order_fields
from geraniumwell.helpers.batch_metrics import (
    ORDERS,
    PLACED_TASKS,
    PLAN_SECONDS,
    WAITING_JOBS,
)
from geraniumwell.helpers.event_log import EVENT_LOG
from geraniumwell.messages.batch import (
    ActorFailed,
    CatalogChanged,
    CommitFailed,
    CommitRows,
    CountPendingJobs,
    EvacuationsChanged,
    JobsSwept,
    LeaderClaim,
    LoadTables,
    PollAnswered,
    PollFailed,
    ReleaseClaim,
    RowsCommitted,
    SchedulerEnded,
    StartAnswered,
    StartNotSent,
    StartPostponed,
    StartUnanswered,
    StopAnswered,
    StopUnanswered,
    SweepJobs,
    TableChanged,
    TablesLoaded,
    TableSnapshot,
    TableUnavailable,
)
from geraniumwell.messages.serving import Tick
from geraniumwell.model.batch.catalog import Catalog
from geraniumwell.model.batch.cluster import (
    Cluster,
    Order,
    StartTask,
    StopTask,
)
from geraniumwell.queries.batch.status import count_pending
from geraniumwell.util.clock import boottime_seconds, stable_wall_seconds

RETRY_SECONDS = 0.1
# What is over is kept for minutes, so it need not be looked for in each round.
CLEAN_SECONDS = 1.0


def keeps_claim(message: Any) -> bool:
    """Tell whether a message decides for how long the claim is valid.

    Orders are sent only while it is, so such messages don't wait behind reports.
    """
    match message:
        case RowsCommitted() | CommitFailed() | ActorFailed() | ReleaseClaim():
            return True
        case Tick("renew" | "resend"):
            return True
    return False


class Scheduler(ThreadingActor):
    """Owns the state of all jobs and workers under one epoch."""

    use_daemon_thread = True

    @staticmethod
    def _create_actor_inbox() -> PriorityInbox:
        return PriorityInbox(keeps_claim)

    def __init__(
        self,
        claim: LeaderClaim,
        catalog: Catalog,
        evacuated: frozenset[str],
        parts: SchedulerDependencies,
        owner: ActorRef,
    ) -> None:
        super().__init__()
        self._parts = parts
        self._owner = owner
        self._cluster = Cluster(claim.row.epoch, parts.policy, catalog, evacuated)
        self._journal: CommitState = make_commit_state(claim)
        self._intake = RowApplier(self._cluster, parts.decode_entry)
        self._is_loaded = False
        self._is_ended = False
        self._rounds = RoundTimer()
        self._cleaned_at = 0.0
        self._renewal = DueTimer()
        self._feeds: list[ActorRef] = []
        self._ends = EndReporter()
        exchange = parts.start_connection_pool(claim.row.epoch, self.actor_ref)
        self._fleet = WorkerCaller(exchange)

    def on_start(self) -> None:
        """Read what is stored before the first order."""
        self._store = StoreLink.start(self._parts.make_store(), self.actor_ref)
        self._sweeper = JobSweeper.start(self._parts.make_store(), self.actor_ref)
        self._loader = TableLoader.start(self._parts, self.actor_ref)
        tell(self._loader, LoadTables(list_startup_tables(self._parts.registry)))
        self._renew()

    def on_stop(self) -> None:
        """Stop the actors of this scheduler."""
        self._fleet.close()
        for ref in (self._store, self._sweeper, self._loader, *self._feeds):
            ref.stop(block=False)

    def on_failure(self, exception_type: Any, value: Any, traceback: Any) -> None:
        """Let another daemon take over."""
        EVENT_LOG.write(
            "scheduler_failed", detail=f"{exception_type.__name__}: {value}"
        )
        self.on_stop()
        tell(self._owner, SchedulerEnded(self._cluster.epoch, "failed"))

    def on_receive(self, message: Any) -> Any:
        """Handle one message."""
        match message:
            case CountPendingJobs():
                return count_pending(self._cluster)
            case _ if self._is_ended:
                return None
            case TablesLoaded(ranges):
                self._take_load(ranges)
            case TableChanged() | TableSnapshot() | TableUnavailable():
                self._take_rows(message)
            case CatalogChanged(catalog):
                self._cluster.catalog = catalog
                self._request_plan()
            case EvacuationsChanged(data_centres):
                self._evacuate(data_centres)
            case RowsCommitted() | CommitFailed():
                self._take_commit(message)
            case PollAnswered() | PollFailed():
                self._take_look(message)
            case StartAnswered() | StartNotSent() | StartUnanswered():
                self._take_start(message)
            case StartPostponed(order):
                self._postpone(order)
            case StopAnswered(order):
                apply_stop_answer(self._cluster, order, boottime_seconds())
                ORDERS.labels("stop", "stopped").inc()
            case StopUnanswered(order, code):
                ORDERS.labels("stop", code).inc()
            case ReleaseClaim():
                self._journal.is_releasing = True
            case Tick("plan"):
                self._plan_if_due()
            case Tick("renew"):
                self._renewal.fire(boottime_seconds())
            case Tick("resend"):
                self._resend()
            case JobsSwept(ids):
                self._journal.removals += ids
            case ActorFailed(name):
                self._end(f"its {name} has failed")
        self._advance()
        return None

    def _take_load(self, ranges: dict[TablePartition, RowRange]) -> None:
        now, wall_now = boottime_seconds(), stable_wall_seconds()
        registry = ranges[TablePartition(self._parts.registry, "")]
        progress = ranges[TablePartition(TABLE_PROGRESS, PARTITION_SCHEDULE)]
        found = merge_ranges(
            ranges[TablePartition(TABLE_JOBS, part)] for part in JOB_PARTITIONS
        )
        jobs = found.rows
        self._intake.replace_registry(registry.rows, now)
        self._intake.restore_jobs(jobs, progress.rows, now)
        self._carry_out(self._intake.apply_jobs(jobs, now, wall_now))
        self._is_loaded = True
        self._request_plan()
        self._feeds = start_feeds(
            self._parts, self.actor_ref, found.version, registry.version
        )
        EVENT_LOG.write(
            "scheduler_loaded",
            epoch=self._cluster.epoch,
            jobs=len(self._cluster.jobs),
            workers=len(self._cluster.workers),
        )

    def _take_rows(
        self, message: TableChanged | TableSnapshot | TableUnavailable
    ) -> None:
        now, wall_now = boottime_seconds(), stable_wall_seconds()
        match message:
            case TableUnavailable(table, code):
                EVENT_LOG.write("table_silent", table=table, code=code)
            case TableSnapshot(table, rows) if table == self._parts.registry:
                self._drop_workers(self._intake.replace_registry(rows, now))
            case TableChanged(table, rows) if table == self._parts.registry:
                self._drop_workers(self._intake.change_registry(rows, now))
            case TableSnapshot(_, rows) | TableChanged(_, rows):
                self._carry_out(self._intake.apply_jobs(rows, now, wall_now))
        self._request_plan()

    def _drop_workers(self, worker_ids: list[str]) -> None:
        for worker_id in worker_ids:
            self._fleet.drop(worker_id)

    def _evacuate(self, data_centres: frozenset[str]) -> None:
        self._cluster.evacuated_data_centres = data_centres
        self._carry_out(cancel_unsent_starts(self._cluster, boottime_seconds()))
        self._request_plan()

    def _take_commit(self, message: RowsCommitted | CommitFailed) -> None:
        journal = self._journal
        flight = journal.flight
        if flight is None:
            return
        if isinstance(message, CommitFailed):
            EVENT_LOG.write("commit_failed", code=message.code, number=message.number)
            self._tick_after(RETRY_SECONDS, "resend")
            return
        version = find_version(journal, message.result)
        if version is None:
            self._end("another daemon holds the claim")
            return
        flight = confirm(journal, self._cluster, version)
        if not flight.row.holder:
            self._end("released")
            return
        self._ends.report(self._cluster, flight.jobs)
        now = boottime_seconds()
        sent = [order for order in flight.orders if self._send_start(order, now)]
        for fields in group_order_fields(sent):
            EVENT_LOG.write("start", **fields)

    def _end(self, reason: str) -> None:
        """Give the schedule up; what is still queued is handled and changes nothing."""
        if self._is_ended:
            return
        self._is_ended = True
        self._journal.valid_until = 0.0
        EVENT_LOG.write("scheduler_ended", epoch=self._cluster.epoch, reason=reason)
        tell(self._owner, SchedulerEnded(self._cluster.epoch, reason))
        self.stop()

    def _renew(self) -> None:
        """Send the next transaction once it is due."""
        journal, now = self._journal, boottime_seconds()
        if journal.flight is not None:
            return
        due = find_due(journal, self._cluster)
        if now >= due:
            flight = begin(journal, self._cluster, now)
            tell(self._store, CommitRows(flight.row.counter, flight.transaction))
        elif (wait := self._renewal.request(due, now)) is not None:
            self._tick_after(wait, "renew")

    def _resend(self) -> None:
        """Send the transaction in flight again, because it got no answer."""
        flight = self._journal.flight
        if flight is not None:
            tell(self._store, CommitRows(flight.row.counter, flight.transaction))

    def _send_start(self, order: StartTask, now: float) -> bool:
        """Send a planned start, and tell whether it was sent."""
        if not is_start_wanted(self._cluster, order):
            return False
        if now >= self._journal.valid_until:
            # The next confirmed transaction makes the claim valid again.
            self._journal.orders.append(order)
            return False
        task = find_task(self._cluster, order.id)
        assert task is not None
        task.is_start_sent = True
        self._fleet.send_start(self._cluster, order, self._journal.valid_until, now)
        return True

    def _postpone(self, order: StartTask) -> None:
        """Send a start again once the claim is renewed."""
        ORDERS.labels("start", "postponed").inc()
        EVENT_LOG.write("start_postponed", job=order.id.job, run=order.run)
        if handle_unsent_start(self._cluster, order):
            self._journal.orders.append(order)
        else:
            self._request_plan()

    def _take_start(
        self, message: StartAnswered | StartNotSent | StartUnanswered
    ) -> None:
        orders = apply_start_result(self._cluster, message, boottime_seconds())
        if has_confirmed_epoch(message):
            self._end("a worker has seen a higher epoch")
        self._carry_out(orders)
        self._request_plan()

    def _take_look(self, message: PollAnswered | PollFailed) -> None:
        now, wall_now = boottime_seconds(), stable_wall_seconds()
        self._carry_out(apply_poll_result(self._cluster, message, now, wall_now))
        match message:
            case PollFailed(_, code) if code == FencedError.code:
                self._end("a worker has seen a higher epoch")
            case PollAnswered():
                self._request_plan()

    def _carry_out(self, orders: list[Order]) -> None:
        stops: list[StopTask] = []
        for order in orders:
            match order:
                case StartTask():
                    self._journal.orders.append(order)
                case StopTask():
                    stops.append(order)
                    valid_until = self._journal.valid_until
                    self._fleet.send_stop(self._cluster, order, valid_until)
        for fields in group_order_fields(stops):
            EVENT_LOG.write("stop", **fields)

    def _request_plan(self) -> None:
        """Plan soon; nothing can be planned before all that is stored is read."""
        if self._is_loaded:
            self._set_plan_timer(self._rounds.request_round(boottime_seconds()))

    def _set_plan_timer(self, seconds: float | None) -> None:
        if seconds is not None:
            self._tick_after(seconds, "plan")

    def _plan_if_due(self) -> None:
        now = boottime_seconds()
        if not self._rounds.begin_round(now):
            self._set_plan_timer(self._rounds.find_remaining(now))
            return
        self._plan(now, stable_wall_seconds())
        self._set_plan_timer(self._rounds.schedule_idle_round(now))

    def _plan(self, now: float, wall_now: float) -> None:
        with PLAN_SECONDS.time():
            self._carry_out(plan(self._cluster, now, wall_now))
        WAITING_JOBS.set(len(self._cluster.pending_jobs))
        if now >= self._cleaned_at + CLEAN_SECONDS:
            self._cleaned_at = now
            self._clean(wall_now)

    def _clean(self, wall_now: float) -> None:
        """Forget workers and jobs that are over."""
        self._drop_workers(remove_unregistered_workers(self._cluster))
        if old := remove_expired_jobs(self._cluster, wall_now):
            self._ends.forget(old)
            tell(self._sweeper, SweepJobs(tuple(old)))
        PLACED_TASKS.set(sum(len(w.tasks) for w in self._cluster.workers.values()))

    def _advance(self) -> None:
        """Do what has become due after a message."""
        if self._is_ended:
            return
        self._renew()
        now = boottime_seconds()
        self._fleet.poll_due_workers(self._cluster, self._journal.valid_until, now)

    def _tick_after(self, seconds: float, name: str) -> None:
        self._parts.ticker.tick_after(seconds, self.actor_ref, name)
