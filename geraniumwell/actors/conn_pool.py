"""Pool of connections to endpoints, one per slot in use."""

from collections.abc import Collection
from dataclasses import dataclass

from pykka import ActorRef

from geraniumwell.actors.endpoint_conn import EndpointConn
from geraniumwell.clients.endpoint import HttpEndpointClient
from geraniumwell.messages.serving import RunAttempt
from geraniumwell.model.config import Endpoint
from geraniumwell.model.serving import SendAttempt

# Servers often close idle connections after a minute, and a request sent at that moment
# would have an unknown outcome.
IDLE_LIMIT_SECONDS = 30.0


@dataclass(slots=True, frozen=True)
class IdleConn:
    """A connection that has run no attempt since the monotonic time ``since``."""

    conn: ActorRef
    since: float


class ConnPool:
    """Assigns each attempt its own connection; used by the dispatcher only."""

    __slots__ = ("_owner", "_idle", "_busy")

    def __init__(self, owner: ActorRef) -> None:
        self._owner = owner
        self._idle: dict[Endpoint, list[IdleConn]] = {}
        self._busy: dict[str, tuple[Endpoint, ActorRef]] = {}

    def send(self, attempt: SendAttempt, now: float) -> None:
        """Send an attempt over an idle connection or a new one."""
        endpoint = attempt.endpoint
        idle = self._idle.get(endpoint)
        if idle:
            conn = idle.pop().conn
        else:
            conn = EndpointConn.start(HttpEndpointClient(endpoint), self._owner)
        self._busy[attempt.attempt_id] = (endpoint, conn)
        deadline = now + attempt.seconds
        conn.tell(RunAttempt(attempt.attempt_id, attempt.req, deadline))

    def release(self, attempt_id: str, now: float) -> None:
        """Return the connection of an ended attempt to the pool."""
        endpoint, conn = self._busy.pop(attempt_id)
        self._idle.setdefault(endpoint, []).append(IdleConn(conn, now))

    def close_idle(self, now: float, endpoints: Collection[Endpoint]) -> None:
        """Close connections that were idle too long or whose endpoint was removed."""
        for endpoint, idle in list(self._idle.items()):
            is_known = endpoint in endpoints
            kept: list[IdleConn] = []
            for entry in idle:
                if is_known and now - entry.since < IDLE_LIMIT_SECONDS:
                    kept.append(entry)
                else:
                    entry.conn.stop(block=False)
            if kept:
                self._idle[endpoint] = kept
            else:
                del self._idle[endpoint]
