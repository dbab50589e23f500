"""Executes the plan of a data centre and records what becomes of its jobs.

Part of the decider's state; only the decider's thread uses it.
"""

from collections.abc import Mapping
from contextlib import suppress
from dataclasses import replace
from queue import Full

from loguru import logger
from pykka import Future

from geraniumwell.actors.gang_runner import GangNews, GangRunner
from geraniumwell.actors.job_health import JobHealth
from geraniumwell.actors.job_recovery import find_progress, recover_gangs
from geraniumwell.actors.job_table import (
    CancelNoted,
    Change,
    ChangedOutside,
    EndNoted,
    JobTable,
    StartNoted,
    StateNoted,
    SubmitNoted,
    Unanswered,
    WriteLost,
    Written,
)
from geraniumwell.actors.worker_pool import WorkerPool
from geraniumwell.commands.gangs.guarantees import WorkerAtRisk, find_workers_at_risk
from geraniumwell.commands.gangs.job_ends import (
    ENDED_JOB_STATES,
    CancelByRecord,
    CancelDone,
    CancelRefused,
    begin_stop,
    decide_cancel,
    record_end,
)
from geraniumwell.commands.gangs.policy import Policy
from geraniumwell.commands.gangs.scheduler import plan
from geraniumwell.commands.gangs.start import begin_start
from geraniumwell.exceptions import InvariantError
from geraniumwell.helpers.gang_metrics import count_job_restart, set_guarantees_at_risk
from geraniumwell.messages.gangs import (
    CancelJob,
    JobAccepted,
    JobOutcomeUnknown,
    JobRefused,
    SubmitResult,
)
from geraniumwell.model.config import Configuration
from geraniumwell.model.gang_run import (
    GangAttempt,
    GangOutcome,
    RecordEnd,
    RecordRunning,
)
from geraniumwell.model.gang_view import (
    FailJob,
    GangPlanEffect,
    GangView,
    ProbeWorker,
    RecordWaitReasons,
    RejectJob,
    StartGang,
    StopGang,
)
from geraniumwell.model.instant import Instant
from geraniumwell.model.job import Checkpointable, Job, JobRecord, JobState
from geraniumwell.model.worker import TaskLease
from geraniumwell.queries.jobs import describe_risks

# A caller is told "unknown" after this many seconds without an answer.
UNANSWERED_LIMIT = 3
# Each check packs the guarantees once for each worker that they need.
RISK_INTERVAL_SECONDS = 30.0


def reply_once(reply: Future[SubmitResult], result: SubmitResult) -> None:
    """Answer a caller who may have been told "unknown" before."""
    with suppress(Full):
        reply.set(result)


