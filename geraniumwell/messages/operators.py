"""Messages between the operators' interface and the configuration manager."""

from dataclasses import dataclass

from pykka import ActorRef, Future

from geraniumwell.model.change import Change, ChangeRecord
from geraniumwell.model.config import Configuration


@dataclass(slots=True, frozen=True)
class ChangeApplied:
    """The change is recorded as ``version`` and in force on this daemon."""

    version: int


@dataclass(slots=True, frozen=True)
class ChangeRefused:
    """The change is not recorded; ``code`` and ``reason`` say why."""

    code: str
    reason: str


@dataclass(slots=True, frozen=True)
class ChangeConflict:
    """The change is not recorded, because other changes were recorded first."""

    base_version: int
    version: int
    records: tuple[ChangeRecord, ...]


@dataclass(slots=True, frozen=True)
class ChangeOutcomeUnknown:
    """The platform gave no response, so the change may or may not be recorded."""

    command_id: str


ChangeResult = ChangeApplied | ChangeRefused | ChangeConflict | ChangeOutcomeUnknown


@dataclass(slots=True, frozen=True)
class SubmitChange:
    """Asks to record a change; repeating it with the same command id has no effect."""

    change: Change
    author: str
    reason: str
    command_id: str
    reply: Future[ChangeResult]


@dataclass(slots=True, frozen=True)
class ManagerState:
    """State of the configuration manager."""

    cfg: Configuration
    is_platform_down: bool
    records: tuple[ChangeRecord, ...]
    links: dict[str, ActorRef]
    data_centres: dict[str, str]


@dataclass(slots=True, frozen=True)
class ReadState:
    """Asks for the configuration in force and the links to the peers."""

    reply: Future[ManagerState]


@dataclass(slots=True, frozen=True)
class PeerVersionReported:
    """A peer reported the version of its configuration."""

    vm: str
    version: int
