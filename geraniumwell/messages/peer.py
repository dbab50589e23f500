"""Requests and replies between daemons, and the messages that carry them.

Requests and replies are tagged structs, because the encoding needs to name the variant.
"""

from dataclasses import dataclass

from msgspec import Struct
from pykka import ActorRef, Future

from geraniumwell.model.config import Configuration
from geraniumwell.model.membership import MemberRow
from geraniumwell.model.request import Answer, Outcome
from geraniumwell.model.serving import PeerLoad


class Heartbeat(Struct, frozen=True, tag=True):
    """Heartbeat of a member; answered by a Heartbeat of the receiver."""

    row: MemberRow
    data_centre: str


class ForwardRequest(Struct, frozen=True, tag=True):
    """Asks a peer to serve a request; the receiver must not forward it again."""

    request_id: str
    organisation: str
    service: str
    class_name: str
    idempotent: bool
    remaining_ms: int
    body: bytes
    content_type: str


class ForwardReply(Struct, frozen=True, tag=True):
    """The response to a forwarded request."""

    answer: Answer


class OutcomeCopy(Struct, frozen=True):
    """Copy of the outcome of a request, kept by another daemon."""

    organisation: str
    request_id: str
    outcome: Outcome
    status: int


class CopyOutcomes(Struct, frozen=True, tag=True):
    """Asks a peer to keep copies of outcomes; answered by Done."""

    outcomes: tuple[OutcomeCopy, ...]


class FindOutcome(Struct, frozen=True, tag=True):
    """Asks a peer for an outcome; answered by FoundOutcome."""

    organisation: str
    request_id: str


class FoundOutcome(Struct, frozen=True, tag=True):
    """The outcome that a peer knows, or None."""

    outcome: OutcomeCopy | None


class ReadLoad(Struct, frozen=True, tag=True):
    """Asks a peer how much work it can accept; answered by LoadRead."""


class LoadRead(Struct, frozen=True, tag=True):
    """The peer's load."""

    load: PeerLoad


class ReadConfiguration(Struct, frozen=True, tag=True):
    """Asks a peer for its configuration if that is newer than a version."""

    above_version: int


class ConfigurationRead(Struct, frozen=True, tag=True):
    """The peer's configuration, or None if it is not newer than the version."""

    cfg: Configuration | None


class RunStatement(Struct, frozen=True, tag=True):
    """Asks a peer to run a statement of the operators' language."""

    text: str
    author: str


class StatementResult(Struct, frozen=True, tag=True):
    """Result of a statement: a table as JSON text, or an error code and message."""

    json_text: str = ""
    error_code: str = ""
    error_message: str = ""


class Done(Struct, frozen=True, tag=True):
    """The request succeeded; there is nothing to return."""


PeerRequest = (
    Heartbeat
    | ForwardRequest
    | CopyOutcomes
    | FindOutcome
    | ReadConfiguration
    | ReadLoad
    | RunStatement
)
PeerReply = (
    Heartbeat
    | ForwardReply
    | FoundOutcome
    | LoadRead
    | ConfigurationRead
    | StatementResult
    | Done
)


@dataclass(slots=True, frozen=True)
class CallPeer:
    """Asks a peer link to call its peer and send the result to ``receiver``.

    ``seconds`` is the time limit of the call.
    """

    tag: str
    body: PeerRequest
    seconds: float
    receiver: ActorRef


@dataclass(slots=True, frozen=True)
class PeerAnswered:
    """The peer answered."""

    tag: str
    vm: str
    body: PeerReply


@dataclass(slots=True, frozen=True)
class PeerCallFailed:
    """The peer gave no response; if ``is_sent``, it may have run the request."""

    tag: str
    vm: str
    is_sent: bool
    reason: str


@dataclass(slots=True, frozen=True)
class PeerRequestReceived:
    """A request from a peer; the receiver sets ``reply`` exactly once."""

    body: PeerRequest
    reply: Future[PeerReply]


@dataclass(slots=True, frozen=True)
class PeersChanged:
    """Links to the other daemons by VM; sent once at the start."""

    links: dict[str, ActorRef]
    data_centres: dict[str, str]
