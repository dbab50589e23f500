"""State of request serving, its effects and the results of attempts."""

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
class SendAnswer:
    """Send the response to a request; ``req`` is the object that was submitted."""

    answer: Answer
    req: Request


ServingEffect = SendAttempt | ForwardAttempt | SendAnswer


@dataclass(slots=True, frozen=True)
class Answered:
    """The endpoint sent a complete response to the attempt.

    ``not_run`` and ``leaving`` are whether it reports that it did not run the request
    and that it is about to stop.
    """

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
    """The attempt may have run, but got no complete response."""

    reason: str


@dataclass(slots=True, frozen=True)
class ForwardAnswered:
    """The peer sent the response to the request."""

    answer: Answer


@dataclass(slots=True, frozen=True)
class ForwardNotSent:
    """The request did not reach the peer, so nothing ran."""

    reason: str


@dataclass(slots=True, frozen=True)
class ForwardLost:
    """The peer may have run the request, but sent no response."""

    reason: str


AttemptResult = (
    Answered | NotSent | Lost | ForwardAnswered | ForwardNotSent | ForwardLost
)


@dataclass(slots=True, frozen=True)
class ServiceLoad:
    """Slots of one daemon that forwarded requests could use.

    ``free_long_slots`` is the part of ``free_slots`` that long work may use.
    """

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
    """A request that is not answered yet.

    ``may_have_run`` is whether an ended attempt may have run; ``open_attempts`` is the
    number of attempts in flight. ``failed_targets`` holds the endpoints and peers that
    failed this request.
    """

    req: Request
    arrived_at: float
    start_by: float
    attempts: int = 0
    open_attempts: int = 0
    may_have_run: bool = False
    is_answered: bool = False
    is_queued: bool = False
    failed_targets: set[str] = field(default_factory=set)


@dataclass(slots=True, eq=False)
class InFlightAttempt:
    """An attempt in flight on an endpoint or, if forwarded, on a peer."""

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
    """State of an endpoint as seen by this daemon.

    ``share`` is the number of slots that this daemon may use. ``held_until`` has one
    entry for each lost attempt that the endpoint may still be running.
    ``slow_start_at`` is when the last slow start began.
    """

    endpoint: Endpoint
    service: str
    share: int = 0
    attempts: dict[str, InFlightAttempt] = field(default_factory=dict)
    held_until: list[float] = field(default_factory=list)
    failure_ratio: float = 0.0
    last_answer_at: float = float("-inf")
    is_excluded: bool = False
    probe_at: float = 0.0
    probe_backoff: float = 0.0
    slow_start_at: float = float("-inf")
    leaving_since: float | None = None
    has_reported_leaving: bool = False


@dataclass(slots=True)
class ServiceTime:
    """Estimated service time of a class, in seconds.

    ``typical`` is the median of the ``recent`` samples.
    """

    mean: float
    typical: float
    recent: deque[float]
    sample_count: int = 0


@dataclass(slots=True)
class ShortDemand:
    """Average number of slots that short work demanded, as of the time ``at``."""

    value: float = 0.0
    at: float = 0.0


@dataclass(slots=True, eq=False)
class ServiceState:
    """Queues, endpoints and service times of one service.

    ``queues`` and ``in_use`` (slots) are keyed by organisation and class,
    ``service_times`` by class.
    """

    name: str
    endpoints: dict[str, EndpointState] = field(default_factory=dict)
    queues: dict[tuple[str, str], deque[PendingRequest]] = field(default_factory=dict)
    service_times: dict[str, ServiceTime] = field(default_factory=dict)
    in_use: dict[tuple[str, str], int] = field(default_factory=dict)
    short_demand: ShortDemand = field(default_factory=ShortDemand)


@dataclass(slots=True, eq=False)
class ServingState:
    """State of all serving decisions of one daemon.

    No endpoint gets an attempt until `set_shares` and `set_lease` are called.
    ``attempts`` holds the attempts in flight by id, and ``expiries`` is a heap of the
    times at which requests expire. ``forwarded_counts`` counts the requests that were
    forwarded since the last load reports, by peer and service.
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
    attempts: dict[str, InFlightAttempt] = field(default_factory=dict)
    open_requests: dict[tuple[str, str], PendingRequest] = field(default_factory=dict)
    expiries: list[tuple[float, int, PendingRequest]] = field(default_factory=list)
    listed_leaving: frozenset[str] = frozenset()
    peers: dict[str, PeerLoad] = field(default_factory=dict)
    forwarded_counts: dict[tuple[str, str], int] = field(default_factory=dict)
    retry_tokens: float = 1.0
    sequence: int = 0
