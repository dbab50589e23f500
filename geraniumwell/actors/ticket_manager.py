"""Tickets of this daemon, their outcomes and copies of other daemons' outcomes."""

from collections.abc import Callable
from dataclasses import dataclass

from pykka import Future

from geraniumwell.actors.peer_calls import (
    CopyCall,
    CopyQueue,
    IssuerCall,
    OutcomeSearch,
    PeerCalls,
    SearchCall,
)
from geraniumwell.codec.http import make_refusal
from geraniumwell.codec.outcome import (
    answer_not_ticket,
    answer_outcome,
    answer_presented,
)
from geraniumwell.commands.serving.execution import (
    cache_outcome,
    claim_ticket,
    expire_tickets,
    is_own_ticket,
    issue_tickets,
    make_ended,
    parse_ticket,
    record_outcome,
)
from geraniumwell.messages.peer import FoundOutcome, OutcomeCopy
from geraniumwell.messages.serving import AskOutcome
from geraniumwell.model.execution import (
    Claimed,
    Ended,
    OutcomeCopyCache,
    TicketRegistry,
    TicketState,
)
from geraniumwell.model.request import Answer, RefusalCode, Request
from geraniumwell.queries.outcome import (
    AskIssuer,
    AskPeersForCopies,
    InvalidTicket,
    KnownLocally,
    locate_outcome,
    make_peer_outcome,
)


@dataclass(slots=True, frozen=True)
class AnswerOutcomeQuery:
    """The search answers a caller's outcome query."""

    reply: Future[Answer]


@dataclass(slots=True, frozen=True)
class AnswerPresentedTicket:
    """The search answers a request whose ticket was not issued here."""

    req: Request


