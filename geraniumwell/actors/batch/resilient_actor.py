"""Base class of the actors that a daemon can't run without."""

from typing import Any

from pykka import ThreadingActor

from geraniumwell.helpers.batch_metrics import MESSAGE_FAILURES
from geraniumwell.helpers.event_log import EVENT_LOG


class ResilientActor(ThreadingActor):
    """Keeps running after an unexpected error and skips only the current message.

    Pykka stops an actor on an unhandled exception. A daemon that no longer watches its
    configuration or the claim would appear healthy but do nothing.
    """

    use_daemon_thread = True
    log_name = ""

    def on_receive(self, message: Any) -> Any:
        """Handle one message; log and count an unexpected error."""
        try:
            return self.handle(message)
        except Exception as exc:
            name = self.log_name or type(self).__name__
            MESSAGE_FAILURES.labels(name).inc()
            EVENT_LOG.write(
                "message_failed",
                actor=name,
                message=type(message).__name__,
                detail=f"{type(exc).__name__}: {exc}",
            )
            return None

    def handle(self, message: Any) -> Any:
        """Handle one message; implemented by each subclass."""
        raise NotImplementedError
