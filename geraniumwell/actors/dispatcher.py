"""Actor that executes the scheduler's decisions and answers each request once."""

from collections.abc import Callable, Iterable
from dataclasses import replace
from random import Random
from types import TracebackType
from typing import Any

from loguru import logger
from pykka import Future, ThreadingActor

from geraniumwell.actors.conn_pool import ConnPool
from geraniumwell.actors.open_request import (
    RETRY_REASONS,
    OpenRequest,
    make_answered,
    make_request,
)
from geraniumwell.actors.peer_calls import (
    AttemptCall,
    CopyCall,
    IssuerCall,
    LoadCall,
    LoadRound,
    PeerCalls,
    SearchCall,
)
from geraniumwell.actors.share_tracker import ShareTracker
from geraniumwell.actors.ticker import Ticker
from geraniumwell.actors.ticket_manager import TicketManager
from geraniumwell.codec.http import make_refusal
from geraniumwell.commands.serving import scheduler
from geraniumwell.const import COPY_DELAY_SECONDS, LOAD_INTERVAL_SECONDS
from geraniumwell.helpers.metrics import Metrics
from geraniumwell.messages.membership import (
    AssignmentGranted,
    AssignmentProposed,
    LeaseExtended,
)
from geraniumwell.messages.peer import (
    CopyOutcomes,
    Done,
    FindOutcome,
    ForwardReply,
    ForwardRequest,
    FoundOutcome,
    LoadRead,
    PeerAnswered,
    PeerCallFailed,
    PeerReply,
    PeerRequestReceived,
    PeersChanged,
    ReadLoad,
)
from geraniumwell.messages.serving import (
    AnnounceStop,
    AskOutcome,
    AttemptAnswered,
    AttemptLost,
    AttemptNotSent,
    ConfigurationChanged,
    IssueTickets,
    LeavingEndpointsChanged,
    ReadReadiness,
    StopServing,
    SubmitRequest,
    Tick,
)
from geraniumwell.model.config import Configuration
from geraniumwell.model.execution import TicketRegistry
from geraniumwell.model.request import Answer, Readiness, RefusalCode, Request
from geraniumwell.model.serving import (
    AttemptResult,
    ForwardAnswered,
    ForwardAttempt,
    ForwardLost,
    ForwardNotSent,
    Lost,
    NotSent,
    SendAnswer,
    SendAttempt,
    ServingEffect,
    ServingState,
)
from geraniumwell.model.settings import Settings
from geraniumwell.queries.readiness import find_readiness
from geraniumwell.queries.serving_load import count_in_flight, list_endpoints
from geraniumwell.util.clock import monotonic_seconds

# Refusals that indicate that this daemon lacks free slots.
CAPACITY_CODES = frozenset(
    {RefusalCode.NO_ENDPOINT, RefusalCode.NO_LEASE, RefusalCode.OVERLOADED}
)
CLEAN_INTERVAL_SECONDS = 10.0
TICK_CLEAN = "clean"
TICK_COPY = "copy"
TICK_LOAD = "load"
TICK_WAKE = "wake"


