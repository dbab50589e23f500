"""Execution tickets that a daemon issued, and the outcomes that it retains."""

from collections import OrderedDict
from dataclasses import dataclass, field

from geraniumwell.model.request import Outcome


@dataclass(slots=True, frozen=True)
class Ticket:
    """A parsed ticket; its text is ``{data centre}.{vm}.{incarnation}.{sequence}``."""

    data_centre: str
    vm: str
    incarnation: str
    sequence: int


@dataclass(slots=True, frozen=True)
class Ended:
    """The execution of the ticket ended with this outcome."""

    outcome: Outcome
    status: int


@dataclass(slots=True, frozen=True)
class TicketBatch:
    """Tickets ``first`` to ``first + count - 1``, issued together."""

    first: int
    count: int
    organisation: str
    issued_at: float


@dataclass(slots=True, frozen=True)
class Claimed:
    """The ticket was unused and is now claimed; its execution may start."""


@dataclass(slots=True, frozen=True)
class InProgress:
    """The execution of the ticket has started and has not ended."""


@dataclass(slots=True, frozen=True)
class Unused:
    """The ticket is valid and was never claimed."""


@dataclass(slots=True, frozen=True)
class Expired:
    """The ticket was not claimed while it was valid, so it never ran."""


@dataclass(slots=True, frozen=True)
class RetentionExpired:
    """The ticket is older than the issuer's retention time, so it may have run."""


@dataclass(slots=True, frozen=True)
class NotIssued:
    """This incarnation did not issue the ticket to the organisation."""


TicketState = InProgress | Ended | Unused | Expired | RetentionExpired | NotIssued
ClaimResult = Claimed | InProgress | Ended | Expired | RetentionExpired | NotIssued


@dataclass(slots=True)
class TicketRegistry:
    """Tickets that one incarnation of a daemon issued.

    Tickets are stored in batches, and only used ones have an entry of their own, so an
    unused ticket takes almost no memory. ``uses`` maps the sequence number of a used
    ticket to its end, or to None while its execution runs. ``held`` is the number of
    retained tickets by organisation.
    """

    data_centre: str
    vm: str
    incarnation: str
    next_sequence: int = 1
    batches: list[TicketBatch] = field(default_factory=list)
    uses: dict[int, Ended | None] = field(default_factory=dict)
    held: dict[str, int] = field(default_factory=dict)


@dataclass(slots=True, frozen=True)
class CachedOutcome:
    """Copy of the outcome of a ticket that another daemon issued."""

    organisation: str
    ended: Ended
    received_at: float


@dataclass(slots=True)
class OutcomeCopyCache:
    """Copies of outcomes by ticket text, oldest first."""

    copies: OrderedDict[str, CachedOutcome] = field(default_factory=OrderedDict)
