"""Configuration of the batch service: queues and organisations."""

from dataclasses import dataclass, field


@dataclass(slots=True, frozen=True)
class Queue:
    """A queue of jobs, chosen by host and path prefix."""

    name: str
    host: str
    prefix: str
    service: str
    priority: int
    max_attempts: int
    target_seconds: float
    stretch: float
    is_public: bool = False


@dataclass(slots=True, frozen=True)
class Organisation:
    """An organisation with its keys and its guaranteed accelerators."""

    name: str
    keys: frozenset[str]
    guaranteed_accelerators: int = 0


@dataclass(slots=True, frozen=True)
class Catalog:
    """One version of the configuration."""

    version: int
    queues: tuple[Queue, ...]
    organisations: dict[str, Organisation]
    body_limit_bytes: int
    organisation_by_key: dict[str, str] = field(default_factory=dict)
    queue_by_name: dict[str, Queue] = field(default_factory=dict)


def make_catalog(
    version: int,
    queues: tuple[Queue, ...],
    organisations: tuple[Organisation, ...],
    body_limit_bytes: int,
) -> Catalog:
    """Return a catalog with its look-up tables filled in."""
    return Catalog(
        version,
        queues,
        {org.name: org for org in organisations},
        body_limit_bytes,
        {key: org.name for org in organisations for key in org.keys},
        {queue.name: queue for queue in queues},
    )
