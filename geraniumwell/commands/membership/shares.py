"""Division of the endpoints' slots among the members of an assignment."""

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
        Lists the endpoints.
    assignment : Assignment
        Lists the members in order.
    vm : str
        The member.

    Returns
    -------
    dict of str to EndpointShare
        By endpoint name; empty if ``vm`` is not a member.
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
    """Reduce each share to the smaller of the current and the proposed one.

    A daemon whose membership was interrupted keeps nothing, because other members may
    already use its former shares.
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
        name: _find_smaller_share(current[name], share)
        for name, share in target.items()
        if name in current
    }
    state.assignment = new
    state.is_granted = False


def apply_granted(state: ShareState, cfg: Configuration, version: int) -> None:
    """Apply the full shares of an assignment that all members have adopted."""
    if state.assignment is None or state.assignment.version != version:
        return
    state.shares = compute_shares(cfg, state.assignment, state.vm)
    state.is_granted = True


def apply_configuration(state: ShareState, cfg: Configuration) -> None:
    """Recompute the shares for changed endpoints; they grow only once granted."""
    if state.assignment is None:
        return
    target = compute_shares(cfg, state.assignment, state.vm)
    if state.is_granted:
        state.shares = target
        return
    state.shares = {
        name: _find_smaller_share(share, target[name])
        for name, share in state.shares.items()
        if name in target
    }


def fits_shares(state: ShareState, in_flight: Mapping[str, int]) -> bool:
    """Return whether the attempts in flight fit the shares."""
    no_share = EndpointShare(0, 0)
    return all(
        count <= state.shares.get(name, no_share).slots
        for name, count in in_flight.items()
    )


def _find_smaller_share(first: EndpointShare, second: EndpointShare) -> EndpointShare:
    return EndpointShare(
        min(first.slots, second.slots), min(first.connections, second.connections)
    )


def compute_share(endpoint: Endpoint, assignment: Assignment, vm: str) -> EndpointShare:
    """Return a member's share of one endpoint.

    The remainder goes to members in order, starting at an offset that depends on the
    endpoint, so that no member gets the remainders of all endpoints.
    """
    count = len(assignment.members)
    index = assignment.members.index(vm)
    position = (index + crc32(endpoint.name.encode())) % count
    return EndpointShare(
        slots=_divide(endpoint.slots, count, position),
        connections=_divide(endpoint.connections, count, position),
    )


def _divide(total: int, count: int, position: int) -> int:
    return total // count + (1 if position < total % count else 0)
