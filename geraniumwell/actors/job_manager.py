"""Executes the plan of a data centre and records the state of its jobs.

Part of the decider's state; used by the decider's thread only.
"""

from collections.abc import Mapping
from contextlib import suppress
from dataclasses import replace
from queue import Full

from loguru import logger
from pykka import Future

from geraniumwell.actors.gang_runner import GangRunner, GangUpdate
from geraniumwell.actors.job_health import JobHealth
from geraniumwell.actors.job_recovery import find_progress, recover_gangs
from geraniumwell.actors.job_table import (
    CancelWrite,
    ChangedExternally,
    EndWrite,
    JobTable,
    JobTableEvent,
    StartWrite,
    StateWrite,
    SubmitWrite,
    WriteConfirmed,
    WriteSuperseded,
    WriteUnanswered,
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

# Failures of a write, about one per second, until the caller is told "unknown".
UNANSWERED_LIMIT = 3
# A check is expensive: it places the guarantees once per worker that they need.
RISK_INTERVAL_SECONDS = 30.0


def reply_once(reply: Future[SubmitResult], result: SubmitResult) -> None:
    """Answer a caller, unless it was answered with "unknown" before."""
    with suppress(Full):
        reply.set(result)


class JobManager:
    """Controls the jobs of one data centre during one term of the decider."""

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
        """Return the input of the planner, without jobs whose retry is not due."""
        jobs = self._table.unfinished
        delayed = self._health.list_delayed(jobs, now)
        if delayed:
            jobs = {j: r for j, r in jobs.items() if j not in delayed}
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
        """Report periodically which guarantees the loss of one worker would break."""
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
        """Plan the next steps and execute them."""
        view = self.make_view(at.monotonic)
        for effect in plan(view, self._policy, at.wall):
            self.execute(effect, at)

    def execute(self, effect: GangPlanEffect, at: Instant) -> None:
        """Execute one effect of the plan."""
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
                self._health.record_probe_start(worker, at)
                self._runner.probes.begin(worker, at.monotonic)
            case RecordWaitReasons(job_id):
                self._health.allow_retry(job_id, at.monotonic)

    def _start(self, start: StartGang) -> None:
        record = self._table.get(start.job_id)
        if record is None or record.state is not JobState.ACCEPTED:
            return
        try:
            self._runner.hold_leases(start.leases)
        except InvariantError as exc:
            logger.error("job {} is not started: {}", start.job_id, exc)
            return
        record = replace(
            record, state=JobState.STARTING, attempt=start.attempt, reason=""
        )
        self._table.write(record, StartWrite(start))

    def _stop(self, job_id: str, reason: str, by_checkpoint: bool, at: Instant) -> None:
        record = self._table.get(job_id)
        if record is None or record.state not in (JobState.STARTING, JobState.RUNNING):
            return
        save = find_save_seconds(record.job) if by_checkpoint else 0.0
        stopping = begin_stop(record, JobState.ACCEPTED, reason)
        self._table.write(stopping, StateWrite())
        self.record_updates(
            self._runner.stop_gang(job_id, reason, at.monotonic, save), at
        )

    def _reject(self, job_id: str, reason: str) -> None:
        record = self._table.get(job_id)
        if record is None or record.state is not JobState.ACCEPTED:
            return
        # A task of an earlier attempt may have run briefly.
        state = JobState.FAILED if record.attempt else JobState.NOT_RUN
        self._table.write(replace(record, state=state, reason=reason), EndWrite(()))

    def _fail(self, job_id: str, reason: str, at: Instant) -> None:
        record = self._table.get(job_id)
        if record is None or record.state in ENDED_JOB_STATES:
            return
        match record.state:
            case JobState.ACCEPTED:
                failed = replace(record, state=JobState.FAILED, reason=reason)
                self._table.write(failed, EndWrite(()))
            case JobState.STARTING | JobState.RUNNING:
                stopping = begin_stop(record, JobState.FAILED, reason)
                self._table.write(stopping, StateWrite())
                updates = self._runner.stop_gang(job_id, reason, at.monotonic)
                self.record_updates(updates, at)

    def cancel(self, message: CancelJob, is_platform_down: bool) -> None:
        """Record that a job is cancelled; its tasks are stopped after the write."""
        job_id = message.job_id
        if is_platform_down:
            reason = "the platform is down, so nothing can be recorded"
            message.reply.set(JobRefused(job_id, "platform_unavailable", reason))
            return
        # A submission without a response may be stored later, and must not start then.
        record = self._table.get(job_id) or self._table.get_abandoned(job_id)
        match decide_cancel(record, message.author, message.reason):
            case CancelRefused(code, reason):
                message.reply.set(JobRefused(job_id, code, reason))
            case CancelDone():
                message.reply.set(JobAccepted(job_id))
            case CancelByRecord(record):
                self._table.write(record, CancelWrite(message.reply))

    def record_updates(self, updates: list[GangUpdate], at: Instant) -> None:
        """Record the progress and the end of gangs."""
        for gang, step in updates:
            record = self._table.get(gang.job_id)
            if record is None:
                continue
            match step:
                case RecordRunning():
                    self._started_at.setdefault(gang.job_id, at.wall)
                    self._pool.end_backoff(ls.worker for ls in gang.leases)
                    if record.state is JobState.STARTING:
                        record = replace(record, state=JobState.RUNNING)
                        self._table.write(record, StateWrite())
                case RecordEnd(outcome, saved_seconds):
                    self._record_end(gang, record, outcome, saved_seconds, at)
        self._health.apply_probe_results(self._runner.probes.results, at)

    def _record_end(
        self,
        gang: GangAttempt,
        record: JobRecord,
        outcome: GangOutcome,
        saved_seconds: float,
        at: Instant,
    ) -> None:
        job_id = gang.job_id
        self._started_at.pop(job_id, None)
        self._health.record_outcome(gang, outcome, at)
        if record.state in ENDED_JOB_STATES:
            self._runner.remove_gang(job_id, gang.leases, at.monotonic)
            return
        record = record_end(record, outcome, saved_seconds)
        if record.state is JobState.ACCEPTED:
            count_job_restart(outcome)
        logger.info("job {} attempt {}: {}", job_id, gang.attempt, record.state)
        self._table.write(record, EndWrite(gang.leases))

    def handle_table_events(self, events: list[JobTableEvent], at: Instant) -> None:
        """Continue after writes were confirmed, superseded or not answered."""
        for event in events:
            match event:
                case WriteConfirmed(record, purpose):
                    self._handle_confirmed(record, purpose, at)
                case WriteSuperseded(record, purpose):
                    self._handle_superseded(record, purpose)
                case WriteUnanswered(record, purpose, failures):
                    self._handle_unanswered(record, purpose, failures)
                case ChangedExternally(record):
                    self._reconcile(record, at)

    def _handle_confirmed(
        self, record: JobRecord, purpose: object, at: Instant
    ) -> None:
        job_id = record.job.job_id
        match purpose:
            case SubmitWrite(reply):
                reply_once(reply, JobAccepted(job_id))
            case CancelWrite(reply):
                reply_once(reply, JobAccepted(job_id))
                self._reconcile(record, at)
            case StartWrite(start):
                self._begin(start, at)
            case StateWrite():
                self._reconcile(record, at)
            case EndWrite(leases):
                self._runner.remove_gang(job_id, leases, at.monotonic)
                if record.state in ENDED_JOB_STATES:
                    self._drop_job(job_id)

    def _begin(self, start: StartGang, at: Instant) -> None:
        newest = self._table.get(start.job_id)
        if newest is None or newest.state is not JobState.STARTING:
            self._runner.drop_held_leases(start.leases)
            return
        gang, effects = begin_start(
            start.job_id, start.attempt, start.leases, at.monotonic
        )
        self.record_updates(self._runner.update_gang(gang, effects, at.monotonic), at)

    def _drop_job(self, job_id: str) -> None:
        self._health.remove_job(job_id)
        self._started_at.pop(job_id, None)

    def _handle_superseded(self, record: JobRecord, purpose: object) -> None:
        job_id = record.job.job_id
        reason = "the job's row was changed by another writer"
        match purpose:
            case SubmitWrite(reply):
                reply_once(reply, JobRefused(job_id, "job_id_taken", reason))
            case CancelWrite(reply):
                reply_once(reply, JobRefused(job_id, "job_changed", reason))
            case StartWrite(start):
                self._runner.drop_held_leases(start.leases)

    def _handle_unanswered(
        self, record: JobRecord, purpose: object, failures: int
    ) -> None:
        if failures < UNANSWERED_LIMIT:
            return
        job_id = record.job.job_id
        reason = "the platform gave no answer, so the write may have taken effect"
        match purpose:
            case SubmitWrite(reply):
                reply_once(reply, JobOutcomeUnknown(job_id, reason))
                self._table.abandon(job_id)
            case CancelWrite(reply):
                reply_once(reply, JobOutcomeUnknown(job_id, reason))

    def _reconcile(self, record: JobRecord, at: Instant) -> None:
        """Stop a gang that its record forbids; end a stopping record without a gang."""
        job_id = record.job.job_id
        newest = self._table.get(job_id) or record
        gang = self._runner.gangs.get(job_id)
        if gang is not None:
            if newest.state not in (JobState.STARTING, JobState.RUNNING):
                updates = self._runner.stop_gang(job_id, newest.reason, at.monotonic)
                self.record_updates(updates, at)
            return
        match newest.state:
            case JobState.STOPPING:
                ended = replace(newest, state=newest.after_stop)
                self._table.write(ended, EndWrite(()))

    def recover(
        self, placements: Mapping[str, tuple[TaskLease, ...]], at: Instant
    ) -> None:
        """Take over the gangs of earlier deciders."""
        records, pool = self._table.unfinished, self._pool
        updates = recover_gangs(records, placements, self._runner, pool, at.monotonic)
        for job_id, gang in self._runner.gangs.items():
            progress = find_progress(gang.leases, pool.inventories)
            self._started_at[job_id] = at.wall - progress
        self.record_updates(updates, at)


def find_save_seconds(job: Job) -> float:
    """Return how long a checkpoint of a job takes, in seconds."""
    match job.interruption:
        case Checkpointable(checkpoint_seconds):
            return checkpoint_seconds
    return 0.0
