"""Configuration changes and their stored records.

Changes are tagged structs, because the encoding of a union needs the name of the
variant.
"""

from dataclasses import dataclass, field

from msgspec import Struct

from geraniumwell.model.config import (
    Configuration,
    Organisation,
    PlannedStop,
    RequestClass,
    Service,
)
from geraniumwell.model.guarantee import Guarantee
from geraniumwell.model.worker import Worker


class SetOrganisation(Struct, frozen=True, tag=True):
    """Adds an organisation or replaces it."""

    organisation: Organisation


class SetClass(Struct, frozen=True, tag=True):
    """Adds a request class or replaces it."""

    request_class: RequestClass


class SetService(Struct, frozen=True, tag=True):
    """Adds a service with all its endpoints or replaces it."""

    service: Service


class SetWorker(Struct, frozen=True, tag=True):
    """Adds a worker or replaces it."""

    worker: Worker


class SetGuarantee(Struct, frozen=True, tag=True):
    """Adds a guarantee or replaces it."""

    guarantee: Guarantee


class RemoveOrganisation(Struct, frozen=True, tag=True):
    """Removes an organisation."""

    name: str


class RemoveClass(Struct, frozen=True, tag=True):
    """Removes a request class."""

    name: str


class RemoveService(Struct, frozen=True, tag=True):
    """Removes a service."""

    name: str


class RemoveWorker(Struct, frozen=True, tag=True):
    """Removes a worker."""

    name: str


class RemoveGuarantee(Struct, frozen=True, tag=True):
    """Removes a guarantee."""

    name: str


class PlanStop(Struct, frozen=True, tag=True):
    """Plans the stop of a target or replaces its plan."""

    stop: PlannedStop


class RemoveStop(Struct, frozen=True, tag=True):
    """Removes the planned stop of a target."""

    name: str


class Drain(Struct, frozen=True, tag=True):
    """Stops sending new work to a VM, worker or endpoint."""

    name: str


class Resume(Struct, frozen=True, tag=True):
    """Ends the drain of a VM, worker or endpoint."""

    name: str


Change = (
    SetOrganisation
    | SetClass
    | SetService
    | SetWorker
    | SetGuarantee
    | RemoveOrganisation
    | RemoveClass
    | RemoveService
    | RemoveWorker
    | RemoveGuarantee
    | PlanStop
    | RemoveStop
    | Drain
    | Resume
)


@dataclass(slots=True, frozen=True)
class ChangeRecord:
    """One accepted change; ``at`` is Unix seconds.

    ``replaced`` is the change that would restore the previous state, or None if there
    was nothing before.
    """

    version: int
    change: Change
    author: str
    at: float
    reason: str
    command_id: str
    replaced: Change | None = None


@dataclass(slots=True, frozen=True)
class Head:
    """The newest configuration version in the platform's table."""

    version: int


@dataclass(slots=True, frozen=True)
class RecentCommands:
    """Versions of the last changes before a snapshot, by command id."""

    recent_commands: dict[str, int] = field(default_factory=dict)


@dataclass(slots=True, frozen=True)
class StoredConfiguration:
    """The configuration as decoded from one range read of the table.

    ``head_row`` is the row version of the head, or 0 if there is no head.
    """

    cfg: Configuration
    head_row: int
    recent_commands: dict[str, int]
    records: tuple[ChangeRecord, ...]
