"""HTTP server for clients of ``serve-platform`` that counts bodies it refuses."""

from waitress.task import ErrorTask

from geraniumwell.actors.intake.channel import IntakeChannel
from geraniumwell.actors.intake.server import IntakeServer
from geraniumwell.helpers.batch_metrics import CALLS
from geraniumwell.model.intake import BodyRefused, RefusalReason


def make_refusal(reason: RefusalReason, status: int) -> BodyRefused:
    """Return a refusal that the server itself sends; count a body that is too large."""
    if reason is RefusalReason.BODY_SIZE:
        _count_large_body()
    return BodyRefused(status, reason)


def _count_large_body() -> None:
    # Only submissions have bodies, and the application counts large ones like this.
    CALLS.labels("submit", "413").inc()


class ClientErrorTask(ErrorTask):
    """Task for a request that the parser refuses."""

    def execute(self) -> None:
        """Send the refusal; count a body that is too large."""
        if self.request.error.code == 413:
            _count_large_body()
        super().execute()


class ClientChannel(IntakeChannel):
    """Connection of one client."""

    error_task_class = ClientErrorTask


class ClientServer(IntakeServer):
    """Server for clients."""

    channel_class = ClientChannel
