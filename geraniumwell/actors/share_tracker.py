"""Shares of endpoints that the dispatcher may use, and reports of their adoption."""

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


class ShareTracker:
    """Tracks this daemon's shares of the endpoints; part of the dispatcher's state.

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
        """Return how many slots of each endpoint this daemon may use."""
        return {name: share.slots for name, share in self._state.shares.items()}

    def has_shares(self) -> bool:
        """Return whether this daemon has shares or its assignment is fully adopted.

        Before that, a daemon that has just joined can't serve requests.
        """
        return self._state.is_granted or bool(self._state.shares)

    def propose(
        self, cfg: Configuration, assignment: Assignment, member: ActorRef
    ) -> None:
        """Reduce the shares to those of a new assignment."""
        self._member = member
        apply_proposed(self._state, cfg, assignment)

    def grant(self, cfg: Configuration, version: int) -> None:
        """Use the full shares of an assignment that all members have adopted."""
        apply_granted(self._state, cfg, version)

    def configure(self, cfg: Configuration) -> None:
        """Apply a change of the endpoints."""
        apply_configuration(self._state, cfg)

    @property
    def is_unreported(self) -> bool:
        """Whether the adoption of the assignment was not reported yet."""
        assignment = self._state.assignment
        return assignment is not None and assignment.version != self._reported_version

    def report(self, in_flight: Mapping[str, int]) -> None:
        """Report the adoption once the attempts in flight are within the shares."""
        assignment = self._state.assignment
        if assignment is None or self._member is None or not self.is_unreported:
            return
        if not fits_shares(self._state, in_flight):
            return
        self._reported_version = assignment.version
        self._member.tell(AssignmentAdopted(assignment.version))
