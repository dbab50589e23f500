"""What became of a ticket, as the organisation that holds it may see it."""

from dataclasses import dataclass

from geraniumwell.commands.serving.execution import (
    find_cached_outcome,
    is_own_ticket,
    lookup_ticket,
    parse_ticket,
)
from geraniumwell.model.execution import (
    Ended,
    Expired,
    Forgotten,
    InProgress,
    NotIssued,
    OutcomeCopyCache,
    TicketRegistry,
    TicketState,
    Unused,
)
from geraniumwell.model.request import Outcome

# Copies from an issuer that knows the ticket, but no end of it, carry this status.
STATUS_NOT_ENDED = 0


@dataclass(slots=True, frozen=True)
class KnownLocally:
    """This daemon knows the state of the ticket."""

    state: TicketState


@dataclass(slots=True, frozen=True)
class AskIssuer:
    """The daemon on ``vm`` issued the ticket."""

    vm: str


@dataclass(slots=True, frozen=True)
class AskPeersForCopies:
    """The issuer is an earlier incarnation of this daemon; copies may exist."""


@dataclass(slots=True, frozen=True)
class NoTicket:
    """The text is no ticket."""


Location = KnownLocally | AskIssuer | AskPeersForCopies | NoTicket


def locate_outcome(
    book: TicketRegistry,
    copies: OutcomeCopyCache,
    organisation: str,
    text: str,
    now: float,
) -> Location:
    """Return the state of a ticket, or who may know it."""
    ticket = parse_ticket(text)
    if ticket is None:
        return NoTicket()
    if is_own_ticket(book, ticket):
        return KnownLocally(lookup_ticket(book, ticket.sequence, organisation, now))
    copy = find_cached_outcome(copies, organisation, text)
    if copy is not None:
        return KnownLocally(copy)
    if (ticket.data_centre, ticket.vm) == (book.data_centre, book.vm):
        return AskPeersForCopies()
    return AskIssuer(ticket.vm)


def make_peer_outcome(state: TicketState) -> Ended | None:
    """Return what a peer is told of a ticket, or None where it was not issued."""
    match state:
        case Ended():
            return state
        case Expired():
            return Ended(Outcome.NOT_RUN, STATUS_NOT_ENDED)
        case NotIssued():
            return None
        case InProgress() | Unused() | Forgotten():
            return Ended(Outcome.UNKNOWN, STATUS_NOT_ENDED)
