"""Decides which incomplete requests may use memory, and which are evicted.

Handles clients that send any number of large requests at once, in any pieces, and never
end them: up to the connection limit, with one decision for each read of a connection.
An eviction looks at all connections once; reads without an eviction look at one.
"""

from collections.abc import Iterator, Set
from typing import Final

from geraniumwell.model.intake import (
    CONNECTION_BYTES,
    Connection,
    Exhausted,
    Expired,
    Granted,
    IntakeBudget,
    Phase,
    RefusalReason,
    Reservation,
)

# A request that holds at most this much is small. Ordinary requests have some KB.
SMALL_BYTES: Final = CONNECTION_BYTES + 32_768
# Part of the budget that only small requests may use.
SMALL_SHARE: Final = 0.25
# A client that sends fewer bytes than this at a time makes no progress.
PROGRESS_BYTES: Final = 1_024
# Requests whose last progress is about as old are evicted by size.
PROGRESS_AGE_STEP_SECONDS: Final = 0.5
# Time in which a client may read the last response of a connection.
CLOSING_SECONDS: Final = 1.0
# Additional time of a connection with an event that is not handled yet. It is bounded,
# since a client that sends without a pause may always have such an event.
PENDING_SECONDS: Final = 5.0
# A response of which nothing was read for this long may be dropped for memory.
STALLED_RESPONSE_SECONDS: Final = 5.0
# Phases whose connections can be closed without losing a response.
EVICTION_ORDER: Final = {Phase.CLOSING: 0, Phase.IDLE: 1, Phase.RECEIVING: 2}


def add_connection(
    budget: IntakeBudget, id: int, now: float, pending: Set[int] = frozenset()
) -> Reservation:
    """Add a connection; evict others if there are too many or no memory is left."""
    conn = Connection(id, now, now, held=0)
    evicted: tuple[int, ...] = ()
    needed = _find_shortage(budget, conn, CONNECTION_BYTES)
    if len(budget.connections) >= budget.limits.connections:
        evicted = find_replaceable(budget, pending)
        if not evicted:
            return Exhausted()
    elif needed > 0:
        evicted = find_evictions(budget, needed, now, conn, CONNECTION_BYTES)
        if not evicted:
            return Exhausted()
    budget.connections[id] = conn
    _set_held(budget, conn, CONNECTION_BYTES)
    return Granted(evicted)


def remove_connection(budget: IntakeBudget, id: int) -> None:
    """Release what a connection holds."""
    conn = budget.connections.pop(id, None)
    if conn is not None:
        _set_held(budget, conn, 0)


def reserve(budget: IntakeBudget, id: int, size: int, now: float) -> Reservation:
    """Reserve bytes for a connection before they are read."""
    conn = budget.connections[id]
    if conn.phase is Phase.IDLE:
        # The time without a request is no lack of progress.
        conn.progress_at = now
    needed = _find_shortage(budget, conn, size)
    if needed <= 0:
        _set_held(budget, conn, conn.held + size)
        return Granted()
    evicted = find_evictions(budget, needed, now, conn, size)
    if not evicted:
        return Exhausted()
    _set_held(budget, conn, conn.held + size)
    return Granted(evicted)


def record_read(
    budget: IntakeBudget, id: int, size: int, held: int, now: float
) -> None:
    """Record bytes that were read, and what the connection really holds with them."""
    conn = budget.connections[id]
    if conn.phase is Phase.IDLE:
        conn.phase = Phase.RECEIVING
        conn.began_at = conn.progress_at = now
        conn.unmarked = 0
    conn.unmarked += size
    if conn.unmarked >= PROGRESS_BYTES:
        conn.progress_at = now
        conn.unmarked = 0
    _set_held(budget, conn, CONNECTION_BYTES + held)


def record_phase(budget: IntakeBudget, id: int, phase: Phase, now: float) -> None:
    """Record that a connection is in a new phase; an idle one holds no request."""
    conn = budget.connections[id]
    if conn.phase is phase:
        return
    conn.phase = phase
    conn.began_at = conn.progress_at = now
    if phase in (Phase.IDLE, Phase.CLOSING):
        _set_held(budget, conn, CONNECTION_BYTES)


def record_response(budget: IntakeBudget, id: int, size: int, now: float) -> None:
    """Record how much of a response waits until its client reads it."""
    conn = budget.connections[id]
    held = CONNECTION_BYTES + size
    if conn.phase is not Phase.SENDING or held < conn.held:
        conn.progress_at = now
    conn.phase = Phase.SENDING
    _set_held(budget, conn, held)


