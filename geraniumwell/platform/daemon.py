"""Assembly of the entry daemon on the users' platform."""

import os
from collections.abc import Callable, Iterable
from pathlib import Path
from threading import Event, Thread
from typing import Any, Final

from prometheus_client import REGISTRY, generate_latest
from pykka import ActorDeadError, ActorRef, ActorRegistry, Timeout
from waitress.server import create_server

from geraniumwell.actors.batch.catalog_manager import CatalogManager
from geraniumwell.actors.batch.elector import Elector
from geraniumwell.actors.batch.job_store import JobStore
from geraniumwell.actors.batch.peer_registry import PeerRegistry
from geraniumwell.actors.batch.scheduler_dependencies import SchedulerDependencies
from geraniumwell.actors.batch.store_probe import StoreProbe
from geraniumwell.actors.batch.store_relay import StoreRelay
from geraniumwell.actors.batch.table_feed import TableFeed
from geraniumwell.actors.batch.worker_connection_pool import WorkerConnectionPool
from geraniumwell.actors.draining_server import DrainingServer
from geraniumwell.actors.ticker import Ticker
from geraniumwell.clients.table import TableClient
from geraniumwell.clients.table_relay import (
    FailoverTableClient,
    PeerDirectory,
    RelayTableClient,
    StoreHealth,
)
from geraniumwell.clients.timeout_estimator import LONGEST_SECONDS, TimeoutEstimator
from geraniumwell.commands.batch.leadership import make_holder_id
from geraniumwell.exceptions import SettingsError
from geraniumwell.helpers.event_log import EVENT_LOG
from geraniumwell.messages.batch import (
    ReadBatchReadiness,
    ReleaseClaim,
    SubscribeCatalog,
    WatchTable,
)
from geraniumwell.model.batch.cluster import BatchPolicy
from geraniumwell.model.batch.peer import Peer
from geraniumwell.platform.client_app import ClientApp
from geraniumwell.platform.decode import (
    decode_catalog,
    decode_entry,
    parse_evacuation,
)
from geraniumwell.platform.settings import (
    PlatformSettings,
    list_changes,
    load_platform_settings,
)
from geraniumwell.platform.store import HttpTableClient
from geraniumwell.platform.workers import PlatformWorkerCodec
from geraniumwell.util.ids import make_token_hex

TABLE_OPERATOR: Final = "op"
KEY_CONFIG: Final = "config"
TABLE_REGISTRY: Final = "servers"
# A silent connection must show before a change of the configuration is overdue.
CONFIG_WAIT_SECONDS: Final = 1.0
CONFIG_READ_SECONDS: Final = 0.6
# A slow store answers a read within some 0.3 s.
PROBE_READ_SECONDS: Final = 0.4
FRONT_THREADS: Final = 16
CONNECTION_LIMIT: Final = 1_000
# Callers' connections, files, calls to the store, and those of the other daemons.
RESERVED_DESCRIPTORS: Final = CONNECTION_LIMIT + 600
FEWEST_WORKER_CONNECTIONS: Final = 100
BODY_LIMIT_BYTES: Final = 1_048_576
# The balancer looks once a second and needs two misses.
STOP_NOTICE_SECONDS: Final = 2.2
# Callers' calls take up to some 2 s when the store is silent.
DRAIN_SECONDS: Final = 2.2
READINESS_SECONDS: Final = 0.5
# Signals that come together wake the daemon once.
WAKE_BYTES: Final = 64
StartResponse = Callable[[str, list[tuple[str, str]]], Any]


