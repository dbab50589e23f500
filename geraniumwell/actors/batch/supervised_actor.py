"""Bases of actors that work for another one."""

from typing import Any, Protocol

from pykka import ActorRef, ThreadingActor

from geraniumwell.actors.batch.messaging import tell
from geraniumwell.helpers.event_log import EVENT_LOG
from geraniumwell.messages.batch import ActorFailed


class SupervisedActor(ThreadingActor):
    """Tells its owner if an error ends it, so that the owner does not wait for ever.

    Parameters
    ----------
    owner : ActorRef
        Gets the answers, and ``ActorFailed`` in the end.
    """

    use_daemon_thread = True
    log_name = ""

    def __init__(self, owner: ActorRef) -> None:
        super().__init__()
        self._owner = owner

    def on_failure(self, exception_type: Any, value: Any, traceback: Any) -> None:
        """Log the error and tell the owner."""
        name = self.log_name or type(self).__name__
        detail = f"{exception_type.__name__}: {value}"
        EVENT_LOG.write("actor_failed", actor=name, detail=detail)
        tell(self._owner, ActorFailed(name))


class Closable(Protocol):
    """A client with connections of its own."""

    def close(self) -> None:
        """Close the connections."""


class ClientActor(SupervisedActor):
    """Owns a client and closes it in the end."""

    def __init__(self, client: Closable, owner: ActorRef) -> None:
        super().__init__(owner)
        self._client: Any = client

    def on_stop(self) -> None:
        """Close the connections."""
        self._client.close()
