"""Base classes of actors that are owned by another actor."""

from typing import Any, Protocol

from pykka import ActorRef, ThreadingActor

from geraniumwell.actors.batch.messaging import tell
from geraniumwell.helpers.event_log import EVENT_LOG
from geraniumwell.messages.batch import ActorFailed


class SupervisedActor(ThreadingActor):
    """Notifies its owner if an error stops it, so that the owner does not wait forever.

    Parameters
    ----------
    owner : ActorRef
        Receives the results, and ``ActorFailed`` after an error.
    """

    use_daemon_thread = True
    log_name = ""

    def __init__(self, owner: ActorRef) -> None:
        super().__init__()
        self._owner = owner

    def on_failure(self, exception_type: Any, exc: Any, traceback: Any) -> None:
        """Log the error and notify the owner."""
        name = self.log_name or type(self).__name__
        detail = f"{exception_type.__name__}: {exc}"
        EVENT_LOG.write("actor_failed", actor=name, detail=detail)
        tell(self._owner, ActorFailed(name))


class Closable(Protocol):
    """A client that owns connections."""

    def close(self) -> None:
        """Close the connections."""


class ClientActor(SupervisedActor):
    """Owns a client and closes it when the actor stops."""

    def __init__(self, client: Closable, owner: ActorRef) -> None:
        super().__init__(owner)
        self._client: Any = client

    def on_stop(self) -> None:
        """Close the connections."""
        self._client.close()
