"""Execution tickets that a daemon issued and the outcomes that it remembers."""

from collections import OrderedDict
from dataclasses import dataclass, field

from geraniumwell.model.request import Outcome


@dataclass(slots=True, frozen=True)
class Ticket:
    """The parts of a ticket's text ``{data centre}.{vm}.{incarnation}.{sequence}``."""

    data_centre: str
    vm: str
    incarnation: str
    sequence: int


@dataclass(slots=True, frozen=True)
class Ended:
    """A use of a ticket ended with this outcome."""

    outcome: Outcome
    status: int


@dataclass(slots=True, frozen=True)
class Batch:
    """Tickets ``first`` to ``first + count - 1``, issued together."""

    first: int
    count: int
    organisation: str
    issued_at: float


@dataclass(slots=True, frozen=True)
class Claimed:
    """The ticket was unused; its one execution may start."""


@dataclass(slots=True, frozen=True)
class InProgress:
    """The one execution of the ticket has started and has not ended."""


@dataclass(slots=True, frozen=True)
class Unused:
    """The ticket is valid and was never presented."""


@dataclass(slots=True, frozen=True)
class Expired:
    """The ticket was never presented while it was valid, so it never ran."""


@dataclass(slots=True, frozen=True)
class Forgotten:
    """The ticket is older than the memory of its issuer, so it may have run."""


@dataclass(slots=True, frozen=True)
class NotIssued:
    """This incarnation issued no such ticket to the organisation."""


TicketState = InProgress | Ended | Unused | Expired | Forgotten | NotIssued
ClaimResult = Claimed | InProgress | Ended | Expired | Forgotten | NotIssued


@dataclass(slots=True)
class TicketRegistry:
    """Tickets of one incarnation of one daemon.

    Tickets are kept in batches and only used ones have an entry of their own, so an
    unused ticket costs next to nothing. ``uses`` maps a sequence to None while the
    execution runs.
    """

    data_centre: str
    vm: str
    incarnation: str
    next_sequence: int = 1
    batches: list[Batch] = field(default_factory=list)
    uses: dict[int, Ended | None] = field(default_factory=dict)
    held: dict[str, int] = field(default_factory=dict)


@dataclass(slots=True, frozen=True)
class CachedOutcome:
    """Copy of an outcome of another daemon's ticket."""

    organisation: str
    ended: Ended
    received_at: float


@dataclass(slots=True)
class OutcomeCopyCache:
    """Copies of outcomes by ticket text, the oldest first."""

    copies: OrderedDict[str, CachedOutcome] = field(default_factory=OrderedDict)