class TicketManager:
    """Manages tickets so that each runs at most once; part of the dispatcher's state.

    Parameters
    ----------
    registry : TicketRegistry
        Tickets issued by this incarnation of the daemon.
    calls : PeerCalls
        Calls to the peers.
    send_answer : callable
        Answers a request.
    """

    __slots__ = ("_registry", "_copies", "_calls", "_send_answer", "queue")

    def __init__(
        self,
        registry: TicketRegistry,
        calls: PeerCalls,
        send_answer: Callable[[Request, Answer], None],
    ) -> None:
        self._registry = registry
        self._copies = OutcomeCopyCache()
        self._calls = calls
        self._send_answer = send_answer
        self.queue = CopyQueue()

    def count_copies(self) -> int:
        """Return the number of copies of other daemons' outcomes."""
        return len(self._copies.copies)

    def issue(
        self, organisation: str, count: int, organisations: int, now: float
    ) -> tuple[str, ...]:
        """Return new tickets, or none if the organisation holds too many."""
        return issue_tickets(self._registry, organisation, count, organisations, now)

    def expire(self, now: float) -> None:
        """Remove expired tickets."""
        expire_tickets(self._registry, now)

    def is_ticket(self, text: str) -> bool:
        """Return whether a request id is a ticket of this daemon or of a peer.

        Such a request runs at most once, whatever its class.
        """
        ticket = parse_ticket(text)
        if ticket is None:
            return False
        return ticket.vm == self._registry.vm or self._calls.has_peer(ticket.vm)

    def present(self, req: Request, now: float) -> int | None:
        """Return the sequence number of a claimed ticket, else answer the request.

        A request with a ticket of another daemon is forwarded to the issuer and never
        executed here.
        """
        ticket = parse_ticket(req.request_id)
        if ticket is None:
            message = "requests of this class need a ticket from POST /v1/tickets"
            code = RefusalCode.TICKET_REQUIRED
            self._send_answer(req, make_refusal(req.request_id, code, 400, message))
            return None
        if is_own_ticket(self._registry, ticket):
            result = claim_ticket(
                self._registry, ticket.sequence, req.organisation, now
            )
            if isinstance(result, Claimed):
                return ticket.sequence
            self._send_answer(req, answer_presented(req.request_id, result))
            return None
        self._present_to_issuer(req, now)
        return None

    def record(self, sequence: int, req: Request, answer: Answer) -> None:
        """Record the outcome of a claimed ticket."""
        record_outcome(self._registry, sequence, answer.outcome, answer.status)
        ended = make_ended(answer.outcome, answer.status)
        self.queue.add(req.organisation, req.request_id, ended)

    def query(self, ask: AskOutcome, now: float) -> None:
        """Answer an outcome query, here or after a search among peers."""
        org, text = ask.organisation, ask.request_id
        match locate_outcome(self._registry, self._copies, org, text, now):
            case InvalidTicket():
                ask.reply.set(answer_not_ticket(text))
            case KnownLocally(state):
                ask.reply.set(answer_outcome(text, state))
            case AskPeersForCopies():
                self._search(OutcomeSearch(org, text, AnswerOutcomeQuery(ask.reply)))
            case AskIssuer(vm):
                self._search(
                    OutcomeSearch(org, text, AnswerOutcomeQuery(ask.reply), vm)
                )

    def find_for_peer(self, organisation: str, text: str, now: float) -> FoundOutcome:
        """Return the outcome of a ticket if it is known here, without asking peers."""
        match locate_outcome(self._registry, self._copies, organisation, text, now):
            case KnownLocally(state):
                ended = make_peer_outcome(state)
            case _:
                ended = None
        if ended is None:
            return FoundOutcome(None)
        return FoundOutcome(
            OutcomeCopy(organisation, text, ended.outcome, ended.status)
        )

    def cache_copies(self, outcomes: tuple[OutcomeCopy, ...], now: float) -> None:
        """Cache copies of a peer's outcomes."""
        for copy in outcomes:
            ended = make_ended(copy.outcome, copy.status)
            cache_outcome(self._copies, copy.organisation, copy.request_id, ended, now)

    def send_copies(self) -> None:
        """Send waiting outcomes to the peer that keeps copies."""
        if self.queue.is_sending or not len(self.queue):
            return
        self.queue.is_sending = True
        self._calls.send_copies(self.queue.take_batch())

    def end_copies(self, call: CopyCall, is_kept: bool) -> None:
        """Record whether the peer has kept the copies; put them back if it has not."""
        self.queue.is_sending = False
        if not is_kept:
            self.queue.put_back(call.outcomes)
            self._calls.use_next_copy_peer()

    def end_issuer_call(self, call: IssuerCall, answer: Answer | None) -> None:
        """Pass on the issuer's response; without one, search for a copied outcome."""
        req = call.req
        if answer is not None and answer.request_id == req.request_id:
            self._send_answer(req, answer)
            return
        ticket = parse_ticket(req.request_id)
        issuer = ticket.vm if ticket is not None else ""
        search = OutcomeSearch(
            req.organisation, req.request_id, AnswerPresentedTicket(req), issuer
        )
        if not self._calls.widen_search(search):
            self._finish_search(search, None)

    def end_search_call(self, call: SearchCall, found: OutcomeCopy | None) -> None:
        """Apply one response to a search; the first outcome found ends it."""
        search = call.search
        search.open_calls -= 1
        if search.is_over:
            return
        if found is not None and (found.organisation, found.request_id) == (
            search.organisation,
            search.text,
        ):
            self._finish_search(search, make_ended(found.outcome, found.status))
        elif search.open_calls:
            return
        elif not search.is_issuer_asked or not self._calls.widen_search(search):
            self._finish_search(search, None)

    def _present_to_issuer(self, req: Request, now: float) -> None:
        org, text = req.organisation, req.request_id
        match locate_outcome(self._registry, self._copies, org, text, now):
            case KnownLocally(state):
                self._send_answer(req, answer_presented(text, state))
            case AskIssuer(vm) if req.forwarded or not self._calls.has_peer(vm):
                # A forwarded request is never forwarded again.
                self._search(OutcomeSearch(org, text, AnswerPresentedTicket(req)))
            case AskIssuer(vm):
                self._calls.forward(vm, req, req.deadline - now, IssuerCall(req))
            case _:
                self._search(OutcomeSearch(org, text, AnswerPresentedTicket(req)))

    def _search(self, search: OutcomeSearch) -> None:
        if not self._calls.start_search(search):
            self._finish_search(search, None)

    def _finish_search(
        self, search: OutcomeSearch, state: TicketState | Ended | None
    ) -> None:
        search.is_over = True
        match search.purpose:
            case AnswerOutcomeQuery(reply):
                reply.set(answer_outcome(search.text, state))
            case AnswerPresentedTicket(req):
                self._send_answer(req, answer_presented(search.text, state))
