"""Actor that watches which endpoints are reported as leaving."""

from typing import Any

from pykka import ActorRef, ThreadingActor

from geraniumwell.actors.ticker import Ticker
from geraniumwell.clients.platform import VmEntry
from geraniumwell.const import HEARTBEAT_INTERVAL_SECONDS
from geraniumwell.messages.platform import ListVms, PlatformFailed, VmsListed
from geraniumwell.messages.serving import (
    ConfigurationChanged,
    LeavingEndpointsChanged,
    Tick,
)
from geraniumwell.model.config import Configuration
from geraniumwell.queries.leaving import find_leaving
from geraniumwell.util.clock import monotonic_seconds, wall_seconds

TICK_LIST = "list"


class EndpointWatch(ThreadingActor):
    """Reads the platform's VM list every second and reports changes to the dispatcher.

    While the platform gives no response, the last list stays in use.
    """

    use_daemon_thread = True

    def __init__(self, platform: ActorRef, ticker: Ticker, receiver: ActorRef) -> None:
        super().__init__()
        self._platform = platform
        self._ticker = ticker
        self._receiver = receiver
        self._cfg = Configuration()
        self._vms: tuple[VmEntry, ...] = ()
        self._reported: frozenset[str] = frozenset()
        self._is_asking = False

    def on_start(self) -> None:
        """Request the list for the first time."""
        self.actor_ref.tell(Tick(TICK_LIST))

    def on_receive(self, message: Any) -> None:
        """Handle one message."""
        match message:
            case Tick():
                self._request_list()
            case VmsListed(_, vms):
                self._is_asking = False
                self._vms = vms
            case PlatformFailed():
                self._is_asking = False
            case ConfigurationChanged(cfg):
                self._cfg = cfg
        self._report()

    def _request_list(self) -> None:
        due = monotonic_seconds() + HEARTBEAT_INTERVAL_SECONDS
        self._ticker.tick_at(due, self.actor_ref, TICK_LIST)
        if not self._is_asking:
            self._is_asking = True
            self._platform.tell(ListVms(TICK_LIST, self.actor_ref))

    def _report(self) -> None:
        names = find_leaving(self._cfg, self._vms, wall_seconds())
        if names == self._reported:
            return
        self._reported = names
        self._receiver.tell(LeavingEndpointsChanged(names))