class MonitoringApp:
    """Answers the balancer's look at this daemon, and scrapes of its metrics."""

    __slots__ = ("_is_stopping", "_keeper")

    def __init__(self, keeper: ActorRef, is_stopping: Event) -> None:
        self._keeper = keeper
        self._is_stopping = is_stopping

    def __call__(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        """Answer one call."""
        match environ["PATH_INFO"]:
            case "/metrics":
                status, body = "200 OK", generate_latest(REGISTRY)
            case "/ready" if self._is_ready():
                status, body = "200 OK", b"{}"
            case "/ready":
                status, body = "503 Service Unavailable", b"{}"
            case _:
                status, body = "404 Not Found", b"{}"
        start_response(status, [("Content-Length", str(len(body)))])
        return [body]

    def _is_ready(self) -> bool:
        if self._is_stopping.is_set():
            return False
        try:
            return self._keeper.ask(ReadBatchReadiness(), timeout=READINESS_SECONDS)
        except (Timeout, ActorDeadError):
            return False


class PlatformDaemon:
    """All parts of one daemon on the platform.

    ``run`` waits on a pipe. Its writing end, ``wake_fd``, is also for
    ``signal.set_wakeup_fd``: a signal that the kernel gives to another thread does not
    interrupt a wait of the main thread.
    """

    __slots__ = (
        "_cfg",
        "_elector",
        "_front",
        "_front_thread",
        "_is_reload_due",
        "_is_stopping",
        "_path",
        "_relay",
        "_side",
        "_ticker",
        "_wake_read",
        "wake_fd",
    )

    def __init__(self, cfg: PlatformSettings, path: Path) -> None:
        self._cfg = cfg
        self._path = path
        self._is_reload_due = Event()
        self._is_stopping = Event()
        self._wake_read, self.wake_fd = os.pipe()
        os.set_blocking(self.wake_fd, False)
        self._ticker = Ticker()
        keeper = CatalogManager.start(KEY_CONFIG, decode_catalog, parse_evacuation)
        cores = cfg.processor_share * cfg.core_speed
        directory, health, timer = PeerDirectory(), StoreHealth(), TimeoutEstimator()
        parts = make_scheduler_dependencies(cfg, self._ticker, directory, health, timer)
        StoreProbe.start(
            HttpTableClient(cfg.store, timer, PROBE_READ_SECONDS), health, self._ticker
        )
        PeerRegistry.start(
            cfg.vm,
            Peer(cfg.relay, cores),
            parts.make_store(),
            directory,
            self._ticker,
        )
        self._relay = StoreRelay(
            cfg.relay, lambda: HttpTableClient(cfg.store, timer, LONGEST_SECONDS)
        )
        self._elector: ActorRef = Elector.start(
            make_holder_id(cfg.vm, make_token_hex(4)), parts, directory, cores
        )
        keeper.tell(SubscribeCatalog(self._elector))
        feed = TableFeed.start(
            make_store(
                cfg, directory, health, timer, CONFIG_READ_SECONDS, is_probing=True
            ),
            TABLE_OPERATOR,
            keeper,
            self._ticker,
            CONFIG_WAIT_SECONDS,
            is_rereading=True,
        )
        feed.tell(WatchTable(None))
        desk = JobStore(parts.make_store, health)
        self._front = make_front(cfg, ClientApp(desk, keeper, self._elector))
        self._side = create_server(
            MonitoringApp(keeper, self._is_stopping),
            listen=f"{cfg.readiness} {cfg.metrics}",
            threads=1,
            asyncore_use_poll=True,
            ident=None,
        )
        self._front_thread = Thread(target=self._front.run, name="callers", daemon=True)

    def run(self) -> None:
        """Serve until ``request_stop`` is called."""
        self._ticker.start()
        self._relay.start()
        self._front_thread.start()
        Thread(target=self._side.run, name="side", daemon=True).start()
        EVENT_LOG.write("daemon_started", vm=self._cfg.vm, callers=self._cfg.callers)
        while not self._is_stopping.is_set():
            os.read(self._wake_read, WAKE_BYTES)
            if self._is_reload_due.is_set():
                self._is_reload_due.clear()
                self._reload()
        self._stop()

    def request_stop(self) -> None:
        """Ask ``run`` to stop; may be called from a signal handler."""
        self._is_stopping.set()
        os.write(self.wake_fd, b"s")

    def request_reload(self) -> None:
        """Ask ``run`` to read the settings again; may be called from a handler."""
        self._is_reload_due.set()
        os.write(self.wake_fd, b"r")

    def _reload(self) -> None:
        """Check the settings file and say what a restart would change.

        All settings are addresses or bounds that the daemon's parts were made with.
        """
        try:
            cfg = load_platform_settings(self._path)
        except SettingsError as exc:
            EVENT_LOG.write("settings_unreadable", detail=str(exc))
            return
        EVENT_LOG.write(
            "settings_read", waiting_for_restart=list_changes(self._cfg, cfg)
        )

    def _stop(self) -> None:
        """Hand the schedule over, let the balancer see the stop, then drain."""
        EVENT_LOG.write("daemon_stopping")
        self._elector.tell(ReleaseClaim())
        Event().wait(STOP_NOTICE_SECONDS)
        self._front.request_drain()
        self._front_thread.join(DRAIN_SECONDS)
        self._relay.close()
        EVENT_LOG.write("daemon_stopped", is_drained=not self._front_thread.is_alive())
        ActorRegistry.stop_all(block=False)


def make_front(cfg: PlatformSettings, app: ClientApp) -> DrainingServer:
    """Return the server of the callers."""
    return DrainingServer(
        app,
        listen=cfg.callers,
        threads=FRONT_THREADS,
        connection_limit=CONNECTION_LIMIT,
        max_request_body_size=BODY_LIMIT_BYTES,
        inbuf_overflow=BODY_LIMIT_BYTES * 2,
        asyncore_use_poll=True,
        clear_untrusted_proxy_headers=False,
        ident=None,
    )


def make_store(
    cfg: PlatformSettings,
    directory: PeerDirectory,
    health: StoreHealth,
    timer: TimeoutEstimator,
    read_seconds: float | None = None,
    is_probing: bool = False,
) -> TableClient:
    """Return a client of the store that falls back on the other daemons."""
    return FailoverTableClient(
        HttpTableClient(cfg.store, timer, read_seconds),
        RelayTableClient(directory),
        health,
        is_probing,
    )


def make_scheduler_dependencies(
    cfg: PlatformSettings,
    ticker: Ticker,
    directory: PeerDirectory,
    health: StoreHealth,
    timer: TimeoutEstimator,
) -> SchedulerDependencies:
    """Return what the scheduler needs of the platform."""
    calls, codec = TimeoutEstimator(), PlatformWorkerCodec()
    connection_limit = max(
        FEWEST_WORKER_CONNECTIONS, cfg.descriptors - RESERVED_DESCRIPTORS
    )
    policy = BatchPolicy(cfg.lease_limit_ms / 1000, cfg.result_seconds, cfg.far_factor)
    return SchedulerDependencies(
        policy,
        ticker,
        lambda: make_store(cfg, directory, health, timer),
        lambda epoch, owner: WorkerConnectionPool.start(
            codec, calls, epoch, owner, connection_limit
        ),
        TABLE_REGISTRY,
        decode_entry,
    )
