"""Messages of the serving path between actors."""

from dataclasses import dataclass

from pykka import Future

from geraniumwell.clients.endpoint import EndpointAnswer
from geraniumwell.model.config import Configuration
from geraniumwell.model.request import Answer, Readiness, Request


@dataclass(slots=True, frozen=True)
class SubmitRequest:
    """Asks the dispatcher to serve a request; ``reply`` gets its one answer."""

    req: Request
    reply: Future[Answer]


@dataclass(slots=True, frozen=True)
class IssueTickets:
    """Asks for execution tickets; ``reply`` gets none where too many are held."""

    organisation: str
    count: int
    reply: Future[tuple[str, ...]]


@dataclass(slots=True, frozen=True)
class AskOutcome:
    """Asks what became of a ticket."""

    organisation: str
    request_id: str
    reply: Future[Answer]


@dataclass(slots=True, frozen=True)
class ReadReadiness:
    """Asks whether this daemon can serve requests."""

    reply: Future[Readiness]


@dataclass(slots=True, frozen=True)
class NoticeStop:
    """The daemon will stop; it reports not ready and still serves."""


@dataclass(slots=True, frozen=True)
class StopServing:
    """Refuse new requests; ``reply`` is set once all accepted ones have ended."""

    reply: Future[None]


@dataclass(slots=True, frozen=True)
class LeavingChanged:
    """The endpoints that the platform, a planned stop or a drain reports."""

    names: frozenset[str]


@dataclass(slots=True, frozen=True)
class RunAttempt:
    """Asks an endpoint connection to run one attempt that ends by ``deadline``."""

    attempt_id: str
    req: Request
    deadline: float


@dataclass(slots=True, frozen=True)
class AttemptAnswered:
    """An attempt got its own whole answer."""

    attempt_id: str
    answer: EndpointAnswer


@dataclass(slots=True, frozen=True)
class AttemptNotSent:
    """An attempt did not reach its endpoint, so nothing ran."""

    attempt_id: str
    reason: str


@dataclass(slots=True, frozen=True)
class AttemptLost:
    """An attempt may have run, but gave no whole answer of its own."""

    attempt_id: str
    reason: str


@dataclass(slots=True, frozen=True)
class ConfigurationChanged:
    """A newer configuration is in force."""

    cfg: Configuration


@dataclass(slots=True, frozen=True)
class Tick:
    """A timer is due; ``name`` tells which."""

    name: str
