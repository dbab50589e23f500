"""Tickets, their outcomes and the copies of them that a dispatcher keeps."""

from collections.abc import Callable
from dataclasses import dataclass

from pykka import Future

from geraniumwell.actors.peer_calls import (
    CopyCall,
    CopyQueue,
    IssuerCall,
    PeerCalls,
    Search,
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
    KnownLocally,
    NoTicket,
    locate_outcome,
    make_peer_outcome,
)


@dataclass(slots=True, frozen=True)
class OutcomeQuery:
    """A search is made for a caller that asks for an outcome."""

    reply: Future[Answer]


@dataclass(slots=True, frozen=True)
class PresentedTicket:
    """A search is made for a request whose ticket can't be executed here."""

    req: Request


class TicketDesk:
    """Keeps the at-most-once records of one daemon; owned by its dispatcher.

    Parameters
    ----------
    book : TicketRegistry
        Tickets of this incarnation.
    calls : PeerCalls
        Calls to the peers.
    give : callable
        Gives a request its one answer.
    """

    __slots__ = ("_book", "_copies", "_calls", "_give", "queue")

    def __init__(
        self,
        book: TicketRegistry,
        calls: PeerCalls,
        give: Callable[[Request, Answer], None],
    ) -> None:
        self._book = book
        self._copies = OutcomeCopyCache()
        self._calls = calls
        self._give = give
        self.queue = CopyQueue()

    def count_copies(self) -> int:
        """Return how many outcomes of other daemons' tickets are kept."""
        return len(self._copies.copies)

    def issue(
        self, organisation: str, count: int, organisations: int, now: float
    ) -> tuple[str, ...]:
        """Return new tickets, or none where the organisation holds too many."""
        return issue_tickets(self._book, organisation, count, organisations, now)

    def expire(self, now: float) -> None:
        """Forget old tickets."""
        expire_tickets(self._book, now)

    def is_ticket(self, text: str) -> bool:
        """Tell whether a request id is a ticket of this daemon or of a peer.

        Such an id is executed at most once whatever the class of the request.
        """
        ticket = parse_ticket(text)
        if ticket is None:
            return False
        return ticket.vm == self._book.vm or self._calls.has_peer(ticket.vm)

    def present(self, req: Request, now: float) -> int | None:
        """Return the sequence of a claimed ticket; else the request is answered.

        A ticket of another daemon goes to its issuer and is never executed here.
        """
        ticket = parse_ticket(req.request_id)
        if ticket is None:
            message = "requests of this class need a ticket from POST /v1/tickets"
            code = RefusalCode.TICKET_REQUIRED
            self._give(req, make_refusal(req.request_id, code, 400, message))
            return None
        if is_own_ticket(self._book, ticket):
            result = claim_ticket(self._book, ticket.sequence, req.organisation, now)
            if isinstance(result, Claimed):
                return ticket.sequence
            self._give(req, answer_presented(req.request_id, result))
            return None
        self._present_foreign(req, now)
        return None

    def record(self, sequence: int, req: Request, answer: Answer) -> None:
        """Record the outcome of a claimed ticket."""
        record_outcome(self._book, sequence, answer.outcome, answer.status)
        ended = make_ended(answer.outcome, answer.status)
        self.queue.add(req.organisation, req.request_id, ended)

    def query(self, ask: AskOutcome, now: float) -> None:
        """Answer an outcome query, here or after a search among peers."""
        org, text = ask.organisation, ask.request_id
        match locate_outcome(self._book, self._copies, org, text, now):
            case NoTicket():
                ask.reply.set(answer_not_ticket(text))
            case KnownLocally(state):
                ask.reply.set(answer_outcome(text, state))
            case AskPeersForCopies():
                self._search(Search(org, text, OutcomeQuery(ask.reply)))
            case AskIssuer(vm):
                self._search(Search(org, text, OutcomeQuery(ask.reply), vm))

    def find_for_peer(self, organisation: str, text: str, now: float) -> FoundOutcome:
        """Return what this daemon knows of a ticket, without asking others."""
        match locate_outcome(self._book, self._copies, organisation, text, now):
            case KnownLocally(state):
                ended = make_peer_outcome(state)
            case _:
                ended = None
        if ended is None:
            return FoundOutcome(None)
        return FoundOutcome(
            OutcomeCopy(organisation, text, ended.outcome, ended.status)
        )

    def keep(self, outcomes: tuple[OutcomeCopy, ...], now: float) -> None:
        """Keep copies of a peer's outcomes."""
        for copy in outcomes:
            ended = make_ended(copy.outcome, copy.status)
            cache_outcome(self._copies, copy.organisation, copy.request_id, ended, now)

    def send_copies(self) -> None:
        """Send the waiting outcomes to the peer that keeps copies."""
        if self.queue.is_sending or not len(self.queue):
            return
        self.queue.is_sending = True
        self._calls.send_copies(self.queue.take_batch())

    def end_copies(self, call: CopyCall, is_kept: bool) -> None:
        """Note that a message with copies was kept or not."""
        self.queue.is_sending = False
        if not is_kept:
            self.queue.put_back(call.outcomes)
            self._calls.skip_holder()

    def end_issuer_call(self, call: IssuerCall, answer: Answer | None) -> None:
        """Pass the issuer's answer on; without one, look for a copy of the outcome."""
        req = call.req
        if answer is not None and answer.request_id == req.request_id:
            self._give(req, answer)
            return
        ticket = parse_ticket(req.request_id)
        issuer = ticket.vm if ticket is not None else ""
        search = Search(req.organisation, req.request_id, PresentedTicket(req), issuer)
        if not self._calls.widen_search(search):
            self._conclude(search, None)

    def end_search_call(self, call: SearchCall, found: OutcomeCopy | None) -> None:
        """Take one answer of a search; the first outcome found ends it."""
        search = call.search
        search.open_calls -= 1
        if search.is_over:
            return
        if found is not None and (found.organisation, found.request_id) == (
            search.organisation,
            search.text,
        ):
            self._conclude(search, make_ended(found.outcome, found.status))
        elif search.open_calls:
            return
        elif not search.is_issuer_asked or not self._calls.widen_search(search):
            self._conclude(search, None)

    def _present_foreign(self, req: Request, now: float) -> None:
        org, text = req.organisation, req.request_id
        match locate_outcome(self._book, self._copies, org, text, now):
            case KnownLocally(state):
                self._give(req, answer_presented(text, state))
            case AskIssuer(vm) if req.forwarded or not self._calls.has_peer(vm):
                # A forwarded request is never forwarded again.
                self._search(Search(org, text, PresentedTicket(req)))
            case AskIssuer(vm):
                self._calls.forward(vm, req, req.deadline - now, IssuerCall(req))
            case _:
                self._search(Search(org, text, PresentedTicket(req)))

    def _search(self, search: Search) -> None:
        if not self._calls.start_search(search):
            self._conclude(search, None)

    def _conclude(self, search: Search, state: TicketState | Ended | None) -> None:
        search.is_over = True
        match search.purpose:
            case OutcomeQuery(reply):
                reply.set(answer_outcome(search.text, state))
            case PresentedTicket(req):
                self._give(req, answer_presented(search.text, state))
