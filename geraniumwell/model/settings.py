"""Settings of a daemon, as read from its JSON file."""

from dataclasses import dataclass, field
from typing import Literal

from geraniumwell.const import (
    DEFAULT_BODY_LIMIT_BYTES,
    DEFAULT_CONNECTION_LIMIT,
    DEFAULT_DESCRIPTORS,
    DEFAULT_MEMORY_MB,
    DEFAULT_REQUEST_SECONDS,
)


@dataclass(slots=True, frozen=True)
class Listen:
    """Addresses ``ip:port`` on which a daemon listens, one for each kind of client."""

    callers: str
    operators: str
    peers: str


@dataclass(slots=True, frozen=True)
class PeerAddress:
    """Another entry VM of the system."""

    vm: str
    data_centre: str
    address: str


@dataclass(slots=True, frozen=True)
class CallerToken:
    """Token that a caller of an organisation presents."""

    token: str
    organisation: str


@dataclass(slots=True, frozen=True)
class OperatorToken:
    """Token that an operator presents; ``author`` is recorded with each command."""

    token: str
    author: str


@dataclass(slots=True, frozen=True)
class Tls:
    """Paths of the PEM files for TLS connections with peers and operators."""

    certificate: str
    private_key: str
    authority: str


@dataclass(slots=True, frozen=True)
class Limits:
    """Limits on request bodies, connections and unfinished requests of a daemon.

    Parameters
    ----------
    body_bytes : int
        Size from which bodies are refused.
    connections : int
        Largest number of callers' connections.
    memory_mb, descriptors : int
        Memory of the VM and descriptors of the process, from which the budget of
        unfinished requests is derived.
    request_seconds : float
        Time in which a request has to arrive.
    """

    body_bytes: int = DEFAULT_BODY_LIMIT_BYTES
    connections: int = DEFAULT_CONNECTION_LIMIT
    memory_mb: int = DEFAULT_MEMORY_MB
    descriptors: int = DEFAULT_DESCRIPTORS
    request_seconds: float = DEFAULT_REQUEST_SECONDS


@dataclass(slots=True, frozen=True)
class Log:
    """Format and level of the log."""

    form: Literal["text", "json"] = "text"
    level: Literal["DEBUG", "INFO", "WARNING", "ERROR"] = "INFO"


@dataclass(slots=True, frozen=True)
class Settings:
    """All settings of a daemon."""

    vm: str
    data_centre: str
    region: str
    listen: Listen
    platform: str
    peers: tuple[PeerAddress, ...] = ()
    caller_tokens: tuple[CallerToken, ...] = ()
    operator_tokens: tuple[OperatorToken, ...] = ()
    tls: Tls | None = None
    limits: Limits = field(default_factory=Limits)
    log: Log = field(default_factory=Log)