class Dispatcher(ThreadingActor):
    """Assigns requests to endpoints and answers each caller exactly once.

    Parameters
    ----------
    cfg : Settings
        Names this VM, its data centre and its peers.
    incarnation : str
        Identifier of this run of the daemon.
    ticker : Ticker
        Sends the ticks.
    metrics : Metrics
        Counts answers and retries.
    fail : callable
        Stops the daemon, which can't continue without its dispatcher.
    """

    use_daemon_thread = True

    def __init__(
        self,
        cfg: Settings,
        incarnation: str,
        ticker: Ticker,
        metrics: Metrics,
        fail: Callable[[], None],
    ) -> None:
        super().__init__()
        self._has_peers = bool(cfg.peers)
        self._ticker = ticker
        self._metrics = metrics
        self._fail = fail
        self._state = ServingState(cfg.vm, cfg.data_centre, rng=Random())
        self._calls = PeerCalls(self.actor_ref)
        registry = TicketRegistry(cfg.data_centre, cfg.vm, incarnation)
        self._tickets = TicketManager(registry, self._calls, self._send_answer)
        self._pool = ConnPool(self.actor_ref)
        self._shares = ShareTracker(cfg.vm)
        self._loads = LoadRound()
        self._open: dict[int, OpenRequest] = {}
        self._organisations = len({t.organisation for t in cfg.caller_tokens})
        self._wake_at: float | None = None
        self._is_copy_due = False
        self._is_load_due = False
        self._lacks_slots = False
        self._is_stop_announced = False
        self._stop_reply: Future[None] | None = None

    def on_start(self) -> None:
        """Schedule the periodic clean-up."""
        self._tick_clean(monotonic_seconds())

    def on_failure(
        self,
        exception_type: type[BaseException] | None,
        exception_value: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Stop the daemon, because the state of slots and tickets is lost."""
        logger.critical("the dispatcher failed: {!r}", exception_value)
        self._fail()

    def on_receive(self, message: Any) -> None:
        """Handle one message."""
        now = monotonic_seconds()
        match message:
            case SubmitRequest(req, reply):
                self._accept(OpenRequest(req, now, caller=reply), now)
            case AttemptAnswered(attempt_id, answer):
                self._end_attempt(attempt_id, make_answered(answer), now)
            case AttemptNotSent(attempt_id, reason):
                self._end_attempt(attempt_id, NotSent(reason), now)
            case AttemptLost(attempt_id, reason):
                self._end_attempt(attempt_id, Lost(reason), now)
            case Tick(name):
                self._tick(name, now)
            case PeerRequestReceived() | PeerAnswered() | PeerCallFailed():
                self._handle_peer(message, now)
            case IssueTickets(organisation, count, reply):
                total = self._organisations
                reply.set(self._tickets.issue(organisation, count, total, now))
            case AskOutcome():
                self._tickets.query(message, now)
            case ReadReadiness(reply):
                reply.set(self._get_readiness(now))
            case _:
                self._handle_change(message, now)
        self._schedule_ticks(now)

    def _handle_change(self, message: Any, now: float) -> None:
        match message:
            case ConfigurationChanged(cfg):
                self._configure(cfg, now)
            case LeaseExtended(valid_until):
                scheduler.set_lease(self._state, valid_until)
                self._apply(scheduler.wake(self._state, now), now)
            case AssignmentProposed(assignment, member):
                self._shares.propose(self._state.cfg, assignment, member)
                self._apply_shares(now)
            case AssignmentGranted(assignment):
                self._shares.grant(self._state.cfg, assignment.version)
                self._apply_shares(now)
            case LeavingEndpointsChanged(names):
                self._apply(scheduler.set_leaving(self._state, names, now), now)
            case PeersChanged(links, data_centres):
                self._calls.set_links(links, data_centres, self._state.data_centre)
            case AnnounceStop():
                self._is_stop_announced = True
            case StopServing(reply):
                self._is_stop_announced = True
                self._stop_reply = reply
                self._apply(scheduler.stop(self._state, now), now)

    def _configure(self, cfg: Configuration, now: float) -> None:
        self._metrics.set_classes(cfg.classes)
        self._apply(scheduler.configure(self._state, cfg, now), now)
        self._shares.configure(cfg)
        self._apply_shares(now)

    def _apply_shares(self, now: float) -> None:
        slots = self._shares.get_slots()
        self._apply(scheduler.set_shares(self._state, slots, now), now)

    def _accept(self, entry: OpenRequest, now: float) -> None:
        req = entry.req
        cls = self._state.cfg.classes.get(req.class_name)
        is_ticket = self._tickets.is_ticket(req.request_id)
        if cls is not None and cls.idempotent and not is_ticket:
            req = entry.req = replace(req, idempotent=True)
        self._open[id(req)] = entry
        # Claim the ticket before any refusal: it may be presented again and run, which
        # would make the outcome "not run" false.
        if is_ticket or (cls is not None and not cls.idempotent):
            entry.sequence = self._tickets.present(req, now)
            if entry.sequence is None:
                return
        if not self._state.cfg.version:
            reason = self._get_readiness(now).reason
            code = RefusalCode.NO_CONFIGURATION
            self._send_answer(req, make_refusal(req.request_id, code, 503, reason))
            return
        self._apply(scheduler.submit(self._state, req, now), now)

    def _end_attempt(self, attempt_id: str, result: AttemptResult, now: float) -> None:
        if not isinstance(result, ForwardAnswered | ForwardNotSent | ForwardLost):
            self._pool.release(attempt_id, now)
        in_flight = self._state.attempts.get(attempt_id)
        if in_flight is not None:
            entry = self._open.get(id(in_flight.pending.req))
            if entry is not None:
                entry.last_failure = RETRY_REASONS[type(result)]
        self._apply(scheduler.handle_result(self._state, attempt_id, result, now), now)

    def _apply(self, effects: Iterable[ServingEffect], now: float) -> None:
        for effect in effects:
            match effect:
                case SendAttempt(_, req, _, _):
                    self._count_attempt(req, now)
                    self._pool.send(effect, now)
                case ForwardAttempt(attempt_id, req, vm, seconds):
                    self._count_attempt(req, now)
                    self._lacks_slots = True
                    call = AttemptCall(attempt_id, req.request_id)
                    self._calls.forward(vm, req, seconds, call)
                case SendAnswer(answer, req):
                    self._send_answer(req, answer)

    def _count_attempt(self, req: Request, now: float) -> None:
        entry = self._open[id(req)]
        if entry.attempts:
            self._metrics.count_retry(entry.last_failure)
        else:
            wait = now - entry.arrived_at
            self._metrics.observe_queue_wait(req.class_name, wait)
        entry.attempts += 1

    def _send_answer(self, req: Request, answer: Answer) -> None:
        entry = self._open.pop(id(req))
        if entry.sequence is not None:
            self._tickets.record(entry.sequence, req, answer)
        if answer.code in CAPACITY_CODES:
            self._lacks_slots = True
        self._metrics.count_answer(req.class_name, answer)
        if entry.caller is not None:
            entry.caller.set(answer)
        if entry.peer is not None:
            entry.peer.set(ForwardReply(answer))

    def _handle_peer(self, message: Any, now: float) -> None:
        match message:
            case PeerRequestReceived(ForwardRequest() as body, reply):
                self._accept(OpenRequest(make_request(body, now), now, peer=reply), now)
            case PeerRequestReceived(CopyOutcomes(outcomes), reply):
                self._tickets.cache_copies(outcomes, now)
                reply.set(Done())
            case PeerRequestReceived(ReadLoad(), reply):
                reply.set(LoadRead(scheduler.measure_load(self._state, now)))
            case PeerRequestReceived(FindOutcome(organisation, request_id), reply):
                reply.set(self._tickets.find_for_peer(organisation, request_id, now))
            case PeerAnswered(tag, _, body):
                self._end_call(tag, body, False, "unexpected reply", now)
            case PeerCallFailed(tag, _, is_sent, reason):
                self._end_call(tag, None, not is_sent, reason, now)

    def _end_call(
        self,
        tag: str,
        body: PeerReply | None,
        is_unsent: bool,
        reason: str,
        now: float,
    ) -> None:
        answer = body.answer if isinstance(body, ForwardReply) else None
        match self._calls.take(tag):
            case AttemptCall(attempt_id, request_id):
                result: AttemptResult = ForwardLost(reason)
                if answer is not None and answer.request_id == request_id:
                    result = ForwardAnswered(answer)
                elif is_unsent:
                    result = ForwardNotSent(reason)
                self._end_attempt(attempt_id, result, now)
            case IssuerCall() as call:
                self._tickets.end_issuer_call(call, answer)
            case SearchCall() as call:
                found = body.outcome if isinstance(body, FoundOutcome) else None
                self._tickets.end_search_call(call, found)
            case LoadCall():
                load = body.load if isinstance(body, LoadRead) else None
                loads = self._loads.end_call(load)
                if loads is not None:
                    self._apply(scheduler.set_peers(self._state, loads, now), now)
            case CopyCall() as call:
                self._tickets.end_copies(call, isinstance(body, Done))

    def _tick(self, name: str, now: float) -> None:
        if name == TICK_WAKE:
            self._wake_at = None
            self._apply(scheduler.wake(self._state, now), now)
        elif name == TICK_COPY:
            self._is_copy_due = False
            self._tickets.send_copies()
        elif name == TICK_LOAD:
            self._is_load_due = False
            if not self._has_unserved_requests():
                # Peers are not queried until requests wait again, and by then the known
                # loads would be outdated.
                self._apply(scheduler.set_peers(self._state, (), now), now)
        elif name == TICK_CLEAN:
            self._tickets.expire(now)
            state = self._state
            endpoints = list_endpoints(state.cfg, state.data_centre)
            self._pool.close_idle(now, endpoints)
            self._tick_clean(now)

    def _tick_clean(self, now: float) -> None:
        self._ticker.tick_at(now + CLEAN_INTERVAL_SECONDS, self.actor_ref, TICK_CLEAN)

    def _schedule_ticks(self, now: float) -> None:
        """Schedule the next ticks and report the end of a stop."""
        self._metrics.set_in_flight(len(self._state.attempts))
        self._metrics.set_copies(self._tickets.count_copies())
        if self._shares.is_unreported:
            self._shares.report(count_in_flight(self._state, now))
        due = scheduler.next_wake(self._state, now)
        if due is not None and (self._wake_at is None or due < self._wake_at):
            self._wake_at = due
            self._ticker.tick_at(due, self.actor_ref, TICK_WAKE)
        if self._has_peers and not self._is_load_due and self._has_unserved_requests():
            self._ask_loads(now)
        has_copies = self._has_peers and len(self._tickets.queue) > 0
        if has_copies and not self._is_copy_due and not self._tickets.queue.is_sending:
            self._is_copy_due = True
            due = now + COPY_DELAY_SECONDS
            self._ticker.tick_at(due, self.actor_ref, TICK_COPY)
        if self._stop_reply is None or self._open or not scheduler.is_idle(self._state):
            return
        self._stop_reply.set(None)
        self._stop_reply = None

    def _has_unserved_requests(self) -> bool:
        """Return whether requests wait, or were refused, that a peer might serve."""
        return self._lacks_slots or len(self._open) > len(self._state.attempts)

    def _ask_loads(self, now: float) -> None:
        self._lacks_slots = False
        self._is_load_due = True
        due = now + LOAD_INTERVAL_SECONDS
        self._ticker.tick_at(due, self.actor_ref, TICK_LOAD)
        if self._loads.is_over:
            self._loads.begin(self._calls.ask_loads())

    def _get_readiness(self, now: float) -> Readiness:
        has_shares = self._shares.has_shares()
        return find_readiness(self._state, has_shares, self._is_stop_announced, now)
