"""Actor that owns one connection to an endpoint and runs one attempt at a time."""

from typing import Any

from loguru import logger
from pykka import ActorRef, ThreadingActor

from geraniumwell.clients.endpoint import EndpointClient
from geraniumwell.exceptions import EndpointAnswerLostError, EndpointNotSentError
from geraniumwell.messages.serving import (
    AttemptAnswered,
    AttemptLost,
    AttemptNotSent,
    RunAttempt,
)
from geraniumwell.model.request import Request
from geraniumwell.util.clock import monotonic_seconds


class EndpointConn(ThreadingActor):
    """Runs attempts on one endpoint over one connection."""

    use_daemon_thread = True

    def __init__(self, client: EndpointClient, dispatcher: ActorRef) -> None:
        super().__init__()
        self._client = client
        self._dispatcher = dispatcher

    def on_stop(self) -> None:
        """Close the connection."""
        self._client.close()

    def on_receive(self, message: Any) -> None:
        """Handle one message."""
        match message:
            case RunAttempt(attempt_id, req, deadline):
                seconds = deadline - monotonic_seconds()
                if seconds <= 0:
                    reason = "the deadline passed before the attempt was sent"
                    self._dispatcher.tell(AttemptNotSent(attempt_id, reason))
                    return
                self._run(attempt_id, req, seconds)

    def _run(self, attempt_id: str, req: Request, seconds: float) -> None:
        try:
            answer = self._client.run(req, attempt_id, seconds)
        except EndpointNotSentError as exc:
            self._dispatcher.tell(AttemptNotSent(attempt_id, str(exc)))
        except EndpointAnswerLostError as exc:
            self._dispatcher.tell(AttemptLost(attempt_id, str(exc)))
        except Exception as exc:
            # Without a result the attempt would occupy its slot for ever.
            logger.exception("attempt {} failed", attempt_id)
            self._client.close()
            self._dispatcher.tell(AttemptLost(attempt_id, repr(exc)))
        else:
            self._dispatcher.tell(AttemptAnswered(attempt_id, answer))
