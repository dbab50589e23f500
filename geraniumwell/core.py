"""Entry daemon: its actors, servers and shutdown."""

from threading import Event

from loguru import logger
from prometheus_client import REGISTRY
from pykka import ActorRef, ActorRegistry, ThreadingFuture, Timeout

from geraniumwell.actors.caller_server import CallerApp, CallerServer
from geraniumwell.actors.config_manager import ConfigManager
from geraniumwell.actors.decider import Decider
from geraniumwell.actors.dispatcher import Dispatcher
from geraniumwell.actors.endpoint_watch import EndpointWatch
from geraniumwell.actors.member import Member
from geraniumwell.actors.operator_server import (
    OperatorApp,
    OperatorServer,
    read_counters,
)
from geraniumwell.actors.peer_link import PeerLink
from geraniumwell.actors.peer_server import PeerReceivers, PeerServer
from geraniumwell.actors.platform_link import PlatformLink
from geraniumwell.actors.statements import StatementRunner, StatementServer
from geraniumwell.actors.ticker import Ticker
from geraniumwell.clients.platform import HttpPlatformClient
from geraniumwell.clients.worker import HttpWorkerClient
from geraniumwell.const import STOP_LIMIT_SECONDS, STOP_NOTICE_SECONDS
from geraniumwell.helpers.metrics import Metrics
from geraniumwell.messages.membership import Depart, ManagerStarted, StartLeaving
from geraniumwell.messages.peer import PeersChanged
from geraniumwell.messages.serving import AnnounceStop, StopServing
from geraniumwell.model.membership import MemberState
from geraniumwell.model.settings import Settings
from geraniumwell.util.clock import wall_seconds
from geraniumwell.util.ids import make_token_hex

# A platform call of the member must end well within the lease, so that even a failed
# call can still extend it.
MEMBER_CONNECT_SECONDS = 0.5
MEMBER_READ_SECONDS = 1.0
DEPART_SECONDS = 3.0


class EntryDaemon:
    """Owns the actors and servers of one entry daemon."""

    __slots__ = (
        "_callers",
        "_cfg",
        "_dispatcher",
        "_is_failed",
        "_config_manager",
        "_member",
        "_operators",
        "_peers",
        "_stopping",
        "_ticker",
    )

    def __init__(self, cfg: Settings) -> None:
        self._cfg = cfg
        self._stopping = Event()
        self._is_failed = False
        self._ticker = Ticker()
        incarnation = make_token_hex(4)
        metrics = Metrics(REGISTRY)
        self._dispatcher: ActorRef = Dispatcher.start(
            cfg, incarnation, self._ticker, metrics, self._fail
        )
        watch = EndpointWatch.start(self._start_link(), self._ticker, self._dispatcher)
        decider = Decider.start(
            cfg.data_centre, cfg.vm, self._start_link(), self._ticker, HttpWorkerClient
        )
        self._member: ActorRef = Member.start(
            make_member_state(cfg, incarnation),
            PlatformLink.start(
                HttpPlatformClient(
                    cfg.platform, MEMBER_CONNECT_SECONDS, MEMBER_READ_SECONDS
                )
            ),
            self._ticker,
            self._dispatcher,
            decider,
        )
        subscribers = (self._dispatcher, watch, self._member, decider)
        self._config_manager: ActorRef = ConfigManager.start(
            self._start_link(), self._ticker, subscribers, cfg.vm
        )
        self._member.tell(ManagerStarted(self._config_manager))
        runner = StatementRunner(
            cfg, self._config_manager, self._start_link(), decider, read_counters
        )
        self._operators = OperatorServer(cfg, OperatorApp(cfg, runner))
        receivers = PeerReceivers(
            self._member,
            self._dispatcher,
            self._config_manager,
            StatementServer.start(runner),
        )
        self._peers = PeerServer(cfg, receivers)
        self._callers = CallerServer(cfg, CallerApp(cfg, self._dispatcher, metrics))
        self._connect_peers()

    def run(self) -> bool:
        """Serve until a stop is requested; return False if the dispatcher failed."""
        self._ticker.start()
        self._peers.start()
        self._callers.start()
        self._operators.start()
        logger.info("serving callers on port {}", self._callers.port)
        self._stopping.wait()
        if not self._is_failed:
            self._stop_gracefully()
            ActorRegistry.stop_all()
        self._ticker.stop()
        return not self._is_failed

    def request_stop(self) -> None:
        """Ask ``run`` to stop; may be called from a signal handler."""
        self._stopping.set()

    def _start_link(self) -> ActorRef:
        return PlatformLink.start(HttpPlatformClient(self._cfg.platform))

    def _connect_peers(self) -> None:
        links = {
            peer.vm: PeerLink.start(peer, self._cfg.tls) for peer in self._cfg.peers
        }
        data_centres = {peer.vm: peer.data_centre for peer in self._cfg.peers}
        for actor in (self._member, self._dispatcher, self._config_manager):
            actor.tell(PeersChanged(links, data_centres))

    def _stop_gracefully(self) -> None:
        """Report not ready to load balancers, then finish the requests in progress."""
        logger.info("stopping; reporting not ready")
        self._dispatcher.tell(AnnounceStop())
        self._member.tell(StartLeaving())
        # Callers are still served until load balancers have noticed the stop.
        Event().wait(STOP_NOTICE_SECONDS)
        reply: ThreadingFuture[None] = ThreadingFuture()
        self._dispatcher.tell(StopServing(reply))
        self._callers.drain()
        try:
            reply.get(timeout=STOP_LIMIT_SECONDS)
        except Timeout:
            logger.warning("requests were still in progress at the stop time limit")
        else:
            self._depart()
        self._operators.close()
        self._peers.close()

    def _depart(self) -> None:
        """Release this daemon's shares without waiting for its lease to expire."""
        reply: ThreadingFuture[None] = ThreadingFuture()
        self._member.tell(Depart(reply))
        try:
            reply.get(timeout=DEPART_SECONDS)
        except Timeout:
            logger.warning(
                "departure timed out; the shares stay until the lease expires"
            )

    def _fail(self) -> None:
        """Stop immediately, because the state of the dispatcher is lost."""
        self._is_failed = True
        self._stopping.set()


def make_member_state(cfg: Settings, incarnation: str) -> MemberState:
    """Return the state of a member that has just started.

    The counter starts at the current time in milliseconds, so that it is higher than
    any counter of an earlier run on the same VM.
    """
    counter = int(wall_seconds() * 1000)
    return MemberState(cfg.vm, incarnation, cfg.data_centre, counter)
