"""Execution tickets, each of which allows at most one execution."""

from bisect import bisect_right
from functools import lru_cache

from geraniumwell.const import (
    OUTCOME_COPY_LIMIT,
    TICKET_COUNT_LIMIT,
    TICKET_LIFETIME_SECONDS,
    TICKET_RETENTION_SECONDS,
)
from geraniumwell.model.execution import (
    CachedOutcome,
    Claimed,
    ClaimResult,
    Ended,
    Expired,
    InProgress,
    NotIssued,
    OutcomeCopyCache,
    RetentionExpired,
    Ticket,
    TicketBatch,
    TicketRegistry,
    TicketState,
    Unused,
)
from geraniumwell.model.request import Outcome
from geraniumwell.util.invariants import check_invariant


def parse_ticket(text: str) -> Ticket | None:
    """Parse the text of a ticket; return None if it is not a valid ticket."""
    parts = text.rsplit(".", 3)
    # Leading zeros and other digits are rejected, so that each ticket has one text.
    if len(parts) != 4 or not all(parts) or len(parts[3]) > 15:
        return None
    if not (parts[3].isascii() and parts[3].isdigit()) or parts[3][0] == "0":
        return None
    return Ticket(parts[0], parts[1], parts[2], int(parts[3]))


def format_ticket(registry: TicketRegistry, sequence: int) -> str:
    """Return the text of a ticket that this daemon issued."""
    return f"{registry.data_centre}.{registry.vm}.{registry.incarnation}.{sequence}"


def is_own_ticket(registry: TicketRegistry, ticket: Ticket) -> bool:
    """Return whether this incarnation of this daemon issued a ticket."""
    return (
        ticket.incarnation == registry.incarnation
        and ticket.vm == registry.vm
        and ticket.data_centre == registry.data_centre
    )


def issue_tickets(
    registry: TicketRegistry,
    organisation: str,
    count: int,
    organisations: int,
    now: float,
) -> tuple[str, ...]:
    """Issue tickets; return none if they would exceed the organisation's limit.

    Parameters
    ----------
    registry : TicketRegistry
        Tickets of this daemon.
    organisation : str
        The only organisation that may use the tickets.
    count : int
        Number of tickets to issue.
    organisations : int
        Number of organisations that share the ticket limit equally, so that none of
        them can use up the tickets of the others.
    now : float
        Monotonic seconds.
    """
    limit = TICKET_COUNT_LIMIT // max(1, organisations)
    held = registry.held.get(organisation, 0)
    if count < 1 or held + count > limit:
        return ()
    first = registry.next_sequence
    registry.next_sequence += count
    registry.held[organisation] = held + count
    registry.batches.append(TicketBatch(first, count, organisation, now))
    return tuple(format_ticket(registry, n) for n in range(first, first + count))


def claim_ticket(
    registry: TicketRegistry, sequence: int, organisation: str, now: float
) -> ClaimResult:
    """Claim the execution of a ticket; only ``Claimed`` permits it."""
    match lookup_ticket(registry, sequence, organisation, now):
        case Unused():
            registry.uses[sequence] = None
            return Claimed()
        case state:
            return state


def record_outcome(
    registry: TicketRegistry, sequence: int, outcome: Outcome, status: int
) -> None:
    """Record the outcome of the execution of a claimed ticket.

    A ticket with the outcome "not run" stays used as well. If it could be used again,
    work would run after its caller got the outcome "not run".
    """
    if sequence not in registry.uses:
        return
    previous = registry.uses[sequence]
    check_invariant(
        "one outcome per ticket", previous is None, lambda: f"{sequence}: {previous}"
    )
    registry.uses[sequence] = make_ended(outcome, status)


def lookup_ticket(
    registry: TicketRegistry, sequence: int, organisation: str, now: float
) -> TicketState:
    """Return the state of a ticket; ``NotIssued`` if it is another organisation's."""
    if sequence >= registry.next_sequence:
        return NotIssued()
    batch = _find_batch(registry, sequence)
    if batch is None:
        return RetentionExpired()
    if batch.organisation != organisation:
        return NotIssued()
    if sequence in registry.uses:
        return registry.uses[sequence] or InProgress()
    if now >= batch.issued_at + TICKET_LIFETIME_SECONDS:
        return Expired()
    return Unused()


def expire_tickets(registry: TicketRegistry, now: float) -> None:
    """Delete the tickets that are older than the retention time."""
    oldest = now - TICKET_RETENTION_SECONDS
    count = bisect_right(registry.batches, oldest, key=lambda batch: batch.issued_at)
    for batch in registry.batches[:count]:
        registry.held[batch.organisation] -= batch.count
        if not registry.held[batch.organisation]:
            del registry.held[batch.organisation]
        for sequence in range(batch.first, batch.first + batch.count):
            registry.uses.pop(sequence, None)
    del registry.batches[:count]


def cache_outcome(
    cache: OutcomeCopyCache, organisation: str, text: str, ended: Ended, now: float
) -> None:
    """Store the outcome of another daemon's ticket; evict old and excess ones."""
    oldest = now - TICKET_RETENTION_SECONDS
    while cache.copies:
        first = next(iter(cache.copies.values()))
        if first.received_at > oldest and len(cache.copies) < OUTCOME_COPY_LIMIT:
            break
        cache.copies.popitem(last=False)
    cache.copies.pop(text, None)
    cache.copies[text] = CachedOutcome(organisation, ended, now)


def find_cached_outcome(
    cache: OutcomeCopyCache, organisation: str, text: str
) -> Ended | None:
    """Return the copied outcome of a ticket if it belongs to the organisation."""
    copy = cache.copies.get(text)
    if copy is None or copy.organisation != organisation:
        return None
    return copy.ended


@lru_cache(maxsize=256)
def make_ended(outcome: Outcome, status: int) -> Ended:
    """Return a cached instance, because many stored outcomes share few values."""
    return Ended(outcome, status)


def _find_batch(registry: TicketRegistry, sequence: int) -> TicketBatch | None:
    index = bisect_right(registry.batches, sequence, key=lambda batch: batch.first) - 1
    if index < 0:
        return None
    batch = registry.batches[index]
    return batch if sequence < batch.first + batch.count else None
