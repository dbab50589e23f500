"""Heartbeats of members and the member lease that they extend."""

from geraniumwell.const import (
    HEARTBEAT_INTERVAL_SECONDS,
    MEMBER_EXPIRY_SECONDS,
    MEMBER_LEASE_SECONDS,
)
from geraniumwell.model.membership import (
    Assignment,
    MemberRow,
    MemberState,
    ObservedMember,
)
from geraniumwell.queries.members import is_member

# Heartbeats arrive every second, so a longer time without messages means that this
# daemon was paused.
PAUSE_DETECTION_SECONDS = 2.5 * HEARTBEAT_INTERVAL_SECONDS
NO_HEARTBEAT_COUNTER = -1


def begin_heartbeat(state: MemberState, now: float) -> MemberRow:
    """Return the row of the next heartbeat and record when it was sent."""
    state.counter += 1
    state.sent_at[state.counter] = now
    for counter in [c for c, at in state.sent_at.items() if _is_lease_over(at, now)]:
        del state.sent_at[counter]
    return build_heartbeat(state)


def build_heartbeat(state: MemberState) -> MemberRow:
    """Return the row of the last heartbeat with the counters received since."""
    counters = {vm: known.row.counter for vm, known in state.observed.items()}
    return MemberRow(
        vm=state.vm,
        incarnation=state.incarnation,
        counter=state.counter,
        adopted_version=state.adopted_version,
        config_version=state.config_version,
        leaving=state.leaving,
        heard={vm: c for vm, c in counters.items() if _may_echo(state, vm)},
    )


def record_table_write(state: MemberState, counter: int, now: float) -> None:
    """Record that a heartbeat was written, which extends the lease from its sending."""
    sent_at = state.sent_at.get(counter)
    if sent_at is None or _is_lease_over(sent_at, now):
        return
    state.table_sent_at = max(sent_at, state.table_sent_at or sent_at)


def record_heartbeat(state: MemberState, row: MemberRow, now: float) -> None:
    """Record the heartbeat of another member, from the table or from a peer."""
    if row.vm == state.vm:
        return
    known = state.observed.get(row.vm)
    is_newer = known is None or row.counter > known.row.counter
    if is_newer or _is_newer_incarnation(known, row, now):
        state.observed[row.vm] = ObservedMember(row, now)
    elif row.adopted_version > known.row.adopted_version:
        known.row = row
    sent_at = state.sent_at.get(row.heard.get(state.vm, -1))
    if sent_at is not None:
        last = state.echoed_sent_at.get(row.vm, sent_at)
        state.echoed_sent_at[row.vm] = max(sent_at, last)


def _is_newer_incarnation(known: ObservedMember, row: MemberRow, now: float) -> bool:
    """Return whether a lower counter belongs to a newer incarnation.

    Counters start at the wall time of the VM, so a lower one usually comes from the
    table row of an earlier incarnation. It is accepted only after the known incarnation
    has sent nothing for the expiry time, as after the VM's clock was set back.
    """
    is_different = row.incarnation != known.row.incarnation
    return is_different and known.counter_received_at + MEMBER_EXPIRY_SECONDS <= now


def record_assignment(
    state: MemberState, assignment: Assignment | None, row_version: int, now: float
) -> bool:
    """Record the assignment row as read from the table.

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
        # A member without a heartbeat so far has the whole expiry time to send one.
        if vm != state.vm and vm not in state.observed:
            row = MemberRow(vm, incarnation, NO_HEARTBEAT_COUNTER, 0)
            state.observed[vm] = ObservedMember(row, now)
    # Heartbeats under an earlier assignment give no lease under this one.
    if not is_member(state):
        state.table_sent_at = None
        state.echoed_sent_at.clear()
    return True


def record_activity(state: MemberState, now: float) -> None:
    """Detect that this daemon was paused; must be called before each message."""
    last = state.last_active_at
    state.last_active_at = now
    if last is not None and now - last > PAUSE_DETECTION_SECONDS:
        state.platform_ok_since = None


def record_platform_call(
    state: MemberState, sent_at: float, is_successful: bool, now: float
) -> None:
    """Record whether the last call to the platform failed."""
    if not is_successful:
        state.platform_failed_at = sent_at
        state.platform_ok_since = None
        return
    state.platform_failed_at = None
    if state.platform_ok_since is None:
        state.platform_ok_since = now


def record_peer_failure(state: MemberState, vm: str, sent_at: float) -> None:
    """Record that a heartbeat to a peer failed."""
    state.peer_failed_at[vm] = sent_at


def update_lease(state: MemberState) -> float:
    """Return until when this daemon may use its shares; 0 if it may not.

    The lease is valid while a heartbeat that was sent within the lease time is in the
    table, or has been echoed by every other member. A daemon that recently failed to
    reach both the platform and the unresponsive members keeps its share as well: shares
    are reassigned only through the platform, and a platform outage together with the
    crash of one daemon must not stop the data centre. This never renews an expired
    lease, because a daemon that was paused beyond its lease may have been replaced.
    """
    if not is_member(state):
        state.lease_end = 0.0
        return state.lease_end
    assert state.assignment is not None
    others = [vm for vm in state.assignment.members if vm != state.vm]
    echoed_at = min((state.echoed_sent_at.get(vm, 0.0) for vm in others), default=0.0)
    start = max(echoed_at, state.table_sent_at or 0.0)
    isolated_at = min(
        [_find_last_contact(state, vm) for vm in others]
        + [state.platform_failed_at or 0.0]
    )
    if isolated_at <= state.lease_end:
        start = max(start, isolated_at)
    if start:
        state.lease_end = max(state.lease_end, start + MEMBER_LEASE_SECONDS)
    return state.lease_end


def _find_last_contact(state: MemberState, vm: str) -> float:
    echoed = state.echoed_sent_at.get(vm, 0.0)
    return max(echoed, state.peer_failed_at.get(vm, 0.0))


def _is_lease_over(sent_at: float, now: float) -> bool:
    return sent_at + MEMBER_LEASE_SECONDS < now


def _may_echo(state: MemberState, vm: str) -> bool:
    # Echoing the counter of a removed member would extend the lease on a share that is
    # being reassigned.
    if vm in state.removing or state.assignment is None:
        return False
    incarnation = state.assignment.incarnations.get(vm)
    return incarnation == state.observed[vm].row.incarnation
