"""Actor that schedules the gang jobs of one data centre while it is elected."""

from typing import Any

from loguru import logger
from pykka import ActorRef, ThreadingActor

from geraniumwell.actors.decider_term import DeciderTerm, TermState
from geraniumwell.actors.ticker import Ticker
from geraniumwell.actors.worker_pool import Connect, WorkerPool
from geraniumwell.codec.jobs import DeciderClaim
from geraniumwell.const import (
    HEARTBEAT_INTERVAL_SECONDS,
    TASK_CHECK_SECONDS,
    TASK_REPEAT_SECONDS,
)
from geraniumwell.messages.gangs import (
    CancelJob,
    DeciderElected,
    DeciderRetired,
    ExplainJob,
    JobExplanation,
    JobRefused,
    ListJobs,
    SubmitJob,
)
from geraniumwell.messages.membership import LeaseExtended
from geraniumwell.messages.platform import (
    PlatformFailed,
    RowsRead,
    Transacted,
    TransactionRefused,
)
from geraniumwell.messages.serving import ConfigurationChanged, Tick
from geraniumwell.messages.workers import (
    EpochRefused,
    InventoryTaken,
    TaskAnswered,
    TasksAcknowledged,
    TasksRenewed,
    WorkerCallFailed,
)
from geraniumwell.model.config import Configuration
from geraniumwell.model.instant import Instant
from geraniumwell.util.clock import monotonic_seconds, wall_seconds
from geraniumwell.util.ids import make_token_hex


