"""Check of a configuration before an operator sends it."""

from collections.abc import Iterable, Iterator
from difflib import get_close_matches

from geraniumwell.commands.batch.admission import find_queue
from geraniumwell.model.batch.catalog import Catalog, Queue, is_newer
from geraniumwell.model.batch.proposal import (
    CoveredQueue,
    DuplicateName,
    EmptyKey,
    EmptyName,
    EntryKind,
    ErrorFinding,
    Finding,
    GuaranteesBeyondFleet,
    Location,
    MissingService,
    OrganisationWithoutKeys,
    ProposedConfiguration,
    SharedKey,
    TargetBeyondTimeout,
    TooFewAttempts,
    UnmatchableQueue,
    UnusedService,
    VersionNotNewer,
)

# Enough to recognise a key in a list, too little to use it.
SHOWN_KEY_CHARACTERS = 4


def check_configuration(
    proposed: ProposedConfiguration,
    accelerators: int | None = None,
    current: Catalog | None = None,
) -> tuple[Finding, ...]:
    """Return the errors and warnings of a configuration, errors first.

    Parameters
    ----------
    accelerators : int or None
        Accelerators of the fleet; None if the guarantees are not compared with it.
    current : Catalog or None
        The configuration that this one is to replace.
    """
    found = [
        *_check_names(proposed),
        *_check_queues(proposed),
        *_check_organisations(proposed),
        *_check_guarantees(proposed, accelerators),
        *_check_services(proposed),
        *_check_version(proposed.catalog, current),
    ]
    return tuple(sorted(found, key=lambda finding: not is_error(finding)))


def is_error(finding: Finding) -> bool:
    """Return whether a finding is an error, not a warning."""
    return isinstance(finding, ErrorFinding)


def shorten_key(key: str) -> str:
    """Return the first characters of a key, at most a quarter of them."""
    return f"{key[: min(SHOWN_KEY_CHARACTERS, len(key) // 4)]}..."


def _check_names(proposed: ProposedConfiguration) -> Iterator[Finding]:
    names_by_kind: dict[EntryKind, Iterable[str]] = {
        EntryKind.QUEUE: (queue.name for queue in proposed.catalog.queues),
        EntryKind.SERVICE: proposed.services,
        EntryKind.ORGANISATION: (org.name for org in proposed.organisations),
    }
    for kind, names in names_by_kind.items():
        seen: set[str] = set()
        for index, name in enumerate(names):
            location = Location(kind, index, "name")
            if not name:
                yield EmptyName(location)
            elif name in seen:
                yield DuplicateName(location, name)
            seen.add(name)


def _check_queues(proposed: ProposedConfiguration) -> Iterator[Finding]:
    queues = zip(proposed.catalog.queues, proposed.timeouts, strict=True)
    for index, (queue, timeout) in enumerate(queues):
        if queue.service not in proposed.services:
            similar = get_close_matches(queue.service, proposed.services, 1)
            yield MissingService(
                Location(EntryKind.QUEUE, index, "service"),
                queue.name,
                queue.service,
                similar[0] if similar else "",
            )
        yield from _check_match(proposed.catalog, index, queue)
        if timeout and queue.target_seconds > timeout:
            location = Location(EntryKind.QUEUE, index, "target_seconds")
            yield TargetBeyondTimeout(
                location, queue.name, queue.target_seconds, timeout
            )
        if queue.max_attempts < 1:
            location = Location(EntryKind.QUEUE, index, "max_attempts")
            yield TooFewAttempts(location, queue.name, queue.max_attempts)


def _check_match(catalog: Catalog, index: int, queue: Queue) -> Iterator[Finding]:
    """Check that the calls with the host and prefix of a queue get to it."""
    # Every path begins with a slash.
    is_path = queue.prefix.startswith("/")
    match find_queue(catalog, queue.host, queue.prefix) if is_path else None:
        case None:
            # A host that calls can have never contains a port.
            location = Location(EntryKind.QUEUE, index, "host" if is_path else "prefix")
            yield UnmatchableQueue(location, queue.name, queue.host, queue.prefix)
        case other if other is not queue:
            location = Location(EntryKind.QUEUE, index, "prefix")
            yield CoveredQueue(location, queue.name, other.name)


def _check_organisations(proposed: ProposedConfiguration) -> Iterator[Finding]:
    owner_by_key: dict[str, int] = {}
    for index, org in enumerate(proposed.organisations):
        location = Location(EntryKind.ORGANISATION, index, "keys")
        if not org.keys:
            yield OrganisationWithoutKeys(location, org.name)
        if "" in org.keys:
            yield EmptyKey(location, org.name)
        for key in sorted(org.keys - {""}):
            owner = owner_by_key.setdefault(key, index)
            if owner != index:
                earlier = proposed.organisations[owner].name
                yield SharedKey(location, shorten_key(key), org.name, earlier)


def _check_guarantees(
    proposed: ProposedConfiguration, accelerators: int | None
) -> Iterator[Finding]:
    guaranteed = sum(org.guaranteed_accelerators for org in proposed.organisations)
    if accelerators is not None and guaranteed > accelerators:
        location = Location(EntryKind.ORGANISATION)
        yield GuaranteesBeyondFleet(location, guaranteed, accelerators)


def _check_services(proposed: ProposedConfiguration) -> Iterator[Finding]:
    used_names = {queue.service for queue in proposed.catalog.queues}
    for index, name in enumerate(proposed.services):
        if name not in used_names:
            yield UnusedService(Location(EntryKind.SERVICE, index), name)


def _check_version(catalog: Catalog, current: Catalog | None) -> Iterator[Finding]:
    if current is not None and not is_newer(catalog, current):
        location = Location(EntryKind.CONFIGURATION, attribute="version")
        yield VersionNotNewer(location, catalog.version, current.version)
