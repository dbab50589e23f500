"""State of request serving, the effects it asks for and the results it is told."""

from collections import deque
from dataclasses import dataclass, field
from random import Random

from geraniumwell.model.config import Configuration, Endpoint
from geraniumwell.model.request import Answer, Request
from geraniumwell.model.serving_policy import ServingPolicy


@dataclass(slots=True, frozen=True)
class SendAttempt:
    """Send one attempt to an endpoint; it must end within ``seconds``."""

    attempt_id: str
    req: Request
    endpoint: Endpoint
    seconds: float


@dataclass(slots=True, frozen=True)
class ForwardAttempt:
    """Forward a request to the daemon on ``vm``; it must end within ``seconds``."""

    attempt_id: str
    req: Request
    vm: str
    seconds: float


@dataclass(slots=True, frozen=True)
class GiveAnswer:
    """Give the one answer of a request; ``req`` is the object that was submitted."""

    answer: Answer
    req: Request


ServingEffect = SendAttempt | ForwardAttempt | GiveAnswer


@dataclass(slots=True, frozen=True)
class Answered:
    """The endpoint gave a whole answer of this attempt."""

    status: int
    body: bytes
    content_type: str
    not_run: bool = False
    leaving: bool = False


@dataclass(slots=True, frozen=True)
class NotSent:
    """The attempt did not reach its endpoint, so nothing ran."""

    reason: str


@dataclass(slots=True, frozen=True)
class Lost:
    """The attempt may have run, but gave no whole answer of its own."""

    reason: str


@dataclass(slots=True, frozen=True)
class ForwardAnswered:
    """The peer gave the answer of the request."""

    answer: Answer


@dataclass(slots=True, frozen=True)
class ForwardNotSent:
    """The request did not reach the peer, so nothing ran."""

    reason: str


@dataclass(slots=True, frozen=True)
class ForwardLost:
    """The peer may have run the request, but gave no answer."""

    reason: str


AttemptResult = (
    Answered | NotSent | Lost | ForwardAnswered | ForwardNotSent | ForwardLost
)


@dataclass(slots=True, frozen=True)
class ServiceLoad:
    """Slots of one daemon that peers' requests could use, for any and long work."""

    free_slots: int
    free_long_slots: int


@dataclass(slots=True, frozen=True)
class PeerLoad:
    """Load of another daemon, by service name."""

    vm: str
    data_centre: str
    services: dict[str, ServiceLoad]


@dataclass(slots=True, eq=False)
class PendingRequest:
    """A request that has no answer yet.

    ``may_have_run`` tells that an attempt that has ended may have run;
    ``open_attempts`` counts those in flight. ``avoid`` names the endpoints and
    peers that failed this request.
    """

    req: Request
    arrived_at: float
    start_by: float
    attempts: int = 0
    open_attempts: int = 0
    may_have_run: bool = False
    is_answered: bool = False
    is_waiting: bool = False
    avoid: set[str] = field(default_factory=set)


@dataclass(slots=True, eq=False)
class InFlightAttempt:
    """An attempt in flight on an endpoint or, when forwarded, on a peer."""

    attempt_id: str
    pending: PendingRequest
    target: str
    class_name: str
    sent_at: float
    ends_by: float
    is_forward: bool = False
    is_probe: bool = False


@dataclass(slots=True, eq=False)
class EndpointState:
    """What this daemon knows of an endpoint.

    ``held_until`` has one entry for each slot of a lost attempt that the endpoint
    may still be running. ``ramp_from`` is when a slow start began.
    """

    endpoint: Endpoint
    service: str
    share: int = 0
    flights: dict[str, InFlightAttempt] = field(default_factory=dict)
    held_until: list[float] = field(default_factory=list)
    failure_ratio: float = 0.0
    last_answer_at: float = float("-inf")
    is_excluded: bool = False
    probe_at: float = 0.0
    probe_backoff: float = 0.0
    ramp_from: float = float("-inf")
    leaving_since: float | None = None
    is_leaving_by_itself: bool = False


@dataclass(slots=True)
class Learned:
    """Learned service time of a class, in seconds.

    ``typical`` is the median of the ``recent`` ones.
    """

    mean: float
    typical: float
    recent: deque[float]
    samples: int = 0


@dataclass(slots=True)
class ShortDemand:
    """Slots that short work wanted lately, at the time ``at``."""

    value: float = 0.0
    at: float = 0.0


@dataclass(slots=True, eq=False)
class ServiceState:
    """Queues, endpoints and learned times of one service.

    Queues and slots in use are keyed by organisation and class, learned times by
    class.
    """

    name: str
    endpoints: dict[str, EndpointState] = field(default_factory=dict)
    queues: dict[tuple[str, str], deque[PendingRequest]] = field(default_factory=dict)
    learned: dict[str, Learned] = field(default_factory=dict)
    in_use: dict[tuple[str, str], int] = field(default_factory=dict)
    demand: ShortDemand = field(default_factory=ShortDemand)


@dataclass(slots=True, eq=False)
class ServingState:
    """Everything that one daemon's serving decisions depend on.

    Until `set_shares` and `set_lease` are called, nothing is sent. Entries of
    ``due`` are times at which a request expires.
    """

    vm: str
    data_centre: str
    policy: ServingPolicy = field(default_factory=ServingPolicy)
    rng: Random = field(default_factory=Random)
    cfg: Configuration = field(default_factory=Configuration)
    lease_until: float = float("-inf")
    is_stopping: bool = False
    shares: dict[str, int] = field(default_factory=dict)
    services: dict[str, ServiceState] = field(default_factory=dict)
    flights: dict[str, InFlightAttempt] = field(default_factory=dict)
    open_requests: dict[tuple[str, str], PendingRequest] = field(default_factory=dict)
    due: list[tuple[float, int, PendingRequest]] = field(default_factory=list)
    leaving_listed: frozenset[str] = frozenset()
    peers: dict[str, PeerLoad] = field(default_factory=dict)
    peer_sent: dict[tuple[str, str], int] = field(default_factory=dict)
    retry_tokens: float = 1.0
    sequence: int = 0
