"""Decides from a request's head whether its body may be read."""

from collections.abc import Callable
from typing import Any

from geraniumwell.actors.batch.resilient_actor import ResilientActor
from geraniumwell.codec.intake import make_path_info
from geraniumwell.commands.batch.admission import Denied, Granted, decide_access
from geraniumwell.helpers.batch_metrics import CALLS
from geraniumwell.helpers.event_log import EVENT_LOG
from geraniumwell.messages.batch import CatalogChanged
from geraniumwell.model.batch.catalog import Catalog
from geraniumwell.model.intake import (
    BodyAccepted,
    BodyRefused,
    HeadVerdict,
    RefusalReason,
    RequestHead,
)
from geraniumwell.platform.client_app import ACCESS_STATUS


class HeadCheck:
    """Checks the heads of requests against the configuration.

    It belongs to the thread of the client server's loop. Its configuration may be older
    than that of ``CatalogManager`` by one message, and the application checks each
    complete request again.

    Parameters
    ----------
    body_bytes : int
        Largest body while no configuration is known.
    """

    __slots__ = ("_body_bytes", "_catalog")

    def __init__(self, body_bytes: int) -> None:
        self._body_bytes = body_bytes
        self._catalog: Catalog | None = None

    def set_catalog(self, catalog: Catalog) -> None:
        """Use a newer configuration."""
        self._catalog = catalog

    def check(self, head: RequestHead) -> HeadVerdict:
        """Return whether the body of a request may be read."""
        catalog = self._catalog
        if catalog is None:
            return BodyAccepted(self._body_bytes)
        path = make_path_info(head.path)
        host, key = head.headers.get("HOST", ""), head.headers.get("API_KEY", "")
        match decide_access(catalog, host, path, key):
            case Granted():
                return BodyAccepted(min(self._body_bytes, catalog.body_limit_bytes))
            case Denied(code):
                status = ACCESS_STATUS[code]
                EVENT_LOG.write(
                    "denied", path=path, code=code.value, version=catalog.version
                )
                CALLS.labels("access", str(status)).inc()
                return BodyRefused(status, RefusalReason.ACCESS)


class CatalogForwarder(ResilientActor):
    """Passes each configuration on to a thread that is not an actor.

    Parameters
    ----------
    forward : callable
        Takes the configuration; returns at once.
    """

    def __init__(self, forward: Callable[[Catalog], None]) -> None:
        super().__init__()
        self._forward = forward

    def handle(self, message: Any) -> Any:
        """Handle one message."""
        match message:
            case CatalogChanged(catalog):
                self._forward(catalog)
        return None
