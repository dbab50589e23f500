"""Actor that schedules all jobs of a deployment while its leader claim is valid."""

from typing import Any

from pykka import ActorRef, ThreadingActor

from geraniumwell.actors.batch.commit_state import (
    CommitState,
    affects_claim,
    begin_transaction,
    confirm_transaction,
    find_committed_version,
    find_due_time,
    list_uncommitted_jobs,
    make_commit_state,
)
from geraniumwell.actors.batch.end_reporter import EndReporter
from geraniumwell.actors.batch.feeds import start_feeds
from geraniumwell.actors.batch.fleet_reporter import FleetReporter
from geraniumwell.actors.batch.interference_log import log_interference
from geraniumwell.actors.batch.job_sweeper import JobSweeper
from geraniumwell.actors.batch.messaging import tell
from geraniumwell.actors.batch.order_dispatch import dispatch_orders
from geraniumwell.actors.batch.order_results import apply_order_result
from geraniumwell.actors.batch.poll_results import apply_poll_result
from geraniumwell.actors.batch.priority_inbox import PriorityInbox
from geraniumwell.actors.batch.row_applier import RowApplier
from geraniumwell.actors.batch.scheduler_dependencies import (
    SchedulerDependencies,
    list_startup_tables,
)
from geraniumwell.actors.batch.start_results import (
    apply_start_result,
    is_stale_epoch_refusal,
)
from geraniumwell.actors.batch.store_link import StoreLink
from geraniumwell.actors.batch.table_loader import TableLoader
from geraniumwell.actors.batch.worker_caller import WorkerCaller
from geraniumwell.clients.table import RowRange, TablePartition, merge_ranges
from geraniumwell.clients.task_worker import StaleEpochRefusalError
from geraniumwell.commands.batch.answers import (
    handle_unsent_start,
    is_start_wanted,
)
from geraniumwell.commands.batch.evacuation import cancel_unsent_starts
from geraniumwell.commands.batch.lifecycle import find_task
from geraniumwell.commands.batch.planning import plan
from geraniumwell.commands.batch.registry import remove_unregistered_workers
from geraniumwell.commands.batch.retention import record_removals, request_removals
from geraniumwell.commands.batch.rounds import DueTimer, RoundTimer
from geraniumwell.const import (
    JOB_PARTITIONS,
    PARTITION_SCHEDULE,
    TABLE_CONTROL,
    TABLE_JOBS,
    TABLE_PROGRESS,
)
from geraniumwell.helpers.batch_log_fields import group_order_fields
from geraniumwell.helpers.batch_metrics import (
    ORDERS,
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
    JobRowsRemoved,
    LeaderClaim,
    LoadTables,
    PaceAnswered,
    PaceUnanswered,
    PollAnswered,
    PollFailed,
    ReleaseClaim,
    RemoveJobRows,
    RowsCommitted,
    SchedulerEnded,
    StartAnswered,
    StartNotSent,
    StartUnanswered,
    StartUnsent,
    StopAnswered,
    StopUnanswered,
    TableChanged,
    TablesLoaded,
    TableSnapshot,
    TableUnavailable,
)
from geraniumwell.messages.serving import Tick
from geraniumwell.model.batch.catalog import Catalog
from geraniumwell.model.batch.cluster import Cluster, Order, StartTask
from geraniumwell.queries.batch.status import count_pending
from geraniumwell.util.clock import boottime_seconds, stable_wall_seconds

COMMIT_RETRY_SECONDS = 0.1
# Ended jobs are kept for minutes, so the cleanup need not run in each round.
CLEANUP_SECONDS = 1.0


