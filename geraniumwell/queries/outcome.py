"""Lookup of the outcome of an execution ticket for the organisation that holds it."""

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
    InProgress,
    NotIssued,
    OutcomeCopyCache,
    RetentionExpired,
    TicketRegistry,
    TicketState,
    Unused,
)
from geraniumwell.model.request import Outcome

# Status reported for a ticket without a recorded end.
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
    """The issuer is an earlier incarnation of this daemon; peers may hold copies."""


@dataclass(slots=True, frozen=True)
class InvalidTicket:
    """The text is not a valid ticket."""


OutcomeLocation = KnownLocally | AskIssuer | AskPeersForCopies | InvalidTicket


def locate_outcome(
    registry: TicketRegistry,
    copies: OutcomeCopyCache,
    organisation: str,
    text: str,
    now: float,
) -> OutcomeLocation:
    """Return the state of a ticket, or which daemons to ask for it."""
    ticket = parse_ticket(text)
    if ticket is None:
        return InvalidTicket()
    if is_own_ticket(registry, ticket):
        return KnownLocally(lookup_ticket(registry, ticket.sequence, organisation, now))
    copy = find_cached_outcome(copies, organisation, text)
    if copy is not None:
        return KnownLocally(copy)
    if (ticket.data_centre, ticket.vm) == (registry.data_centre, registry.vm):
        return AskPeersForCopies()
    return AskIssuer(ticket.vm)


def make_peer_outcome(state: TicketState) -> Ended | None:
    """Return the outcome to report to a peer, or None if the ticket was not issued."""
    match state:
        case Ended():
            return state
        case Expired():
            return Ended(Outcome.NOT_RUN, STATUS_NOT_ENDED)
        case NotIssued():
            return None
        case InProgress() | Unused() | RetentionExpired():
            return Ended(Outcome.UNKNOWN, STATUS_NOT_ENDED)
