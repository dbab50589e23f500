"""Execution tickets: each is issued once and executed at most once."""

from bisect import bisect_right
from functools import lru_cache

from geraniumwell.const import (
    OUTCOME_COPY_LIMIT,
    TICKET_COUNT_LIMIT,
    TICKET_LIFETIME_SECONDS,
    TICKET_RETENTION_SECONDS,
)
from geraniumwell.model.execution import (
    Batch,
    CachedOutcome,
    Claimed,
    ClaimResult,
    Ended,
    Expired,
    Forgotten,
    InProgress,
    NotIssued,
    OutcomeCopyCache,
    Ticket,
    TicketRegistry,
    TicketState,
    Unused,
)
from geraniumwell.model.request import Outcome
from geraniumwell.util.invariants import check_invariant


def parse_ticket(text: str) -> Ticket | None:
    """Return the ticket that a request id holds, or None if it is no ticket."""
    parts = text.rsplit(".", 3)
    # Only the canonical number is accepted, so that one ticket has one text.
    if len(parts) != 4 or not all(parts) or len(parts[3]) > 15:
        return None
    if not (parts[3].isascii() and parts[3].isdigit()) or parts[3][0] == "0":
        return None
    return Ticket(parts[0], parts[1], parts[2], int(parts[3]))


def format_ticket(book: TicketRegistry, sequence: int) -> str:
    """Return the text of a ticket of this book."""
    return f"{book.data_centre}.{book.vm}.{book.incarnation}.{sequence}"


def is_own_ticket(book: TicketRegistry, ticket: Ticket) -> bool:
    """Tell whether this incarnation of this daemon is the issuer of a ticket."""
    return (
        ticket.incarnation == book.incarnation
        and ticket.vm == book.vm
        and ticket.data_centre == book.data_centre
    )


def issue_tickets(
    book: TicketRegistry, organisation: str, count: int, organisations: int, now: float
) -> tuple[str, ...]:
    """Return new tickets, or none where the organisation already holds its share.

    Parameters
    ----------
    book : TicketRegistry
        Tickets of this daemon.
    organisation : str
        The only organisation that may present the tickets.
    count : int
        How many are asked for.
    organisations : int
        Number of organisations among which the memory is divided, so that none of
        them can take the tickets of the others.
    now : float
        Monotonic seconds.
    """
    limit = TICKET_COUNT_LIMIT // max(1, organisations)
    held = book.held.get(organisation, 0)
    if count < 1 or held + count > limit:
        return ()
    first = book.next_sequence
    book.next_sequence += count
    book.held[organisation] = held + count
    book.batches.append(Batch(first, count, organisation, now))
    return tuple(format_ticket(book, n) for n in range(first, first + count))


def claim_ticket(
    book: TicketRegistry, sequence: int, organisation: str, now: float
) -> ClaimResult:
    """Claim the one execution of a ticket; only ``Claimed`` allows to execute."""
    match lookup_ticket(book, sequence, organisation, now):
        case Unused():
            book.uses[sequence] = None
            return Claimed()
        case state:
            return state


def record_outcome(
    book: TicketRegistry, sequence: int, outcome: Outcome, status: int
) -> None:
    """Record how the one execution of a claimed ticket ended.

    A ticket told as not run is spent as well: if it could be presented again, work
    would run after its caller was told "not run".
    """
    if sequence not in book.uses:
        return
    previous = book.uses[sequence]
    check_invariant(
        "one outcome per ticket", previous is None, lambda: f"{sequence}: {previous}"
    )
    book.uses[sequence] = make_ended(outcome, status)


def lookup_ticket(
    book: TicketRegistry, sequence: int, organisation: str, now: float
) -> TicketState:
    """Return the state of a ticket of this book as the organisation may see it."""
    if sequence >= book.next_sequence:
        return NotIssued()
    batch = _find_batch(book, sequence)
    if batch is None:
        return Forgotten()
    if batch.organisation != organisation:
        return NotIssued()
    if sequence in book.uses:
        return book.uses[sequence] or InProgress()
    if now >= batch.issued_at + TICKET_LIFETIME_SECONDS:
        return Expired()
    return Unused()


def expire_tickets(book: TicketRegistry, now: float) -> None:
    """Forget the tickets that are older than the issuer's memory."""
    oldest = now - TICKET_RETENTION_SECONDS
    count = bisect_right(book.batches, oldest, key=lambda batch: batch.issued_at)
    for batch in book.batches[:count]:
        book.held[batch.organisation] -= batch.count
        if not book.held[batch.organisation]:
            del book.held[batch.organisation]
        for sequence in range(batch.first, batch.first + batch.count):
            book.uses.pop(sequence, None)
    del book.batches[:count]


def cache_outcome(
    book: OutcomeCopyCache, organisation: str, text: str, ended: Ended, now: float
) -> None:
    """Keep the outcome of another daemon's ticket, the oldest giving way."""
    oldest = now - TICKET_RETENTION_SECONDS
    while book.copies:
        first = next(iter(book.copies.values()))
        if first.received_at > oldest and len(book.copies) < OUTCOME_COPY_LIMIT:
            break
        book.copies.popitem(last=False)
    book.copies.pop(text, None)
    book.copies[text] = CachedOutcome(organisation, ended, now)


def find_cached_outcome(
    book: OutcomeCopyCache, organisation: str, text: str
) -> Ended | None:
    """Return the outcome of a ticket if a copy for the organisation is held."""
    copy = book.copies.get(text)
    if copy is None or copy.organisation != organisation:
        return None
    return copy.ended


@lru_cache(maxsize=256)
def make_ended(outcome: Outcome, status: int) -> Ended:
    """Return the shared value of an outcome; few differ and many are remembered."""
    return Ended(outcome, status)


def _find_batch(book: TicketRegistry, sequence: int) -> Batch | None:
    index = bisect_right(book.batches, sequence, key=lambda batch: batch.first) - 1
    if index < 0:
        return None
    batch = book.batches[index]
    return batch if sequence < batch.first + batch.count else None