class Scheduler(ThreadingActor):
    """Owns the state of all jobs and workers under one epoch."""

    use_daemon_thread = True

    @staticmethod
    def _create_actor_inbox() -> PriorityInbox:
        return PriorityInbox(affects_claim)

    def __init__(
        self,
        claim: LeaderClaim,
        catalog: Catalog,
        evacuated: frozenset[str],
        deps: SchedulerDependencies,
        owner: ActorRef,
    ) -> None:
        super().__init__()
        self._deps = deps
        self._owner = owner
        self._cluster = Cluster(claim.row.epoch, deps.policy, catalog, evacuated)
        self._cluster.earlier_pending = claim.row.pending
        self._commits: CommitState = make_commit_state(claim)
        self._row_applier = RowApplier(self._cluster, deps.decode_entry)
        self._is_loaded = False
        self._is_ended = False
        self._round_timer = RoundTimer()
        self._cleaned_up_at = 0.0
        self._renewal_timer = DueTimer()
        self._feeds: list[ActorRef] = []
        self._end_reporter = EndReporter()
        self._fleet_reporter = FleetReporter()
        pool = deps.start_connection_pool(claim.row.epoch, self.actor_ref)
        self._caller = WorkerCaller(pool)

    def on_start(self) -> None:
        """Start the child actors and load the stored state."""
        self._store = StoreLink.start(self._deps.make_store(), self.actor_ref)
        self._sweeper = JobSweeper.start(self._deps.make_store(), self.actor_ref)
        self._loader = TableLoader.start(self._deps, self.actor_ref)
        tell(self._loader, LoadTables(list_startup_tables(self._deps.registry)))
        self._renew()

    def on_stop(self) -> None:
        """Stop the child actors."""
        self._caller.close()
        for ref in (self._store, self._sweeper, self._loader, *self._feeds):
            ref.stop(block=False)

    def on_failure(self, exception_type: Any, exc: Any, traceback: Any) -> None:
        """Let another daemon take over."""
        EVENT_LOG.write("scheduler_failed", detail=f"{exception_type.__name__}: {exc}")
        self.on_stop()
        self._report_end("failed")

    def on_receive(self, message: Any) -> Any:
        """Handle one message."""
        match message:
            case CountPendingJobs():
                return count_pending(self._cluster)
            case _ if self._is_ended:
                return None
            case TablesLoaded(ranges):
                self._apply_loaded_tables(ranges)
            case TableChanged() | TableSnapshot() | TableUnavailable():
                self._apply_rows(message)
            case CatalogChanged(catalog):
                self._cluster.catalog = catalog
                self._request_plan()
            case EvacuationsChanged(data_centres):
                self._apply_evacuations(data_centres)
            case RowsCommitted() | CommitFailed():
                self._handle_commit(message)
            case PollAnswered() | PollFailed():
                self._handle_poll_result(message)
            case StartAnswered() | StartNotSent() | StartUnanswered():
                self._handle_start_result(message)
            case StartUnsent(order):
                self._queue_again(order)
            case StopAnswered() | StopUnanswered() | PaceAnswered() | PaceUnanswered():
                apply_order_result(self._cluster, message, boottime_seconds())
            case ReleaseClaim():
                self._commits.is_releasing = True
            case Tick("plan"):
                self._plan_if_due()
            case Tick("renew"):
                self._renewal_timer.fire(boottime_seconds())
            case Tick("resend"):
                self._resend()
            case JobRowsRemoved(ids):
                record_removals(self._cluster, ids, boottime_seconds())
            case ActorFailed(name):
                self._end(f"the actor {name} has failed")
        self._run_due_actions()
        return None

    def _apply_loaded_tables(self, ranges: dict[TablePartition, RowRange]) -> None:
        now, wall_now = boottime_seconds(), stable_wall_seconds()
        registry = ranges[TablePartition(self._deps.registry, "")]
        progress = ranges[TablePartition(TABLE_PROGRESS, PARTITION_SCHEDULE)]
        found = merge_ranges(
            ranges[TablePartition(TABLE_JOBS, partition)]
            for partition in JOB_PARTITIONS
        )
        jobs = found.rows
        control = ranges[TablePartition(TABLE_CONTROL, PARTITION_SCHEDULE)]
        self._row_applier.restore_interference(control.rows, now, wall_now)
        self._row_applier.apply_registry(registry.rows, now)
        self._row_applier.restore_jobs(jobs, progress.rows, now)
        self._dispatch(self._row_applier.apply_all_jobs(jobs, now, wall_now))
        self._cluster.earlier_pending = None
        self._is_loaded = True
        self._request_plan()
        self._feeds = start_feeds(
            self._deps, self.actor_ref, found.version, registry.version
        )
        EVENT_LOG.write(
            "scheduler_loaded",
            epoch=self._cluster.epoch,
            jobs=len(self._cluster.jobs),
            workers=len(self._cluster.workers),
        )

    def _apply_rows(
        self, message: TableChanged | TableSnapshot | TableUnavailable
    ) -> None:
        now, wall_now = boottime_seconds(), stable_wall_seconds()
        match message:
            case TableUnavailable(table, code):
                EVENT_LOG.write("table_silent", table=table, code=code)
            case TableSnapshot(table, rows) if table == self._deps.registry:
                self._disconnect(self._row_applier.apply_registry(rows, now))
            case TableChanged(table, rows) if table == self._deps.registry:
                self._disconnect(self._row_applier.apply_registry_changes(rows, now))
            case TableSnapshot(_, rows):
                self._dispatch(self._row_applier.apply_all_jobs(rows, now, wall_now))
            case TableChanged(_, rows):
                self._dispatch(self._row_applier.apply_jobs(rows, now, wall_now))
        self._request_plan()

    def _disconnect(self, worker_ids: list[str]) -> None:
        for worker_id in worker_ids:
            self._caller.disconnect(worker_id)

    def _apply_evacuations(self, data_centres: frozenset[str]) -> None:
        self._cluster.evacuated_data_centres = data_centres
        self._dispatch(cancel_unsent_starts(self._cluster, boottime_seconds()))
        self._request_plan()

    def _handle_commit(self, message: RowsCommitted | CommitFailed) -> None:
        state = self._commits
        in_flight = state.in_flight
        if in_flight is None:
            return
        if isinstance(message, CommitFailed):
            EVENT_LOG.write("commit_failed", code=message.code, number=message.number)
            self._tick_after(COMMIT_RETRY_SECONDS, "resend")
            return
        version = find_committed_version(state, message.result)
        if version is None:
            self._end("another daemon holds the claim")
            return
        in_flight = confirm_transaction(state, self._cluster, version)
        if not in_flight.row.holder:
            self._end("released")
            return
        self._end_reporter.report(self._cluster, in_flight.jobs)
        self._end_reporter.forget(in_flight.removed_jobs)
        now = boottime_seconds()
        sent = [order for order in in_flight.orders if self._send_start(order, now)]
        for fields in group_order_fields(sent):
            EVENT_LOG.write("start", **fields)

    def _end(self, reason: str) -> None:
        """Stop scheduling; messages that are still queued have no effect."""
        if self._is_ended:
            return
        self._is_ended = True
        self._commits.valid_until = 0.0
        EVENT_LOG.write("scheduler_ended", epoch=self._cluster.epoch, reason=reason)
        self._report_end(reason)
        self.stop()

    def _report_end(self, reason: str) -> None:
        pending = count_pending(self._cluster)
        tell(self._owner, SchedulerEnded(self._cluster.epoch, reason, pending))

    def _renew(self) -> None:
        """Send the next transaction once it is due."""
        state, now = self._commits, boottime_seconds()
        if state.in_flight is not None:
            return
        due = find_due_time(state, self._cluster)
        if now >= due:
            in_flight = begin_transaction(
                state, self._cluster, now, stable_wall_seconds()
            )
            tell(self._store, CommitRows(in_flight.row.counter, in_flight.transaction))
        elif (wait := self._renewal_timer.request(due, now)) is not None:
            self._tick_after(wait, "renew")

    def _resend(self) -> None:
        """Send the transaction in flight again after a failed attempt."""
        in_flight = self._commits.in_flight
        if in_flight is not None:
            tell(self._store, CommitRows(in_flight.row.counter, in_flight.transaction))

    def _send_start(self, order: StartTask, now: float) -> bool:
        """Send a planned start; return whether it was sent."""
        if not is_start_wanted(self._cluster, order):
            return False
        if now >= self._commits.valid_until:
            # The next confirmed transaction makes the claim valid again.
            self._commits.orders.append(order)
            return False
        task = find_task(self._cluster, order.id)
        assert task is not None
        task.is_start_sent = True
        self._caller.send_start(self._cluster, order, self._commits.valid_until, now)
        return True

    def _queue_again(self, order: StartTask) -> None:
        """Queue a start again, to be sent once the claim is renewed."""
        ORDERS.labels("start", "postponed").inc()
        EVENT_LOG.write("start_postponed", job=order.id.job, run=order.run)
        if handle_unsent_start(self._cluster, order):
            self._commits.orders.append(order)
        else:
            self._request_plan()

    def _handle_start_result(
        self, message: StartAnswered | StartNotSent | StartUnanswered
    ) -> None:
        orders = apply_start_result(self._cluster, message, boottime_seconds())
        if is_stale_epoch_refusal(message):
            self._end("a worker has seen a higher epoch")
        self._dispatch(orders)
        self._request_plan()

    def _handle_poll_result(self, message: PollAnswered | PollFailed) -> None:
        now, wall_now = boottime_seconds(), stable_wall_seconds()
        self._dispatch(apply_poll_result(self._cluster, message, now, wall_now))
        match message:
            case PollFailed(_, code) if code == StaleEpochRefusalError.code:
                self._end("a worker has seen a higher epoch")
            case PollAnswered():
                self._request_plan()

    def _dispatch(self, orders: list[Order]) -> None:
        dispatch_orders(self._cluster, self._caller, self._commits, orders)

    def _request_plan(self) -> None:
        """Request a planning round; has no effect until the stored state is loaded."""
        if self._is_loaded:
            self._set_plan_timer(self._round_timer.request_round(boottime_seconds()))

    def _set_plan_timer(self, seconds: float | None) -> None:
        if seconds is not None:
            self._tick_after(seconds, "plan")

    def _plan_if_due(self) -> None:
        now = boottime_seconds()
        if not self._round_timer.begin_round(now):
            self._set_plan_timer(self._round_timer.find_remaining(now))
            return
        self._plan(now, stable_wall_seconds())
        self._set_plan_timer(self._round_timer.schedule_idle_round(now))

    def _plan(self, now: float, wall_now: float) -> None:
        with PLAN_SECONDS.time():
            self._dispatch(plan(self._cluster, now, wall_now))
        WAITING_JOBS.set(len(self._cluster.pending_jobs))
        if now >= self._cleaned_up_at + CLEANUP_SECONDS:
            self._cleaned_up_at = now
            self._clean_up(now, wall_now)

    def _clean_up(self, now: float, wall_now: float) -> None:
        """Remove unregistered workers and jobs whose retention time is over."""
        self._disconnect(remove_unregistered_workers(self._cluster))
        if now < self._commits.valid_until:
            uncommitted = list_uncommitted_jobs(self._commits)
            if jobs := request_removals(self._cluster, uncommitted, now, wall_now):
                tell(self._sweeper, RemoveJobRows(jobs))
        self._fleet_reporter.report(self._cluster, now)
        log_interference(self._cluster.interference)

    def _run_due_actions(self) -> None:
        """Renew the claim and poll workers if that has become due."""
        if self._is_ended:
            return
        self._renew()
        now = boottime_seconds()
        self._caller.poll_due_workers(self._cluster, self._commits.valid_until, now)

    def _tick_after(self, seconds: float, name: str) -> None:
        self._deps.ticker.tick_after(seconds, self.actor_ref, name)