class Decider(ThreadingActor):
    """Starts, renews and stops the gangs of one data centre.

    Acts only while this daemon is elected and its lease is valid.
    """

    use_daemon_thread = True

    def __init__(
        self,
        data_centre: str,
        vm: str,
        link: ActorRef,
        ticker: Ticker,
        connect: Connect,
    ) -> None:
        super().__init__()
        self._data_centre = data_centre
        # Two daemons may have the same VM name while one replaces the other.
        self._holder = f"{vm}:{make_token_hex()}"
        self._link = link
        self._ticker = ticker
        self._pool = WorkerPool(self.actor_ref, connect)
        self._cfg = Configuration()
        self._term: DeciderTerm | None = None
        self._is_repeating = False
        self._last_error = ""

    def on_start(self) -> None:
        """Send the first ticks, each of which schedules the next one."""
        self.actor_ref.tell(Tick("poll"))
        self.actor_ref.tell(Tick("renew"))

    def on_stop(self) -> None:
        """Close the links to the workers."""
        self._pool.close()

    def on_receive(self, message: Any) -> None:
        """Handle one message."""
        at = Instant(monotonic_seconds(), wall_seconds())
        try:
            self._handle(message, at)
            self._follow_up(at)
        except Exception as exc:
            self._restart_term(exc)

    def _handle(self, message: Any, at: Instant) -> None:
        match message:
            case Tick(name):
                self._tick(name, at)
            case DeciderElected(epoch):
                self._begin(epoch, at)
            case DeciderRetired(epoch):
                self._end_term(epoch, "another daemon was elected")
            case LeaseExtended(valid_until):
                self._pool.valid_until = valid_until
            case ConfigurationChanged(cfg):
                self._apply(cfg, at)
            case SubmitJob() | CancelJob():
                self._command(message, at)
            case ListJobs(reply):
                reply.set(self._term.table.list_all() if self._term else ())
            case ExplainJob(job_id, reply):
                reply.set(self._explain(job_id, at))
            case _:
                self._handle_response(message, at)

    def _may_act(self, at: Instant) -> bool:
        return self._term is not None and at.monotonic < self._pool.valid_until

    def _tick(self, name: str, at: Instant) -> None:
        delay = HEARTBEAT_INTERVAL_SECONDS
        match name:
            case "repeat":
                self._is_repeating = False
                if self._may_act(at):
                    self._term.retry_unanswered(at)
                return
            case "renew":
                delay = TASK_CHECK_SECONDS
                if self._may_act(at):
                    self._term.renew(at)
            case "poll":
                if self._may_act(at):
                    self._term.poll(at)
        self._ticker.tick_at(at.monotonic + delay, self.actor_ref, name)

    def _begin(self, epoch: int, at: Instant) -> None:
        if self._term is not None and self._term.epoch >= epoch:
            return
        if self._term is not None:
            self._end_term(self._term.epoch, "this daemon was elected again")
        self._open_term(epoch)
        if self._may_act(at):
            self._term.poll(at)

    def _open_term(self, epoch: int) -> None:
        logger.info("elected as decider of {} in epoch {}", self._data_centre, epoch)
        self._pool.begin(epoch)
        claim = DeciderClaim(epoch, self._holder)
        self._term = DeciderTerm(
            self._data_centre, claim, self._link, self.actor_ref, self._pool, self._cfg
        )

    def _restart_term(self, exc: Exception) -> None:
        """Discard the state after an error, and recover like a new decider.

        Otherwise the daemon would stay elected while the leases of all gangs expire.
        """
        if self._term is None:
            raise exc
        if str(exc) != self._last_error:
            logger.opt(exception=exc).error("restarting the term after an error")
        self._last_error = str(exc)
        epoch = self._term.epoch
        self._end_term(epoch, "an error")
        # No immediate poll, so that a recurring error puts no load on the platform.
        self._open_term(epoch)

    def _end_term(self, epoch: int, reason: str) -> None:
        if self._term is None or self._term.epoch != epoch:
            return
        logger.info("this daemon is no longer the decider: {}", reason)
        self._term.close(reason)
        self._term = None

    def _apply(self, cfg: Configuration, at: Instant) -> None:
        self._cfg = cfg
        own_workers = {
            name: worker
            for name, worker in cfg.workers.items()
            if worker.data_centre == self._data_centre
        }
        term = self._term
        self._pool.set_workers(
            own_workers, lambda name: term is not None and term.uses(name)
        )
        if term is not None:
            term.apply(cfg)
        if self._may_act(at):
            self._term.ask_workers(at)

    def _command(self, message: SubmitJob | CancelJob, at: Instant) -> None:
        job_id = (
            message.job.job_id if isinstance(message, SubmitJob) else message.job_id
        )
        if not self._may_act(at) or self._term.state is not TermState.ACTIVE:
            reason = f"this daemon is not the active decider of {self._data_centre}"
            message.reply.set(JobRefused(job_id, "not_decider", reason))
            return
        match message:
            case SubmitJob():
                self._term.submit(message, at)
            case CancelJob():
                self._term.cancel(message)

    def _explain(self, job_id: str, at: Instant) -> JobExplanation:
        if self._term is None:
            reason = f"this daemon is not the decider of {self._data_centre}"
            return JobExplanation(None, (reason,))
        return self._term.explain(job_id, at)

    def _handle_response(self, message: Any, at: Instant) -> None:
        if self._term is None:
            return
        match message:
            case RowsRead() | Transacted() | TransactionRefused() | PlatformFailed():
                self._term.handle_platform(message, at)
            case EpochRefused(worker, epoch):
                reason = f"worker {worker} has seen a higher epoch"
                self._end_term(epoch, reason)
            case (
                TaskAnswered()
                | TasksRenewed()
                | InventoryTaken()
                | TasksAcknowledged()
                | WorkerCallFailed()
            ) if message.epoch == self._term.epoch:
                self._term.handle_worker(message, at)

    def _follow_up(self, at: Instant) -> None:
        if not self._may_act(at):
            return
        self._term.plan_if_due(at)
        if self._term.state is TermState.LOST:
            self._end_term(self._term.epoch, "another decider claimed the data centre")
            return
        if self._term.is_busy() and not self._is_repeating:
            self._is_repeating = True
            due = at.monotonic + TASK_REPEAT_SECONDS
            self._ticker.tick_at(due, self.actor_ref, "repeat")