def find_evictions(
    budget: IntakeBudget,
    needed: int,
    now: float,
    asking: Connection,
    size: int,
) -> tuple[int, ...]:
    """Return requests whose end frees the needed bytes, least progress first.

    Returns nothing if the asking request would itself have to be evicted: it is as
    active as any other and none holds more, or the others are too few.
    """
    is_large = asking.held + size > SMALL_BYTES
    asking_rank = _rank(asking, now, asking.held + size)
    found: list[int] = []
    ranked = sorted(
        (_rank(conn, now, conn.held), conn.id)
        for conn in _list_evictable(budget, is_large, now)
        if conn is not asking
    )
    for rank, id in ranked:
        if rank >= asking_rank:
            return ()
        found.append(id)
        needed -= budget.connections[id].held - CONNECTION_BYTES
        if needed <= 0:
            return tuple(found)
    return ()


def find_replaceable(
    budget: IntakeBudget, pending: Set[int] = frozenset()
) -> tuple[int, ...]:
    """Return the connection to close for a new one: idle ones before active ones.

    Parameters
    ----------
    pending : set of int
        Connections with an event that is not handled yet. Those in the phase IDLE have
        probably sent a request and stay.
    """
    ranked = [
        (EVICTION_ORDER[conn.phase], conn.progress_at, conn.id)
        for conn in budget.connections.values()
        if conn.phase in EVICTION_ORDER
        and not (conn.phase is Phase.IDLE and conn.id in pending)
    ]
    return (min(ranked)[2],) if ranked else ()


def find_expired(
    budget: IntakeBudget, now: float, pending: Set[int] = frozenset()
) -> tuple[Expired, ...]:
    """Return the connections that are over one of their times.

    Parameters
    ----------
    pending : set of int
        Connections with an event that is not handled yet.
    """
    limits = budget.limits
    found = []
    for conn in budget.connections.values():
        is_pending = conn.id in pending
        # The time at which the event may have been handled.
        at = now - PENDING_SECONDS if is_pending else now
        match conn.phase:
            case Phase.IDLE if is_pending:
                continue
            case Phase.IDLE if now - conn.progress_at >= limits.idle_seconds:
                found.append(Expired(conn.id, None))
            case Phase.CLOSING if now - conn.began_at >= CLOSING_SECONDS:
                found.append(Expired(conn.id, None))
            case Phase.RECEIVING if at - conn.began_at >= limits.request_seconds:
                found.append(Expired(conn.id, RefusalReason.REQUEST_TIME))
            case Phase.SENDING if at - conn.progress_at >= limits.response_seconds:
                found.append(Expired(conn.id, RefusalReason.UNREAD_RESPONSE))
    return tuple(found)


def _find_shortage(budget: IntakeBudget, conn: Connection, size: int) -> int:
    """Return by how many bytes a reservation is over the budget of its kind."""
    total = budget.limits.memory_bytes
    shortage = budget.held + size - total
    if conn.held + size <= SMALL_BYTES:
        return shortage
    # A request that becomes large takes all that it holds from the large share.
    added = size if conn.held > SMALL_BYTES else conn.held + size
    return max(shortage, budget.held_large + added - int(total * (1 - SMALL_SHARE)))


def _list_evictable(
    budget: IntakeBudget, is_large: bool, now: float
) -> Iterator[Connection]:
    for conn in budget.connections.values():
        if is_large and conn.held <= SMALL_BYTES:
            continue
        age = now - conn.progress_at
        match conn.phase:
            case Phase.RECEIVING:
                yield conn
            case Phase.SENDING if age >= STALLED_RESPONSE_SECONDS:
                yield conn


def _rank(conn: Connection, now: float, held: int) -> tuple[int, int]:
    """Return a key by which requests are evicted, lowest first."""
    age = int((now - conn.progress_at) / PROGRESS_AGE_STEP_SECONDS)
    return -age, -held


def _set_held(budget: IntakeBudget, conn: Connection, held: int) -> None:
    """Change what a connection holds, and the sums."""
    before = conn.held
    budget.held += held - before
    if before > SMALL_BYTES:
        budget.held_large -= before
    if held > SMALL_BYTES:
        budget.held_large += held
    conn.held = held
