"""A configuration that an operator wants to send, and what a check of it finds."""

from dataclasses import dataclass
from enum import StrEnum
from typing import ClassVar

from geraniumwell.model.batch.catalog import Catalog, Organisation


class EntryKind(StrEnum):
    """Kind of a part of a configuration."""

    CONFIGURATION = "configuration"
    QUEUE = "queue"
    SERVICE = "service"
    ORGANISATION = "organisation"


@dataclass(slots=True, frozen=True)
class Location:
    """Position of a value in a configuration, independent of its encoding.

    Parameters
    ----------
    index : int or None
        Position of the entry among those of its kind; None means all of them.
    attribute : str
        Attribute of the entry's class; empty for the entry as a whole.
    """

    kind: EntryKind
    index: int | None = None
    attribute: str = ""


@dataclass(slots=True, frozen=True)
class ProposedConfiguration:
    """A decoded configuration with the entries that a catalog merges or leaves out.

    Parameters
    ----------
    catalog : Catalog
        What the daemons would use.
    timeouts : tuple of float
        Time limit of each queue of the catalog in seconds; 0 means none.
    services : tuple of str or None
        Names of the services, also repeated ones; None if the configuration has no
        list of services.
    organisations : tuple of Organisation
        All organisations, also those with the same name.
    """

    catalog: Catalog
    timeouts: tuple[float, ...]
    services: tuple[str, ...] | None
    organisations: tuple[Organisation, ...]


@dataclass(slots=True, frozen=True)
class UnreadableValue:
    """A value that the daemons can't decode; they reject the whole configuration.

    Parameters
    ----------
    path : str
        Path of the key in the encoded configuration.
    reason : str
        What was expected. Values are not quoted, because they may be keys.
    """

    code: ClassVar[str] = "value_unreadable"
    path: str
    reason: str


@dataclass(slots=True, frozen=True)
class UnreadableConfiguration:
    """A configuration that does not decode, with all of its unreadable values."""

    values: tuple[UnreadableValue, ...]


@dataclass(slots=True, frozen=True)
class EmptyName:
    """An entry has no name."""

    code: ClassVar[str] = "name_empty"
    location: Location


@dataclass(slots=True, frozen=True)
class DuplicateName:
    """An entry has the name of an earlier one."""

    code: ClassVar[str] = "name_duplicate"
    location: Location
    name: str


@dataclass(slots=True, frozen=True)
class EmptyKey:
    """An organisation has the empty key, which calls without a key match."""

    code: ClassVar[str] = "key_empty"
    location: Location
    organisation: str


@dataclass(slots=True, frozen=True)
class SharedKey:
    """Two organisations have the same key."""

    code: ClassVar[str] = "key_shared"
    location: Location
    short_key: str
    organisation: str
    earlier: str


@dataclass(slots=True, frozen=True)
class MissingService:
    """The service of a queue is not configured."""

    code: ClassVar[str] = "service_missing"
    location: Location
    queue: str
    service: str
    similar: str = ""


@dataclass(slots=True, frozen=True)
class UnmatchableQueue:
    """The host or the prefix of a queue is not one of a regular call."""

    code: ClassVar[str] = "queue_unmatchable"
    location: Location
    queue: str
    host: str
    prefix: str


@dataclass(slots=True, frozen=True)
class CoveredQueue:
    """Another queue gets all calls of a queue."""

    code: ClassVar[str] = "queue_covered"
    location: Location
    queue: str
    other: str


@dataclass(slots=True, frozen=True)
class TargetBeyondTimeout:
    """The target of a queue is longer than its time limit."""

    code: ClassVar[str] = "target_beyond_timeout"
    location: Location
    queue: str
    target_seconds: float
    timeout_seconds: float


@dataclass(slots=True, frozen=True)
class TooFewAttempts:
    """A queue allows less than one attempt."""

    code: ClassVar[str] = "attempts_too_few"
    location: Location
    queue: str
    attempts: int


@dataclass(slots=True, frozen=True)
class ValueTooLow:
    """A number is below its range; limits of the configuration have no queue.

    Parameters
    ----------
    least : float
        Lower end of the range.
    is_open : bool
        Whether the range leaves out its lower end.
    """

    code: ClassVar[str] = "value_too_low"
    location: Location
    queue: str
    value: float
    least: float
    is_open: bool = False


@dataclass(slots=True, frozen=True)
class GuaranteesBeyondFleet:
    """The guarantees together are more than the accelerators of the fleet."""

    code: ClassVar[str] = "guarantees_beyond_fleet"
    location: Location
    guaranteed: int
    available: int


@dataclass(slots=True, frozen=True)
class OrganisationWithoutKeys:
    """No caller can belong to an organisation."""

    code: ClassVar[str] = "keys_missing"
    location: Location
    organisation: str


@dataclass(slots=True, frozen=True)
class UnusedService:
    """No queue uses a service."""

    code: ClassVar[str] = "service_unused"
    location: Location
    service: str


@dataclass(slots=True, frozen=True)
class VersionNotNewer:
    """The daemons would ignore the configuration, because its version is not newer."""

    code: ClassVar[str] = "version_not_newer"
    location: Location
    version: int
    current: int


ErrorFinding = (
    UnreadableValue
    | EmptyName
    | DuplicateName
    | EmptyKey
    | SharedKey
    | MissingService
    | UnmatchableQueue
    | CoveredQueue
    | TargetBeyondTimeout
    | TooFewAttempts
    | ValueTooLow
    | GuaranteesBeyondFleet
)
WarningFinding = OrganisationWithoutKeys | UnusedService | VersionNotNewer
Finding = ErrorFinding | WarningFinding


@dataclass(slots=True, frozen=True)
class EntryAdded:
    """An entry is only in the proposed configuration."""

    code: ClassVar[str] = "added"
    kind: EntryKind
    name: str


@dataclass(slots=True, frozen=True)
class EntryRemoved:
    """An entry is only in the current configuration."""

    code: ClassVar[str] = "removed"
    kind: EntryKind
    name: str


@dataclass(slots=True, frozen=True)
class ValueChanged:
    """An attribute of an entry has another value; limits have no name."""

    code: ClassVar[str] = "changed"
    kind: EntryKind
    name: str
    attribute: str
    before: str | float
    after: str | float


@dataclass(slots=True, frozen=True)
class KeyAdded:
    """An organisation gets a key."""

    code: ClassVar[str] = "key_added"
    organisation: str
    short_key: str


@dataclass(slots=True, frozen=True)
class KeyRemoved:
    """An organisation loses a key."""

    code: ClassVar[str] = "key_removed"
    organisation: str
    short_key: str


Difference = EntryAdded | EntryRemoved | ValueChanged | KeyAdded | KeyRemoved
