"""Heartbeats of a member and what they keep alive."""

from geraniumwell.const import (
    HEARTBEAT_INTERVAL_SECONDS,
    MEMBER_LAPSE_SECONDS,
    MEMBER_LEASE_SECONDS,
)
from geraniumwell.model.membership import (
    Assignment,
    MemberRow,
    MemberState,
    ObservedMember,
)
from geraniumwell.queries.members import is_member

# Heartbeats are sent every second, so a longer silence of the inbox is a pause.
PAUSE_SECONDS = 2.5 * HEARTBEAT_INTERVAL_SECONDS
UNHEARD_COUNTER = -1


def begin_heartbeat(state: MemberState, now: float) -> MemberRow:
    """Return the row of the next heartbeat and remember when it was sent."""
    state.counter += 1
    state.sent_at[state.counter] = now
    for counter in [c for c, at in state.sent_at.items() if _is_old(at, now)]:
        del state.sent_at[counter]
    return build_heartbeat(state)


def build_heartbeat(state: MemberState) -> MemberRow:
    """Return the row of the last heartbeat with the counters heard since."""
    heard = {vm: known.row.counter for vm, known in state.heard.items()}
    return MemberRow(
        vm=state.vm,
        incarnation=state.incarnation,
        counter=state.counter,
        adopted_version=state.adopted_version,
        config_version=state.config_version,
        leaving=state.leaving,
        heard={vm: c for vm, c in heard.items() if _is_echoed(state, vm)},
    )


def record_table_write(state: MemberState, counter: int, now: float) -> None:
    """Extend the lease from the time when a written heartbeat was sent."""
    sent_at = state.sent_at.get(counter)
    if sent_at is None or _is_old(sent_at, now):
        return
    state.table_sent_at = max(sent_at, state.table_sent_at or sent_at)


def record_heartbeat(state: MemberState, row: MemberRow, now: float) -> None:
    """Take in another member's heartbeat, whatever channel it came through."""
    if row.vm == state.vm:
        return
    known = state.heard.get(row.vm)
    is_newer = known is None or row.counter > known.row.counter
    if is_newer or _is_replaced(known, row, now):
        state.heard[row.vm] = ObservedMember(row, now)
    elif row.adopted_version > known.row.adopted_version:
        known.row = row
    sent_at = state.sent_at.get(row.heard.get(state.vm, -1))
    if sent_at is not None:
        last = state.echoed_sent_at.get(row.vm, sent_at)
        state.echoed_sent_at[row.vm] = max(sent_at, last)


def _is_replaced(known: ObservedMember, row: MemberRow, now: float) -> bool:
    """Tell whether a lower counter is that of a new incarnation.

    Counters start at the VM's wall time, so a lower one usually belongs to the row
    of an earlier incarnation in the table. Only after a silence is it taken for a
    VM whose clock was set back.
    """
    is_other = row.incarnation != known.row.incarnation
    return is_other and known.first_heard_at + MEMBER_LAPSE_SECONDS <= now


def record_assignment(
    state: MemberState, assignment: Assignment | None, row_version: int, now: float
) -> bool:
    """Take in the assignment row as read from the table.

    Returns
    -------
    bool
        Whether the assignment is newer than the known one.
    """
    if row_version < state.row_version:
        return False
    state.row_version = row_version
    state.removing = frozenset()
    known_version = state.assignment.version if state.assignment else 0
    if assignment is None or assignment.version <= known_version:
        return False
    state.assignment = assignment
    for vm, incarnation in assignment.incarnations.items():
        # A member that was never heard gets the whole lapse time to be heard.
        if vm != state.vm and vm not in state.heard:
            row = MemberRow(vm, incarnation, UNHEARD_COUNTER, 0)
            state.heard[vm] = ObservedMember(row, now)
    # The lease of an earlier assignment says nothing about this one.
    if not is_member(state):
        state.table_sent_at = None
        state.echoed_sent_at.clear()
    return True


def record_activity(state: MemberState, now: float) -> None:
    """Notice that this daemon was paused, to be called before each message."""
    last = state.last_active_at
    state.last_active_at = now
    if last is not None and now - last > PAUSE_SECONDS:
        state.platform_ok_since = None


def record_platform_call(
    state: MemberState, sent_at: float, is_successful: bool, now: float
) -> None:
    """Remember whether the last call to the platform failed."""
    if not is_successful:
        state.platform_failed_at = sent_at
        state.platform_ok_since = None
        return
    state.platform_failed_at = None
    if state.platform_ok_since is None:
        state.platform_ok_since = now


def record_peer_failure(state: MemberState, vm: str, sent_at: float) -> None:
    """Remember that a heartbeat to a peer failed."""
    state.peer_failed_at[vm] = sent_at


def update_lease(state: MemberState) -> float:
    """Return until when this daemon may use its shares; 0 if it may not.

    The lease holds while the table has a heartbeat that was sent within the lease
    time, or every other member has repeated one. A daemon that recently failed to
    reach both the platform and the silent members keeps its own share too: shares
    are taken over through the platform only, and an outage of the platform together
    with the death of one daemon must not stop its data centre. This never revives a
    lease: a daemon that was paused beyond its lease may have been replaced.
    """
    if not is_member(state):
        state.lease_end = 0.0
        return state.lease_end
    assert state.assignment is not None
    others = [vm for vm in state.assignment.members if vm != state.vm]
    by_peers = min((state.echoed_sent_at.get(vm, 0.0) for vm in others), default=0.0)
    start = max(by_peers, state.table_sent_at or 0.0)
    by_isolation = min(
        [_find_last_contact(state, vm) for vm in others]
        + [state.platform_failed_at or 0.0]
    )
    if by_isolation <= state.lease_end:
        start = max(start, by_isolation)
    if start:
        state.lease_end = max(state.lease_end, start + MEMBER_LEASE_SECONDS)
    return state.lease_end


def _find_last_contact(state: MemberState, vm: str) -> float:
    echoed = state.echoed_sent_at.get(vm, 0.0)
    return max(echoed, state.peer_failed_at.get(vm, 0.0))


def _is_old(sent_at: float, now: float) -> bool:
    return sent_at + MEMBER_LEASE_SECONDS < now


def _is_echoed(state: MemberState, vm: str) -> bool:
    # Repeating a removed member's counter would prolong a lease that is taken over.
    if vm in state.removing or state.assignment is None:
        return False
    incarnation = state.assignment.incarnations.get(vm)
    return incarnation == state.heard[vm].row.incarnation
