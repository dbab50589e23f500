"""One term of the decider: claim of the job rows, recovery and regular operation.

Part of the decider's state; used by the decider's thread only.
"""

from enum import StrEnum

from loguru import logger
from pykka import ActorRef

from geraniumwell.actors.claim import Claim, ClaimState
from geraniumwell.actors.gang_runner import GangRunner
from geraniumwell.actors.job_manager import JobManager, reply_once
from geraniumwell.actors.job_table import (
    CancelWrite,
    ClaimLost,
    EndWrite,
    JobTable,
    JobTableEvent,
    SubmitWrite,
    WriteConfirmed,
)
from geraniumwell.actors.submissions import Submissions
from geraniumwell.actors.worker_pool import WorkerPool
from geraniumwell.clients.platform import Row
from geraniumwell.codec.jobs import (
    DeciderClaim,
    decode_placement,
    make_claim_key,
    make_external_change_key,
    make_job_prefix,
    make_placement_prefix,
)
from geraniumwell.codec.json import CodecError
from geraniumwell.commands.gangs.policy import Policy
from geraniumwell.messages.gangs import (
    CancelJob,
    JobExplanation,
    JobOutcomeUnknown,
    JobRefused,
    SubmitJob,
)
from geraniumwell.messages.platform import (
    PlatformFailed,
    ReadRows,
    RowsRead,
    Transacted,
    TransactionRefused,
)
from geraniumwell.messages.workers import (
    InventoryTaken,
    WorkerAnswer,
    WorkerCallFailed,
)
from geraniumwell.model.config import Configuration
from geraniumwell.model.gang_run import RecordEnd
from geraniumwell.model.instant import Instant
from geraniumwell.model.worker import TaskLease
from geraniumwell.queries.jobs import explain_record
from geraniumwell.util.ids import make_token_hex

# An abandoned write may take effect late, so all job rows are read periodically.
SCAN_INTERVAL_SECONDS = 300.0
PlatformAnswer = RowsRead | Transacted | TransactionRefused | PlatformFailed


class TermState(StrEnum):
    """Stage of a term."""

    CLAIMING = "claiming"
    READING = "reading"
    ACTIVE = "active"
    LOST = "lost"


