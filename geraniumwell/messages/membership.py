"""Messages of the member actor to the actors that act under its lease."""

from dataclasses import dataclass

from pykka import ActorRef, Future

from geraniumwell.model.membership import Assignment, MemberState


@dataclass(slots=True, frozen=True)
class LeaseExtended:
    """This daemon's lease holds until ``valid_until``, monotonic seconds."""

    valid_until: float


@dataclass(slots=True, frozen=True)
class AssignmentProposed:
    """A new assignment; the receiver shrinks to the smaller of both shares.

    The receiver tells the member AssignmentAdopted once its attempts in flight are
    within the share of the new assignment.
    """

    assignment: Assignment
    member: ActorRef


@dataclass(slots=True, frozen=True)
class AssignmentAdopted:
    """The attempts in flight are within the share of this assignment."""

    version: int


@dataclass(slots=True, frozen=True)
class AssignmentGranted:
    """All others adopted the assignment or lapsed, so larger shares may be used."""

    assignment: Assignment


@dataclass(slots=True, frozen=True)
class KeeperStarted:
    """Names the actor to tell of configuration versions that peers show."""

    keeper: ActorRef


@dataclass(slots=True, frozen=True)
class StartLeaving:
    """This daemon stops soon; it gives up the role of decider."""


@dataclass(slots=True, frozen=True)
class Depart:
    """Nothing is in flight any more; ``reply`` is set once the shares are free."""

    reply: Future[None]


@dataclass(slots=True, frozen=True)
class ReadMembership:
    """Asks for a copy of the member's state."""

    reply: Future[MemberState]
