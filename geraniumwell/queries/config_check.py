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
    ValueTooLow,
    VersionNotNewer,
)

# Enough to recognise a key in a list, too little to use it.
SHOWN_KEY_CHARACTERS = 4
# A search compares a name with those of all services, so with one for each queue the
# time would grow with the product of their numbers.
SIMILAR_NAME_SEARCHES = 5
# These end the path in a URL, so a path has them only if they are percent-encoded.
PATH_DELIMITERS = "?#"


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
        *_check_queue_services(proposed),
        *_check_limits(proposed.catalog),
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
        EntryKind.SERVICE: proposed.services or (),
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
        yield from _check_match(proposed.catalog, index, queue)
        yield from _check_numbers(index, queue, timeout)
        if timeout > 0 and queue.target_seconds > timeout:
            location = Location(EntryKind.QUEUE, index, "target_seconds")
            yield TargetBeyondTimeout(
                location, queue.name, queue.target_seconds, timeout
            )
        if queue.max_attempts < 1:
            location = Location(EntryKind.QUEUE, index, "max_attempts")
            yield TooFewAttempts(location, queue.name, queue.max_attempts)


def _check_numbers(index: int, queue: Queue, timeout: float) -> Iterator[Finding]:
    numbers = {"target_seconds": queue.target_seconds, "timeout_seconds": timeout}
    for attribute, value in numbers.items():
        if value < 0:
            location = Location(EntryKind.QUEUE, index, attribute)
            yield ValueTooLow(location, queue.name, value, 0)
    # The objective of a job would not depend on its length, or fall with it.
    if queue.stretch <= 0:
        location = Location(EntryKind.QUEUE, index, "stretch")
        yield ValueTooLow(location, queue.name, queue.stretch, 0, is_open=True)


def _check_limits(catalog: Catalog) -> Iterator[Finding]:
    if catalog.body_limit_bytes < 1:
        location = Location(EntryKind.CONFIGURATION, attribute="body_limit_bytes")
        yield ValueTooLow(location, "", catalog.body_limit_bytes, 1)


def _check_queue_services(proposed: ProposedConfiguration) -> Iterator[Finding]:
    if proposed.services is None:
        return
    names = set(proposed.services)
    searches = 0
    for index, queue in enumerate(proposed.catalog.queues):
        if queue.service in names:
            continue
        similar: list[str] = []
        if searches < SIMILAR_NAME_SEARCHES:
            similar = get_close_matches(queue.service, proposed.services, 1)
            searches += 1
        location = Location(EntryKind.QUEUE, index, "service")
        hint = similar[0] if similar else ""
        yield MissingService(location, queue.name, queue.service, hint)


def _check_match(catalog: Catalog, index: int, queue: Queue) -> Iterator[Finding]:
    """Check that the calls with the host and prefix of a queue get to it."""
    other = find_queue(catalog, queue.host, queue.prefix)
    # The port is cut off the host of a call, so a host with a port is not found. The
    # comparison with split() is false for white space and for the empty host.
    is_host = other is not None and queue.host.split() == [queue.host]
    # find_queue matches the prefix "" too, but what follows it then begins with a slash
    # and is not the id of a job, so such calls get 404 or 410.
    is_path = queue.prefix.startswith("/") and not any(
        character in queue.prefix for character in PATH_DELIMITERS
    )
    for attribute, is_valid in (("host", is_host), ("prefix", is_path)):
        if not is_valid:
            location = Location(EntryKind.QUEUE, index, attribute)
            yield UnmatchableQueue(location, queue.name, queue.host, queue.prefix)
    if is_host and is_path and other is not None and other is not queue:
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
    for index, name in enumerate(proposed.services or ()):
        if name not in used_names:
            yield UnusedService(Location(EntryKind.SERVICE, index), name)


def _check_version(catalog: Catalog, current: Catalog | None) -> Iterator[Finding]:
    if current is not None and not is_newer(catalog, current):
        location = Location(EntryKind.CONFIGURATION, attribute="version")
        yield VersionNotNewer(location, catalog.version, current.version)
