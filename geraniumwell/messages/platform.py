"""Messages between the platform link and the actors that use it."""

from dataclasses import dataclass

from pykka import ActorRef

from geraniumwell.clients.platform import Row, Transaction, VmEntry


@dataclass(slots=True, frozen=True)
class ReadRows:
    """Asks for all rows whose key has a prefix and follows ``after``."""

    tag: str
    receiver: ActorRef
    prefix: str
    after: str = ""


@dataclass(slots=True, frozen=True)
class Transact:
    """Asks for a transaction."""

    tag: str
    receiver: ActorRef
    transaction: Transaction


@dataclass(slots=True, frozen=True)
class ListVms:
    """Asks for the platform's list of VMs."""

    tag: str
    receiver: ActorRef


@dataclass(slots=True, frozen=True)
class RowsRead:
    """The requested rows."""

    tag: str
    rows: tuple[Row, ...]


@dataclass(slots=True, frozen=True)
class Transacted:
    """The transaction took effect."""

    tag: str


@dataclass(slots=True, frozen=True)
class TransactionRefused:
    """The condition on a row did not hold, so nothing was written."""

    tag: str
    key: str


@dataclass(slots=True, frozen=True)
class VmsListed:
    """The platform's list of VMs."""

    tag: str
    vms: tuple[VmEntry, ...]


@dataclass(slots=True, frozen=True)
class PlatformFailed:
    """The call failed; if it was a write, it may have taken effect."""

    tag: str
    reason: str
