"""Connections of clients, and the budget that they share.

All sizes are bytes of this process's memory, including the objects that hold the
payload. Times are seconds of one monotonic clock.
"""

from dataclasses import dataclass, field
from enum import Enum
from typing import Final

# Sockets, buffers, locks and parser of a connection; measured with 1,000 of them.
CONNECTION_BYTES: Final = 8_192
# Largest part of a request that is read at once.
READ_BYTES: Final = 8_192
# Memory for a byte of a head: text, bytes, entries of a dict, environment of the call.
HEAD_COST: Final = 4
# Memory for a byte of a body; BytesIO allocates an eighth more than it holds.
BODY_COST: Final = 1.25


class Phase(Enum):
    """What a connection is doing."""

    IDLE = "idle"
    # Part of a request has arrived.
    RECEIVING = "receiving"
    # A complete request is queued or being answered.
    ANSWERING = "answering"
    # A response waits for its client to read it.
    SENDING = "sending"
    # The last response was sent; what still arrives is discarded.
    CLOSING = "closing"


class RefusalReason(Enum):
    """Why a request was refused or its connection closed."""

    MEMORY = "memory"
    CONNECTIONS = "connections"
    REQUEST_TIME = "request_time"
    UNREAD_RESPONSE = "unread_response"
    HEAD_SIZE = "head_size"
    BODY_SIZE = "body_size"
    ACCESS = "access"
    MALFORMED = "malformed"


@dataclass(slots=True, frozen=True)
class IntakeLimits:
    """Limits of the connections of one server.

    Parameters
    ----------
    memory_bytes : int
        Budget of all connections and their unfinished requests.
    connections : int
        Largest number of open connections.
    request_seconds : float
        Time from the first byte of a request to its last.
    body_bytes : int
        Largest body of a request.
    idle_seconds : float
        Time after which a connection without a request is closed.
    response_seconds : float
        Time for which a client may read no byte of a response.
    head_bytes : int
        Largest request line and headers, and largest trailer.
    """

    memory_bytes: int
    connections: int
    request_seconds: float
    body_bytes: int
    idle_seconds: float = 120.0
    response_seconds: float = 30.0
    head_bytes: int = 65_536


@dataclass(slots=True)
class Connection:
    """Facts about one open connection.

    Parameters
    ----------
    held : int
        Reserved bytes.
    began_at : float
        Time of the first byte of the request, or of the last change of phase.
    progress_at : float
        Time of the last progress that counts; single bytes don't.
    unmarked : int
        Bytes received since ``progress_at``.
    """

    id: int
    began_at: float
    progress_at: float
    phase: Phase = Phase.IDLE
    held: int = CONNECTION_BYTES
    unmarked: int = 0


@dataclass(slots=True)
class IntakeBudget:
    """Budget of one server and the connections that share it.

    ``held`` is the sum over all connections, ``held_large`` the sum over those that
    hold more than a small request.
    """

    limits: IntakeLimits
    connections: dict[int, Connection] = field(default_factory=dict)
    held: int = 0
    held_large: int = 0


@dataclass(slots=True, frozen=True)
class Granted:
    """The bytes are reserved once the evicted connections are closed."""

    evicted: tuple[int, ...] = ()


@dataclass(slots=True, frozen=True)
class Exhausted:
    """Nothing is reserved, because no other request may be evicted."""


Reservation = Granted | Exhausted


@dataclass(slots=True, frozen=True)
class Expired:
    """A connection that is over one of its times; idle ones have no reason."""

    id: int
    reason: RefusalReason | None


@dataclass(slots=True, frozen=True)
class RequestHead:
    """Request line and headers, whose names are in upper case with underscores."""

    method: str
    path: str
    headers: dict[str, str]


@dataclass(slots=True, frozen=True)
class BodyAccepted:
    """The body may be read, up to a number of bytes."""

    body_bytes: int


@dataclass(slots=True, frozen=True)
class BodyRefused:
    """The request is refused with an HTTP status before its body is read.

    The headers replace those that the server sends with its own refusals. The body is
    JSON.
    """

    status: int
    reason: RefusalReason
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b"{}"


HeadVerdict = BodyAccepted | BodyRefused


@dataclass(slots=True)
class Pressure:
    """Whether a server refuses requests at present, and how many it refused."""

    last_refused_at: float = 0.0
    refusals: dict[RefusalReason, int] = field(default_factory=dict)


@dataclass(slots=True, frozen=True)
class PressureBegan:
    """The first refusal after a calm time."""

    reason: RefusalReason


@dataclass(slots=True, frozen=True)
class PressureEnded:
    """No request was refused for a while; ``refusals`` counts those before."""

    refusals: dict[str, int]


PressureChange = PressureBegan | PressureEnded
