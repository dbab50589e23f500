"""Messages between the member actor and the actors that act under its lease."""

from dataclasses import dataclass

from pykka import ActorRef, Future

from geraniumwell.model.membership import Assignment, MemberState


@dataclass(slots=True, frozen=True)
class LeaseExtended:
    """This daemon's lease is valid until ``valid_until`` in monotonic seconds."""

    valid_until: float


@dataclass(slots=True, frozen=True)
class AssignmentProposed:
    """A new assignment; the receiver uses the smaller one of each old and new share.

    The receiver sends AssignmentAdopted to the member once its attempts in flight are
    within the shares of the new assignment.
    """

    assignment: Assignment
    member: ActorRef


@dataclass(slots=True, frozen=True)
class AssignmentAdopted:
    """The attempts in flight are within the shares of this assignment."""

    version: int


@dataclass(slots=True, frozen=True)
class AssignmentGranted:
    """All others adopted the assignment or expired, so larger shares may be used."""

    assignment: Assignment


@dataclass(slots=True, frozen=True)
class ManagerStarted:
    """Names the actor to tell of configuration versions that peers report."""

    manager: ActorRef


@dataclass(slots=True, frozen=True)
class StartLeaving:
    """This daemon stops soon; it must give up the role of decider."""


@dataclass(slots=True, frozen=True)
class Depart:
    """No attempt is in flight; ``reply`` is set once the shares are released."""

    reply: Future[None]


@dataclass(slots=True, frozen=True)
class ReadMembership:
    """Asks for a copy of the member's state."""

    reply: Future[MemberState]
