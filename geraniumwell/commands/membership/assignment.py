"""Proposed changes to the assignment of a data centre."""

from geraniumwell.model.membership import Assignment, MemberState
from geraniumwell.queries.members import has_member_expired, has_recent_heartbeat


def propose_assignment(state: MemberState, now: float) -> Assignment | None:
    """Return the next assignment, or None if the current one is up to date.

    Expired members are removed, VMs with recent heartbeats are added at the end, and
    the decider stays unless it has expired or is leaving.
    """
    current = state.assignment
    members = _find_members(state, now)
    incarnations = {vm: _find_incarnation(state, vm) for vm in members}
    decider = _choose_decider(state, members, incarnations)
    if current is not None and (current.incarnations, current.decider) == (
        incarnations,
        decider,
    ):
        return None
    old_incarnation = current.incarnations.get(current.decider) if current else None
    is_same = (
        current is not None
        and current.decider == decider
        and old_incarnation == incarnations.get(decider)
    )
    epoch = current.epoch if current else 0
    version = (current.version if current else 0) + 1
    return Assignment(
        data_centre=state.data_centre,
        version=version,
        members=members,
        incarnations=incarnations,
        decider=decider,
        epoch=epoch if is_same else epoch + 1,
        joined=_find_joined(current, incarnations, version),
    )


def propose_departure(state: MemberState) -> Assignment | None:
    """Return the assignment without this daemon, or None if it is the only member.

    It must not be written before all attempts in flight have ended.
    """
    current = state.assignment
    if current is None or state.vm not in current.members or len(current.members) == 1:
        return None
    incarnations = {
        vm: name for vm, name in current.incarnations.items() if vm != state.vm
    }
    members = tuple(vm for vm in current.members if vm != state.vm)
    is_decider_kept = current.decider != state.vm
    return Assignment(
        data_centre=current.data_centre,
        version=current.version + 1,
        members=members,
        incarnations=incarnations,
        decider=current.decider if is_decider_kept else members[0],
        epoch=current.epoch if is_decider_kept else current.epoch + 1,
        joined={vm: current.joined[vm] for vm in members},
    )


def find_removed(state: MemberState, proposed: Assignment) -> frozenset[str]:
    """Return the members that a proposal removes or replaces by a new incarnation."""
    if state.assignment is None:
        return frozenset()
    old = state.assignment.incarnations
    return frozenset(
        vm for vm, name in old.items() if proposed.incarnations.get(vm) != name
    )


def record_adopted_version(state: MemberState, version: int) -> None:
    """Record that the attempts in flight fit the shares of an assignment version."""
    state.adopted_version = max(state.adopted_version, version)


def _find_members(state: MemberState, now: float) -> tuple[str, ...]:
    current = state.assignment.members if state.assignment else ()
    kept = [
        vm for vm in current if vm == state.vm or not has_member_expired(state, vm, now)
    ]
    recent = sorted(
        vm
        for vm, known in state.observed.items()
        if has_recent_heartbeat(state, vm, now) and not known.row.leaving
    )
    added = [vm for vm in sorted({*recent, state.vm}) if vm not in kept]
    return (*kept, *added)


def _find_joined(
    current: Assignment | None, incarnations: dict[str, str], version: int
) -> dict[str, int]:
    if current is None:
        return dict.fromkeys(incarnations, version)
    return {
        vm: current.joined[vm] if current.incarnations.get(vm) == name else version
        for vm, name in incarnations.items()
    }


def _find_incarnation(state: MemberState, vm: str) -> str:
    if vm == state.vm:
        return state.incarnation
    known = state.observed.get(vm)
    if known is not None:
        return known.row.incarnation
    assert state.assignment is not None
    return state.assignment.incarnations[vm]


def _choose_decider(
    state: MemberState, members: tuple[str, ...], incarnations: dict[str, str]
) -> str:
    candidates = [vm for vm in members if not _is_leaving(state, vm)] or list(members)
    current = state.assignment
    if current is not None and current.decider in candidates:
        return current.decider
    return candidates[0]


def _is_leaving(state: MemberState, vm: str) -> bool:
    if vm == state.vm:
        return state.leaving
    known = state.observed.get(vm)
    return known is not None and known.row.leaving