class JobKeeper:
    """State of one term of the decider."""

    __slots__ = (
        "_data_centre",
        "_table",
        "_runner",
        "_pool",
        "_policy",
        "_health",
        "_risks",
        "_risks_due",
        "_started_at",
        "cfg",
    )

    def __init__(
        self,
        data_centre: str,
        table: JobTable,
        runner: GangRunner,
        pool: WorkerPool,
        policy: Policy,
        cfg: Configuration,
    ) -> None:
        self._data_centre = data_centre
        self._table = table
        self._runner = runner
        self._pool = pool
        self._policy = policy
        self._health = JobHealth(pool)
        self._started_at: dict[str, float] = {}
        self._risks: tuple[WorkerAtRisk, ...] = ()
        self._risks_due = 0.0
        self.cfg = cfg

    def make_view(self, now: float) -> GangView:
        """Return what the decisions read; jobs due for a later retry are left out."""
        jobs = self._table.live
        held = self._health.leave_out(jobs, now)
        if held:
            jobs = {j: r for j, r in jobs.items() if j not in held}
        return GangView(
            self._data_centre,
            self.cfg,
            jobs,
            self._runner.leases,
            self._pool.list_unusable(now),
            self._health.state,
            self._started_at,
        )

    def check_risks(self, at: Instant) -> None:
        """Tell at intervals which guarantees the loss of one worker would break."""
        if at.monotonic < self._risks_due:
            return
        self._risks_due = at.monotonic + RISK_INTERVAL_SECONDS
        risks = find_workers_at_risk(self.make_view(at.monotonic), at.wall)
        set_guarantees_at_risk(len(risks))
        if risks != self._risks:
            for line in describe_risks(risks):
                logger.warning("{}", line)
            self._risks = risks

    def run_plan(self, at: Instant) -> None:
        """Decide what to do next and do it."""
        view = self.make_view(at.monotonic)
        for effect in plan(view, self._policy, at.wall):
            self.execute(effect, at)

    def execute(self, effect: GangPlanEffect, at: Instant) -> None:
        """Do one thing that was decided."""
        match effect:
            case StartGang():
                self._start(effect)
            case StopGang(job_id, reason, by_checkpoint):
                self._stop(job_id, reason, by_checkpoint, at)
            case RejectJob(job_id, reason):
                self._reject(job_id, reason)
            case FailJob(job_id, reason):
                self._fail(job_id, reason, at)
            case ProbeWorker(worker):
                self._health.note_probe_sent(worker, at)
                self._runner.probes.begin(worker, at.monotonic)
            case RecordWaitReasons(job_id):
                self._health.note_waiting(job_id, at.monotonic)

    def _start(self, start: StartGang) -> None:
        record = self._table.get(start.job_id)
        if record is None or record.state is not JobState.ACCEPTED:
            return
        try:
            self._runner.hold_places(start.leases)
        except InvariantError as exc:
            logger.error("job {} is not started: {}", start.job_id, exc)
            return
        record = replace(
            record, state=JobState.STARTING, attempt=start.attempt, reason=""
        )
        self._table.write(record, StartNoted(start))

    def _stop(self, job_id: str, reason: str, by_checkpoint: bool, at: Instant) -> None:
        record = self._table.get(job_id)
        if record is None or record.state not in (JobState.STARTING, JobState.RUNNING):
            return
        save = find_save_seconds(record.job) if by_checkpoint else 0.0
        stopping = begin_stop(record, JobState.ACCEPTED, reason)
        self._table.write(stopping, StateNoted())
        self.note_news(self._runner.stop_gang(job_id, reason, at.monotonic, save), at)

    def _reject(self, job_id: str, reason: str) -> None:
        record = self._table.get(job_id)
        if record is None or record.state is not JobState.ACCEPTED:
            return
        # After any attempt, a task may have run for a moment.
        state = JobState.FAILED if record.attempt else JobState.NOT_RUN
        self._table.write(replace(record, state=state, reason=reason), EndNoted(()))

    def _fail(self, job_id: str, reason: str, at: Instant) -> None:
        record = self._table.get(job_id)
        if record is None or record.state in ENDED_JOB_STATES:
            return
        match record.state:
            case JobState.ACCEPTED:
                failed = replace(record, state=JobState.FAILED, reason=reason)
                self._table.write(failed, EndNoted(()))
            case JobState.STARTING | JobState.RUNNING:
                stopping = begin_stop(record, JobState.FAILED, reason)
                self._table.write(stopping, StateNoted())
                news = self._runner.stop_gang(job_id, reason, at.monotonic)
                self.note_news(news, at)

    def cancel(self, message: CancelJob, is_platform_down: bool) -> None:
        """Record that a job is cancelled; its tasks are stopped after the write."""
        job_id = message.job_id
        if is_platform_down:
            reason = "the platform is down, so nothing can be recorded"
            message.reply.set(JobRefused(job_id, "platform_unavailable", reason))
            return
        record = self._table.get(job_id)
        match decide_cancel(record, message.author, message.reason):
            case CancelRefused(code, reason):
                message.reply.set(JobRefused(job_id, code, reason))
            case CancelDone():
                message.reply.set(JobAccepted(job_id))
            case CancelByRecord(record):
                self._table.write(record, CancelNoted(message.reply))

    def note_news(self, news: list[GangNews], at: Instant) -> None:
        """Record what became of gangs."""
        for gang, step in news:
            record = self._table.get(gang.job_id)
            if record is None:
                continue
            match step:
                case RecordRunning():
                    self._started_at.setdefault(gang.job_id, at.wall)
                    self._pool.end_rests(ls.worker for ls in gang.leases)
                    if record.state is JobState.STARTING:
                        record = replace(record, state=JobState.RUNNING)
                        self._table.write(record, StateNoted())
                case RecordEnd(outcome, saved):
                    self._record_end(gang, record, outcome, saved, at)
        self._health.note_probes(self._runner.probes.results, at)

    def _record_end(
        self,
        gang: GangAttempt,
        record: JobRecord,
        outcome: GangOutcome,
        saved: float,
        at: Instant,
    ) -> None:
        job_id = gang.job_id
        self._started_at.pop(job_id, None)
        self._health.note_outcome(gang, outcome, at)
        if record.state in ENDED_JOB_STATES:
            self._runner.forget(job_id, gang.leases, at.monotonic)
            return
        record = record_end(record, outcome, saved)
        if record.state is JobState.ACCEPTED:
            count_job_restart(outcome)
        logger.info("job {} attempt {}: {}", job_id, gang.attempt, record.state)
        self._table.write(record, EndNoted(gang.leases))

    def note_changes(self, changes: list[Change], at: Instant) -> None:
        """Go on after writes were confirmed, lost or not answered."""
        for change in changes:
            match change:
                case Written(record, note):
                    self._note_written(record, note, at)
                case WriteLost(record, note):
                    self._note_lost(record, note)
                case Unanswered(record, note, failures):
                    self._note_unanswered(record, note, failures)
                case ChangedOutside(record):
                    self._reconcile(record, at)

    def _note_written(self, record: JobRecord, note: object, at: Instant) -> None:
        job_id = record.job.job_id
        match note:
            case SubmitNoted(reply):
                reply_once(reply, JobAccepted(job_id))
            case CancelNoted(reply):
                reply_once(reply, JobAccepted(job_id))
                self._reconcile(record, at)
            case StartNoted(start):
                self._begin(start, at)
            case StateNoted():
                self._reconcile(record, at)
            case EndNoted(leases):
                self._runner.forget(job_id, leases, at.monotonic)
                if record.state in ENDED_JOB_STATES:
                    self._drop_job(job_id)

    def _begin(self, start: StartGang, at: Instant) -> None:
        newest = self._table.get(start.job_id)
        if newest is None or newest.state is not JobState.STARTING:
            self._runner.free_places(start.leases)
            return
        gang, effects = begin_start(
            start.job_id, start.attempt, start.leases, at.monotonic
        )
        self.note_news(self._runner.put(gang, effects, at.monotonic), at)

    def _drop_job(self, job_id: str) -> None:
        self._health.forget_job(job_id)
        self._started_at.pop(job_id, None)

    def _note_lost(self, record: JobRecord, note: object) -> None:
        job_id = record.job.job_id
        reason = "the job's row was changed by another writer"
        match note:
            case SubmitNoted(reply):
                reply_once(reply, JobRefused(job_id, "job_id_taken", reason))
            case CancelNoted(reply):
                reply_once(reply, JobRefused(job_id, "job_changed", reason))
            case StartNoted(start):
                self._runner.free_places(start.leases)

    def _note_unanswered(self, record: JobRecord, note: object, failures: int) -> None:
        if failures < UNANSWERED_LIMIT:
            return
        job_id = record.job.job_id
        reason = "the platform gave no answer, so the write may have taken effect"
        match note:
            case SubmitNoted(reply):
                reply_once(reply, JobOutcomeUnknown(job_id, reason))
                self._table.abandon(job_id)
            case CancelNoted(reply):
                reply_once(reply, JobOutcomeUnknown(job_id, reason))

    def _reconcile(self, record: JobRecord, at: Instant) -> None:
        """Stop a gang that its record doesn't allow; end a record without a gang."""
        job_id = record.job.job_id
        newest = self._table.get(job_id) or record
        gang = self._runner.gangs.get(job_id)
        if gang is not None:
            if newest.state not in (JobState.STARTING, JobState.RUNNING):
                news = self._runner.stop_gang(job_id, newest.reason, at.monotonic)
                self.note_news(news, at)
            return
        match newest.state:
            case JobState.STOPPING:
                ended = replace(newest, state=newest.after_stop)
                self._table.write(ended, EndNoted(()))

    def recover(
        self, placements: Mapping[str, tuple[TaskLease, ...]], at: Instant
    ) -> None:
        """Take over what earlier deciders left."""
        live, pool = self._table.live, self._pool
        news = recover_gangs(live, placements, self._runner, pool, at.monotonic)
        for job_id, gang in self._runner.gangs.items():
            progress = find_progress(gang.leases, pool.inventories)
            self._started_at[job_id] = at.wall - progress
        self.note_news(news, at)


def find_save_seconds(job: Job) -> float:
    """Return the time that a checkpoint of a job takes."""
    match job.interruption:
        case Checkpointable(checkpoint_seconds):
            return checkpoint_seconds
    return 0.0
