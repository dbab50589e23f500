"""Decides which queue a call uses, and whether its caller may use it."""

from dataclasses import dataclass
from enum import Enum

from geraniumwell.model.batch.catalog import Catalog, Queue


class AccessCode(Enum):
    """Reason why a call is refused before any job is read or written."""

    NO_CATALOG = "no_catalog"
    NO_QUEUE = "no_queue"
    KEY_UNKNOWN = "key_unknown"


@dataclass(slots=True, frozen=True)
class Granted:
    """The caller may use the queue; ``rest`` is the path after its prefix."""

    queue: Queue
    organisation: str
    rest: str


@dataclass(slots=True, frozen=True)
class Denied:
    """The caller may not use a queue at this path."""

    code: AccessCode


Access = Granted | Denied


def decide_access(catalog: Catalog | None, host: str, path: str, key: str) -> Access:
    """Return the queue of a call, or the reason why it may not be used."""
    if catalog is None:
        return Denied(AccessCode.NO_CATALOG)
    queue = find_queue(catalog, host, path)
    if queue is None:
        return Denied(AccessCode.NO_QUEUE)
    organisation = catalog.organisation_by_key.get(key, "")
    if not organisation and not queue.is_public:
        return Denied(AccessCode.KEY_UNKNOWN)
    return Granted(queue, organisation, path[len(queue.prefix) :])


def find_queue(catalog: Catalog, host: str, path: str) -> Queue | None:
    """Return the queue with the longest matching prefix."""
    name = host.partition(":")[0].lower()
    best: Queue | None = None
    for queue in catalog.queues:
        if queue.host.lower() != name or not path.startswith(queue.prefix):
            continue
        if best is None or len(queue.prefix) > len(best.prefix):
            best = queue
    return best
