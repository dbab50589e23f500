"""Messages between the actors that serve requests."""

from dataclasses import dataclass

from pykka import Future

from geraniumwell.clients.endpoint import EndpointAnswer
from geraniumwell.model.config import Configuration
from geraniumwell.model.request import Answer, Readiness, Request


@dataclass(slots=True, frozen=True)
class SubmitRequest:
    """Asks the dispatcher to serve a request; ``reply`` gets its only answer."""

    req: Request
    reply: Future[Answer]


@dataclass(slots=True, frozen=True)
class IssueTickets:
    """Asks for execution tickets; ``reply`` gets none if too many are held."""

    organisation: str
    count: int
    reply: Future[tuple[str, ...]]


@dataclass(slots=True, frozen=True)
class AskOutcome:
    """Asks for the outcome of the request of a ticket."""

    organisation: str
    request_id: str
    reply: Future[Answer]


@dataclass(slots=True, frozen=True)
class ReadReadiness:
    """Asks whether this daemon can serve requests."""

    reply: Future[Readiness]


@dataclass(slots=True, frozen=True)
class AnnounceStop:
    """The daemon stops soon; it must report not ready but continue to serve."""


@dataclass(slots=True, frozen=True)
class StopServing:
    """Refuse new requests; ``reply`` is set once all accepted requests ended."""

    reply: Future[None]


@dataclass(slots=True, frozen=True)
class LeavingEndpointsChanged:
    """Endpoints that are leaving: by the platform, a planned stop or a drain."""

    names: frozenset[str]


@dataclass(slots=True, frozen=True)
class RunAttempt:
    """Asks an endpoint connection to run one attempt that ends by ``deadline``."""

    attempt_id: str
    req: Request
    deadline: float


@dataclass(slots=True, frozen=True)
class AttemptAnswered:
    """An attempt got a complete response that belongs to it."""

    attempt_id: str
    answer: EndpointAnswer


@dataclass(slots=True, frozen=True)
class AttemptNotSent:
    """An attempt did not reach its endpoint, so nothing ran."""

    attempt_id: str
    reason: str


@dataclass(slots=True, frozen=True)
class AttemptLost:
    """An attempt may have run, but got no complete response that belongs to it."""

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
