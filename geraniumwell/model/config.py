"""Configuration that operators set, at one version."""

from dataclasses import dataclass, field

from geraniumwell.model.guarantee import Guarantee
from geraniumwell.model.worker import Worker


@dataclass(slots=True, frozen=True)
class Organisation:
    """A customer; ``share`` is a relative weight.

    ``quota_accelerators`` limits the accelerators that its gang jobs use at the same
    time, without guarantee claims; None is no limit.
    """

    name: str
    share: float = 1.0
    quota_accelerators: int | None = None


@dataclass(slots=True, frozen=True)
class RequestClass:
    """A class of requests; a lower ``rank`` is more urgent.

    A request that does not start within ``window_ms`` is refused. ``expected_ms`` is
    the declared service time.
    """

    name: str
    rank: int
    window_ms: int
    expected_ms: int
    idempotent: bool = True


@dataclass(slots=True, frozen=True)
class Endpoint:
    """A server of a service at ``ip:port`` that runs ``slots`` attempts at once."""

    name: str
    data_centre: str
    address: str
    slots: int
    connections: int


@dataclass(slots=True, frozen=True)
class Service:
    """A service and its endpoints."""

    name: str
    endpoints: tuple[Endpoint, ...] = ()


@dataclass(slots=True, frozen=True)
class PlannedStop:
    """A period, in Unix seconds, in which a VM, worker or endpoint is stopped."""

    target: str
    starts_at: float
    ends_at: float


@dataclass(slots=True, frozen=True)
class Configuration:
    """The whole configuration at one version.

    ``drained`` holds the names of VMs, workers and endpoints that get no new work.
    """

    version: int = 0
    organisations: dict[str, Organisation] = field(default_factory=dict)
    classes: dict[str, RequestClass] = field(default_factory=dict)
    services: dict[str, Service] = field(default_factory=dict)
    workers: dict[str, Worker] = field(default_factory=dict)
    guarantees: dict[str, Guarantee] = field(default_factory=dict)
    stops: dict[str, PlannedStop] = field(default_factory=dict)
    drained: frozenset[str] = frozenset()