class DeciderTerm:
    """State and operations of the decider under one epoch."""

    __slots__ = (
        "_data_centre",
        "_link",
        "_receiver",
        "_pool",
        "_claim",
        "_runner",
        "_jobs",
        "_submissions",
        "_placement_rows",
        "_are_rows_read",
        "_external_version",
        "_scan_tag",
        "_scanned_at",
        "_watch_tag",
        "_placement_tag",
        "_is_polling",
        "_is_platform_down",
        "_is_plan_due",
        "epoch",
        "state",
        "table",
    )

    def __init__(
        self,
        data_centre: str,
        claim: DeciderClaim,
        link: ActorRef,
        receiver: ActorRef,
        pool: WorkerPool,
        cfg: Configuration,
    ) -> None:
        self._data_centre = data_centre
        self._link = link
        self._receiver = receiver
        self._pool = pool
        self.epoch = claim.epoch
        self.state = TermState.CLAIMING
        self._claim = Claim(data_centre, claim, link, receiver)
        self.table = JobTable(data_centre, link, receiver)
        self._runner = GangRunner(pool, claim.epoch)
        self._jobs = JobManager(
            data_centre, self.table, self._runner, pool, Policy(), cfg
        )
        self._submissions = Submissions(data_centre, link, receiver, self.table)
        self._placement_rows: tuple[Row, ...] | None = None
        self._are_rows_read = False
        # After an error a term may restart with the same epoch.
        token = make_token_hex()
        self._scan_tag = f"jobs-{token}"
        self._watch_tag = f"watch-{token}"
        self._external_version = 0
        self._scanned_at = 0.0
        self._placement_tag = f"placements-{token}"
        self._is_polling = False
        self._is_platform_down = False
        self._is_plan_due = False

    def uses(self, worker: str) -> bool:
        """Return whether any lease is held on a worker."""
        return bool(self._runner.leases.list_by_worker(worker))

    def apply(self, cfg: Configuration) -> None:
        """Use a newer configuration."""
        self._jobs.cfg = cfg
        self._is_plan_due = True

    def ask_workers(self, at: Instant) -> None:
        """Ask the workers that have not answered for their inventories.

        Not before the claim is held: the call makes the worker refuse the earlier
        decider, which must continue to renew its leases while nobody can claim.
        """
        if self.state is not TermState.CLAIMING:
            self._pool.ask_unreachable(at.monotonic)

    def poll(self, at: Instant) -> None:
        """Run the periodic work of every second."""
        self.ask_workers(at)
        if self.state is TermState.ACTIVE:
            self._jobs.record_updates(self._runner.retry_unanswered(at.monotonic), at)
            self._jobs.check_risks(at)
        if self._is_polling or self._jobs.cfg.version == 0:
            return
        self._is_polling = True
        if self.state is TermState.CLAIMING:
            self._claim.read()
            return
        if self.state is TermState.READING and self._placement_rows is None:
            prefix = make_placement_prefix(self._data_centre)
            read = ReadRows(self._placement_tag, self._receiver, prefix)
            self._link.tell(read)
        if self.state is TermState.READING:
            self._scan()
            return
        # Reads the claim and the key that external writers change; reading all job
        # rows every second would be too much.
        prefix = make_claim_key(self._data_centre)
        self._link.tell(ReadRows(self._watch_tag, self._receiver, prefix))

    def _scan(self) -> None:
        prefix = make_job_prefix(self._data_centre)
        self._link.tell(ReadRows(self._scan_tag, self._receiver, prefix))

    def renew(self, at: Instant) -> None:
        """Renew the leases of running gangs; does not need the platform."""
        if self.state is TermState.ACTIVE:
            self._runner.renew(at.monotonic)

    def retry_unanswered(self, at: Instant) -> None:
        """Retry the unanswered steps of gangs."""
        if self.state is TermState.ACTIVE:
            self._jobs.record_updates(self._runner.retry_unanswered(at.monotonic), at)

    def is_busy(self) -> bool:
        """Return whether gangs have steps to retry soon."""
        return self._runner.is_busy()

    def submit(self, message: SubmitJob, at: Instant) -> None:
        """Admit and record a job."""
        self._submissions.submit(message, self._jobs.make_view(at.monotonic), at.wall)

    def cancel(self, message: CancelJob) -> None:
        """Cancel a job."""
        self._jobs.cancel(message, self._is_platform_down)

    def explain(self, job_id: str, at: Instant) -> JobExplanation:
        """Explain the state of a job."""
        record, gang = self.table.get(job_id), self._runner.gangs.get(job_id)
        view = self._jobs.make_view(at.monotonic)
        return explain_record(record, gang, view, at.wall)

    def close(self, reason: str) -> None:
        """Answer all waiting callers; nothing more is started or stopped."""
        self._submissions.refuse_all(reason)
        for record, purpose in self.table.list_unwritten():
            match purpose:
                case SubmitWrite(reply) | CancelWrite(reply):
                    job_id = record.job.job_id
                    reply_once(reply, JobOutcomeUnknown(job_id, reason))

    def handle_platform(self, answer: PlatformAnswer, at: Instant) -> None:
        """Apply a response of the platform."""
        tag = answer.tag
        if tag == self._claim.tag:
            self._handle_claim(answer, at)
        elif tag == self._watch_tag:
            self._handle_watch(answer, at)
        elif tag == self._scan_tag:
            self._handle_scan(answer, at)
        elif tag == self._placement_tag:
            match answer:
                case RowsRead(_, rows):
                    self._placement_rows = rows
        elif self._submissions.owns_tag(tag):
            match answer:
                case RowsRead(_, rows):
                    self._submissions.handle_rows(tag, rows)
                case PlatformFailed(_, reason):
                    self._submissions.handle_failed(tag, reason)
        elif self.table.owns_tag(tag):
            self._handle_table_events(self._apply_write_response(answer), at)

    def _apply_write_response(self, answer: PlatformAnswer) -> list[JobTableEvent]:
        match answer:
            case Transacted(tag):
                return self.table.handle_transacted(tag)
            case TransactionRefused(tag, key):
                return self.table.handle_refused(tag, key)
            case RowsRead(tag, rows):
                return self.table.handle_rows(tag, rows)
            case PlatformFailed(tag):
                return self.table.handle_failed(tag)

    def _handle_claim(self, answer: PlatformAnswer, at: Instant) -> None:
        self._is_polling = False
        match answer:
            case RowsRead(_, rows):
                # Read before the job rows, so that a later external change is detected.
                self._external_version = self._find_external_version(rows)
                self._claim.handle_rows(rows)
            case Transacted() | TransactionRefused():
                # Read the row for its version and for the winner if two deciders race.
                self.poll(at)
            case PlatformFailed(_, reason):
                self._mark_platform_down(reason)
        match self._claim.state:
            case ClaimState.LOST:
                self.state = TermState.LOST
            case ClaimState.HELD if self.state is TermState.CLAIMING:
                self.state = TermState.READING
                self.table.begin(self.epoch, self._claim.version)
                self.poll(at)

    def _handle_watch(self, answer: PlatformAnswer, at: Instant) -> None:
        self._is_polling = False
        match answer:
            case PlatformFailed(_, reason):
                self._handle_unanswered_poll(reason, at)
            case RowsRead(_, rows):
                self._mark_platform_up()
                self._is_plan_due = True
                version = self._find_external_version(rows)
                is_changed = version != self._external_version
                is_old = at.monotonic >= self._scanned_at + SCAN_INTERVAL_SECONDS
                if is_changed or is_old or self.table.is_scan_due:
                    self._external_version = version
                    self._is_polling = True
                    self._scan()

    def _handle_scan(self, answer: PlatformAnswer, at: Instant) -> None:
        self._is_polling = False
        match answer:
            case PlatformFailed(_, reason):
                self.table.is_scan_due = True
                self._handle_unanswered_poll(reason, at)
            case RowsRead(_, rows):
                self._scanned_at = at.monotonic
                self.table.is_scan_due = False
                self._mark_platform_up()
                events = self.table.load(rows)
                if self.state is TermState.ACTIVE:
                    self._is_plan_due = True
                    self._handle_table_events(events, at)
                else:
                    self._are_rows_read = True
                    self._recover(at)

    def _find_external_version(self, rows: tuple[Row, ...]) -> int:
        key = make_external_change_key(self._data_centre)
        return next((row.version for row in rows if row.key == key), 0)

    def _mark_platform_up(self) -> None:
        if self._is_platform_down:
            logger.info("the platform answers again")
        self._is_platform_down = False
        self.table.repeat_unanswered()

    def _handle_unanswered_poll(self, reason: str, at: Instant) -> None:
        self._mark_platform_down(reason)
        if self.state is TermState.ACTIVE:
            self._handle_table_events(self.table.count_outage(), at)

    def _mark_platform_down(self, reason: str) -> None:
        if not self._is_platform_down:
            logger.warning("no new gangs are started: {}", reason)
        self._is_platform_down = True

    def _recover(self, at: Instant) -> None:
        are_rows_loaded = self._are_rows_read and self._placement_rows is not None
        if not are_rows_loaded or not self._pool.has_polled_all():
            return
        placements: dict[str, tuple[TaskLease, ...]] = {}
        for row in self._placement_rows:
            job_id = row.key.rpartition("/")[2]
            record = self.table.unfinished.get(job_id)
            if record is None:
                continue
            try:
                placements[job_id] = decode_placement(row.value, record.job)
            except CodecError as exc:
                logger.error("ignoring row {}: {}", row.key, exc)
        self.state = TermState.ACTIVE
        logger.info("scheduling starts in epoch {}", self.epoch)
        self._jobs.recover(placements, at)

    def _handle_table_events(self, events: list[JobTableEvent], at: Instant) -> None:
        for event in events:
            match event:
                case ClaimLost():
                    self._handle_claim_lost(event)
                    return
                case WriteConfirmed(purpose=SubmitWrite() | EndWrite()):
                    self._is_plan_due = True
        self._jobs.handle_table_events(events, at)

    def _handle_claim_lost(self, lost: ClaimLost) -> None:
        self.state = TermState.LOST
        job_id = lost.record.job.job_id
        reason = "another decider claimed the data centre"
        match lost.purpose:
            case SubmitWrite(reply) | CancelWrite(reply) if lost.is_certain:
                reply_once(reply, JobRefused(job_id, "not_decider", reason))
            case SubmitWrite(reply) | CancelWrite(reply):
                reply_once(reply, JobOutcomeUnknown(job_id, reason))

    def handle_worker(self, answer: WorkerAnswer, at: Instant) -> None:
        """Apply a response of a worker."""
        match answer:
            case WorkerCallFailed(worker, _, call, reason, _):
                self._pool.record_failure(worker, call, reason)
            case InventoryTaken(worker, _, inventory):
                self._pool.record_inventory(worker, inventory)
        if self.state is TermState.READING:
            self._recover(at)
        if self.state is not TermState.ACTIVE:
            return
        updates = self._runner.handle(answer, at.monotonic)
        # A waiting guarantee claim has a time bound and may need freed accelerators.
        self._is_plan_due |= any(isinstance(step, RecordEnd) for _, step in updates)
        self._jobs.record_updates(updates, at)
        match answer:
            case InventoryTaken(worker, _, inventory):
                self._runner.release_orphaned_tasks(worker, inventory, at.monotonic)

    def plan_if_due(self, at: Instant) -> None:
        """Plan again if something changed and the platform can record the result."""
        if self.state is not TermState.ACTIVE or self._is_platform_down:
            return
        if self._is_plan_due:
            self._is_plan_due = False
            self._jobs.run_plan(at)
