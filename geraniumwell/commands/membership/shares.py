"""Division of endpoints among the members of an assignment."""

from collections.abc import Mapping
from zlib import crc32

from geraniumwell.model.config import Configuration, Endpoint
from geraniumwell.model.membership import Assignment, EndpointShare, ShareState


def compute_shares(
    cfg: Configuration, assignment: Assignment, vm: str
) -> dict[str, EndpointShare]:
    """Return a member's share of each endpoint of its data centre.

    Parameters
    ----------
    cfg : Configuration
        Names the endpoints.
    assignment : Assignment
        Names the members in order.
    vm : str
        The member.

    Returns
    -------
    dict of str to EndpointShare
        Empty where ``vm`` is not a member.
    """
    if vm not in assignment.members:
        return {}
    return {
        endpoint.name: compute_share(endpoint, assignment, vm)
        for service in cfg.services.values()
        for endpoint in service.endpoints
        if endpoint.data_centre == assignment.data_centre
    }


def apply_proposed(state: ShareState, cfg: Configuration, new: Assignment) -> None:
    """Shrink to the smaller of the current and the proposed shares.

    A daemon that was not a member without a break keeps nothing: others may use what
    it had.
    """
    old = state.assignment
    is_continuous = (
        old is not None
        and new.incarnations.get(state.vm) == old.incarnations.get(state.vm)
        and new.joined.get(state.vm, new.version) <= old.version
    )
    target = compute_shares(cfg, new, state.vm)
    current = state.shares if is_continuous else {}
    state.shares = {
        name: _take_smaller(current[name], share)
        for name, share in target.items()
        if name in current
    }
    state.assignment = new
    state.is_granted = False


def apply_granted(state: ShareState, cfg: Configuration, version: int) -> None:
    """Use the whole shares of an assignment that all members have adopted."""
    if state.assignment is None or state.assignment.version != version:
        return
    state.shares = compute_shares(cfg, state.assignment, state.vm)
    state.is_granted = True


def apply_configuration(state: ShareState, cfg: Configuration) -> None:
    """Follow a change of the endpoints; only a granted assignment may grow."""
    if state.assignment is None:
        return
    target = compute_shares(cfg, state.assignment, state.vm)
    if state.is_granted:
        state.shares = target
        return
    state.shares = {
        name: _take_smaller(share, target[name])
        for name, share in state.shares.items()
        if name in target
    }


def fits_shares(state: ShareState, in_flight: Mapping[str, int]) -> bool:
    """Tell whether the attempts in flight fit the shares."""
    nothing = EndpointShare(0, 0)
    return all(
        count <= state.shares.get(name, nothing).slots
        for name, count in in_flight.items()
    )


def _take_smaller(first: EndpointShare, second: EndpointShare) -> EndpointShare:
    return EndpointShare(
        min(first.slots, second.slots), min(first.connections, second.connections)
    )


def compute_share(endpoint: Endpoint, assignment: Assignment, vm: str) -> EndpointShare:
    """Return a member's share of one endpoint.

    What does not divide evenly goes to members in order, starting at a place that
    depends on the endpoint, so that no member gets all the remainders.
    """
    count = len(assignment.members)
    place = assignment.members.index(vm)
    turn = (place + crc32(endpoint.name.encode())) % count
    return EndpointShare(
        slots=_divide(endpoint.slots, count, turn),
        connections=_divide(endpoint.connections, count, turn),
    )


def _divide(total: int, count: int, turn: int) -> int:
    return total // count + (1 if turn < total % count else 0)
