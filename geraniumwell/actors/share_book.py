"""Shares of endpoints that the dispatcher may use, and its word to the member."""

from collections.abc import Mapping

from pykka import ActorRef

from geraniumwell.commands.membership.shares import (
    apply_configuration,
    apply_granted,
    apply_proposed,
    fits_shares,
)
from geraniumwell.messages.membership import AssignmentAdopted
from geraniumwell.model.config import Configuration
from geraniumwell.model.membership import Assignment, ShareState


class ShareBook:
    """Keeps the shares; part of the dispatcher's state.

    Parameters
    ----------
    vm : str
        Name of this VM.
    """

    __slots__ = ("_member", "_reported_version", "_state")

    def __init__(self, vm: str) -> None:
        self._state = ShareState(vm)
        self._member: ActorRef | None = None
        self._reported_version = 0

    def get_slots(self) -> dict[str, int]:
        """Return the slots that this daemon may use of each endpoint."""
        return {name: share.slots for name, share in self._state.shares.items()}

    def is_joined(self) -> bool:
        """Tell whether this daemon has shares, or all members adopted its assignment.

        Before that a daemon that has just joined has nothing to serve with.
        """
        return self._state.is_granted or bool(self._state.shares)

    def propose(
        self, cfg: Configuration, assignment: Assignment, member: ActorRef
    ) -> None:
        """Shrink to a new assignment."""
        self._member = member
        apply_proposed(self._state, cfg, assignment)

    def grant(self, cfg: Configuration, version: int) -> None:
        """Use the whole shares of an assignment that all members adopted."""
        apply_granted(self._state, cfg, version)

    def configure(self, cfg: Configuration) -> None:
        """Follow a change of the endpoints."""
        apply_configuration(self._state, cfg)

    @property
    def is_unreported(self) -> bool:
        """Whether the member waits for the adoption of an assignment."""
        assignment = self._state.assignment
        return assignment is not None and assignment.version != self._reported_version

    def report(self, in_flight: Mapping[str, int]) -> None:
        """Tell the member once the attempts in flight fit the shares."""
        assignment = self._state.assignment
        if assignment is None or self._member is None or not self.is_unreported:
            return
        if not fits_shares(self._state, in_flight):
            return
        self._reported_version = assignment.version
        self._member.tell(AssignmentAdopted(assignment.version))
