"""Queues and organisations that are configured for batch jobs."""

from dataclasses import dataclass, field


@dataclass(slots=True, frozen=True)
class Queue:
    """A queue of jobs, selected by host and path prefix.

    Parameters
    ----------
    service : str
        Service whose workers run the jobs.
    priority : int
        Lower numbers are scheduled first; 0 is urgent.
    max_attempts : int
        Number of failed runs after which a job fails.
    target_seconds, stretch : float
        The objective of a job is the estimated length of its longest chain of steps
        times ``stretch``, plus ``target_seconds``.
    is_public : bool
        Whether callers without a known key may use the queue.
    """

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
    """An organisation with its API keys and its guaranteed accelerators."""

    name: str
    keys: frozenset[str]
    guaranteed_accelerators: int = 0


@dataclass(slots=True, frozen=True)
class Catalog:
    """One version of the configuration, with lookup tables."""

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
    """Return a catalog whose lookup tables are filled in."""
    return Catalog(
        version,
        queues,
        {org.name: org for org in organisations},
        body_limit_bytes,
        {key: org.name for org in organisations for key in org.keys},
        {queue.name: queue for queue in queues},
    )


def is_newer(catalog: Catalog, current: Catalog | None) -> bool:
    """Return whether a catalog replaces the current one; an equal version does not."""
    return current is None or catalog.version > current.version
