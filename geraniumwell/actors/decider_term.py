"""One term of the decider: from the claim over the recovery to the daily work.

Part of the decider's state; only the decider's thread uses it.
"""

from enum import StrEnum

from loguru import logger
from pykka import ActorRef

from geraniumwell.actors.claim import Claim, ClaimState
from geraniumwell.actors.gang_runner import GangRunner
from geraniumwell.actors.job_keeper import JobKeeper, reply_once
from geraniumwell.actors.job_table import (
    CancelNoted,
    Change,
    ClaimLost,
    EndNoted,
    JobTable,
    SubmitNoted,
    Written,
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

# An abandoned write may take effect late, so all job rows are read now and then.
SCAN_INTERVAL_SECONDS = 300.0
PlatformAnswer = RowsRead | Transacted | TransactionRefused | PlatformFailed


class TermState(StrEnum):
    """How far the term has come."""

    CLAIMING = "claiming"
    READING = "reading"
    ACTIVE = "active"
    LOST = "lost"


class DeciderTerm:
    """Everything that one decider knows and does under one epoch."""

    __slots__ = (
        "_data_centre",
        "_link",
        "_receiver",
        "_pool",
        "_claim",
        "_runner",
        "_keeper",
        "_submissions",
        "_placement_rows",
        "_are_rows_read",
        "_outside_version",
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
        self._keeper = JobKeeper(
            data_centre, self.table, self._runner, pool, Policy(), cfg
        )
        self._submissions = Submissions(data_centre, link, receiver, self.table)
        self._placement_rows: tuple[Row, ...] | None = None
        self._are_rows_read = False
        # A term may begin again with the same epoch after an error.
        token = make_token_hex()
        self._scan_tag = f"jobs-{token}"
        self._watch_tag = f"watch-{token}"
        self._outside_version = 0
        self._scanned_at = 0.0
        self._placement_tag = f"placements-{token}"
        self._is_polling = False
        self._is_platform_down = False
        self._is_plan_due = False

    def uses(self, worker: str) -> bool:
        """Return whether leases are held on a worker."""
        return bool(self._runner.leases.of_worker(worker))

    def apply(self, cfg: Configuration) -> None:
        """Decide by a newer configuration."""
        self._keeper.cfg = cfg
        self._is_plan_due = True

    def ask_workers(self, at: Instant) -> None:
        """Ask the workers that have not answered for their inventories.

        Not before the claim: the call shuts the earlier decider out of the worker,
        and while nobody can claim it must go on renewing.
        """
        if self.state is not TermState.CLAIMING:
            self._pool.ask_unreachable(at.monotonic)

    def poll(self, at: Instant) -> None:
        """Do what is due every second."""
        self.ask_workers(at)
        if self.state is TermState.ACTIVE:
            self._keeper.note_news(self._runner.pass_time(at.monotonic), at)
            self._keeper.check_risks(at)
        if self._is_polling or self._keeper.cfg.version == 0:
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
        # All job rows together are too much to read every second.
        prefix = make_claim_key(self._data_centre)
        self._link.tell(ReadRows(self._watch_tag, self._receiver, prefix))

    def _scan(self) -> None:
        prefix = make_job_prefix(self._data_centre)
        self._link.tell(ReadRows(self._scan_tag, self._receiver, prefix))

    def renew(self, at: Instant) -> None:
        """Renew the leases of running gangs; needs no platform."""
        if self.state is TermState.ACTIVE:
            self._runner.renew(at.monotonic)

    def pass_time(self, at: Instant) -> None:
        """Repeat the unanswered steps of gangs."""
        if self.state is TermState.ACTIVE:
            self._keeper.note_news(self._runner.pass_time(at.monotonic), at)

    def is_busy(self) -> bool:
        """Return whether gangs have steps to repeat soon."""
        return self._runner.is_busy()

    def submit(self, message: SubmitJob, at: Instant) -> None:
        """Admit and record a job."""
        self._submissions.submit(message, self._keeper.make_view(at.monotonic), at.wall)

    def cancel(self, message: CancelJob) -> None:
        """Cancel a job."""
        self._keeper.cancel(message, self._is_platform_down)

    def explain(self, job_id: str, at: Instant) -> JobExplanation:
        """Explain the state of a job."""
        record, gang = self.table.get(job_id), self._runner.gangs.get(job_id)
        view = self._keeper.make_view(at.monotonic)
        return explain_record(record, gang, view, at.wall)

    def close(self, reason: str) -> None:
        """Answer everyone who waits; nothing more is started or stopped."""
        self._submissions.refuse_all(reason)
        for record, note in self.table.list_unwritten():
            match note:
                case SubmitNoted(reply) | CancelNoted(reply):
                    job_id = record.job.job_id
                    reply_once(reply, JobOutcomeUnknown(job_id, reason))

    def note_platform(self, answer: PlatformAnswer, at: Instant) -> None:
        """Apply an answer of the platform."""
        tag = answer.tag
        if tag == self._claim.tag:
            self._note_claim(answer, at)
        elif tag == self._watch_tag:
            self._note_watch(answer, at)
        elif tag == self._scan_tag:
            self._note_scan(answer, at)
        elif tag == self._placement_tag:
            match answer:
                case RowsRead(_, rows):
                    self._placement_rows = rows
        elif self._submissions.owns_tag(tag):
            match answer:
                case RowsRead(_, rows):
                    self._submissions.note_rows(tag, rows)
                case PlatformFailed(_, reason):
                    self._submissions.note_failed(tag, reason)
        elif self.table.owns_tag(tag):
            self._note_changes(self._judge_write(answer), at)

    def _judge_write(self, answer: PlatformAnswer) -> list[Change]:
        match answer:
            case Transacted(tag):
                return self.table.note_transacted(tag)
            case TransactionRefused(tag, key):
                return self.table.note_refused(tag, key)
            case RowsRead(tag, rows):
                return self.table.note_rows(tag, rows)
            case PlatformFailed(tag):
                return self.table.note_failed(tag)

    def _note_claim(self, answer: PlatformAnswer, at: Instant) -> None:
        self._is_polling = False
        match answer:
            case RowsRead(_, rows):
                # Read before the job rows, so that a later change is noticed.
                self._outside_version = self._find_outside_version(rows)
                self._claim.note_rows(rows)
            case Transacted() | TransactionRefused():
                # The row tells its version, and who won when two deciders race.
                self.poll(at)
            case PlatformFailed(_, reason):
                self._note_outage(reason)
        match self._claim.state:
            case ClaimState.LOST:
                self.state = TermState.LOST
            case ClaimState.HELD if self.state is TermState.CLAIMING:
                self.state = TermState.READING
                self.table.begin(self.epoch, self._claim.version)
                self.poll(at)

    def _note_watch(self, answer: PlatformAnswer, at: Instant) -> None:
        self._is_polling = False
        match answer:
            case PlatformFailed(_, reason):
                self._note_unanswered_poll(reason, at)
            case RowsRead(_, rows):
                self._note_contact()
                self._is_plan_due = True
                version = self._find_outside_version(rows)
                is_changed = version != self._outside_version
                is_old = at.monotonic >= self._scanned_at + SCAN_INTERVAL_SECONDS
                if is_changed or is_old or self.table.is_scan_due:
                    self._outside_version = version
                    self._is_polling = True
                    self._scan()

    def _note_scan(self, answer: PlatformAnswer, at: Instant) -> None:
        self._is_polling = False
        match answer:
            case PlatformFailed(_, reason):
                self.table.is_scan_due = True
                self._note_unanswered_poll(reason, at)
            case RowsRead(_, rows):
                self._scanned_at = at.monotonic
                self.table.is_scan_due = False
                self._note_contact()
                changes = self.table.load(rows)
                if self.state is TermState.ACTIVE:
                    self._is_plan_due = True
                    self._note_changes(changes, at)
                else:
                    self._are_rows_read = True
                    self._recover(at)

    def _find_outside_version(self, rows: tuple[Row, ...]) -> int:
        key = make_external_change_key(self._data_centre)
        return next((row.version for row in rows if row.key == key), 0)

    def _note_contact(self) -> None:
        if self._is_platform_down:
            logger.info("the platform answers again")
        self._is_platform_down = False
        self.table.repeat_unanswered()

    def _note_unanswered_poll(self, reason: str, at: Instant) -> None:
        self._note_outage(reason)
        if self.state is TermState.ACTIVE:
            self._note_changes(self.table.note_outage(), at)

    def _note_outage(self, reason: str) -> None:
        if not self._is_platform_down:
            logger.warning("nothing new is started: {}", reason)
        self._is_platform_down = True

    def _recover(self, at: Instant) -> None:
        is_informed = self._are_rows_read and self._placement_rows is not None
        if not is_informed or not self._pool.has_heard_of_all():
            return
        placements: dict[str, tuple[TaskLease, ...]] = {}
        for row in self._placement_rows:
            job_id = row.key.rpartition("/")[2]
            record = self.table.live.get(job_id)
            if record is None:
                continue
            try:
                placements[job_id] = decode_placement(row.value, record.job)
            except CodecError as exc:
                logger.error("row {} is ignored: {}", row.key, exc)
        self.state = TermState.ACTIVE
        logger.info("decisions begin in epoch {}", self.epoch)
        self._keeper.recover(placements, at)

    def _note_changes(self, changes: list[Change], at: Instant) -> None:
        for change in changes:
            match change:
                case ClaimLost():
                    self._note_claim_lost(change)
                    return
                case Written(note=SubmitNoted() | EndNoted()):
                    self._is_plan_due = True
        self._keeper.note_changes(changes, at)

    def _note_claim_lost(self, lost: ClaimLost) -> None:
        self.state = TermState.LOST
        job_id = lost.record.job.job_id
        reason = "another decider claimed the data centre"
        match lost.note:
            case SubmitNoted(reply) | CancelNoted(reply) if lost.is_certain:
                reply_once(reply, JobRefused(job_id, "not_decider", reason))
            case SubmitNoted(reply) | CancelNoted(reply):
                reply_once(reply, JobOutcomeUnknown(job_id, reason))

    def note_worker(self, answer: WorkerAnswer, at: Instant) -> None:
        """Apply an answer of a worker."""
        match answer:
            case WorkerCallFailed(worker, _, call, reason, _):
                self._pool.note_failure(worker, call, reason)
            case InventoryTaken(worker, _, inventory):
                self._pool.note_inventory(worker, inventory)
        if self.state is TermState.READING:
            self._recover(at)
        if self.state is not TermState.ACTIVE:
            return
        news = self._runner.handle(answer, at.monotonic)
        # Freed places may be what a waiting claim needs within its bound.
        self._is_plan_due |= any(isinstance(step, RecordEnd) for _, step in news)
        self._keeper.note_news(news, at)
        match answer:
            case InventoryTaken(worker, _, inventory):
                self._runner.release_strays(worker, inventory, at.monotonic)

    def follow_up(self, at: Instant) -> None:
        """Plan again when something has changed and the platform can record it."""
        if self.state is not TermState.ACTIVE or self._is_platform_down:
            return
        if self._is_plan_due:
            self._is_plan_due = False
            self._keeper.run_plan(at)
