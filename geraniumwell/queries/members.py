"""Queries about the members of a data centre."""

from geraniumwell.const import MEMBER_EXPIRY_SECONDS, MEMBER_LEASE_SECONDS
from geraniumwell.model.membership import MemberState


def is_member(state: MemberState) -> bool:
    """Return whether the newest known assignment lists this incarnation."""
    if state.assignment is None:
        return False
    return state.assignment.incarnations.get(state.vm) == state.incarnation


def has_member_expired(state: MemberState, vm: str, now: float) -> bool:
    """Return whether a member's counter has not increased for the expiry time.

    This daemon must have reached the platform for all that time, because a member that
    keeps its share through an outage needs the same time to write its row afterwards.
    """
    known = state.observed.get(vm)
    if known is None or state.platform_ok_since is None:
        return False
    since = max(known.counter_received_at, state.platform_ok_since)
    return since + MEMBER_EXPIRY_SECONDS <= now


def has_recent_heartbeat(state: MemberState, vm: str, now: float) -> bool:
    """Return whether a VM's counter has increased within the lease time."""
    known = state.observed.get(vm)
    return known is not None and now < known.counter_received_at + MEMBER_LEASE_SECONDS


def is_granted(state: MemberState) -> bool:
    """Return whether all members have adopted the newest known assignment.

    Members that only earlier assignments list need no check, because they had expired
    or left before this one was written.
    """
    assignment = state.assignment
    if assignment is None or state.adopted_version < assignment.version:
        return False
    return all(
        _has_adopted(state, vm, assignment.version)
        for vm in assignment.members
        if vm != state.vm
    )


def is_decider(state: MemberState) -> bool:
    """Return whether this incarnation is the decider of its data centre."""
    return is_member(state) and state.assignment.decider == state.vm


def _has_adopted(state: MemberState, vm: str, version: int) -> bool:
    known = state.observed.get(vm)
    if known is None or state.assignment is None:
        return False
    same = known.row.incarnation == state.assignment.incarnations[vm]
    return same and known.row.adopted_version >= version
