"""Startup, serving and shutdown of the daemon on the users' platform."""

import os
from collections.abc import Callable, Iterable
from pathlib import Path
from threading import Event, Thread
from typing import Any, Final

from prometheus_client import REGISTRY, generate_latest
from pykka import ActorDeadError, ActorRef, ActorRegistry, Timeout

from geraniumwell.actors.batch.catalog_manager import CatalogManager
from geraniumwell.actors.batch.elector import Elector
from geraniumwell.actors.batch.job_store import JobStore
from geraniumwell.actors.batch.peer_registry import PeerRegistry
from geraniumwell.actors.batch.scheduler_dependencies import SchedulerDependencies
from geraniumwell.actors.batch.store_probe import StoreProbe
from geraniumwell.actors.batch.store_relay import StoreRelay
from geraniumwell.actors.batch.table_feed import TableFeed
from geraniumwell.actors.batch.worker_connection_pool import WorkerConnectionPool
from geraniumwell.actors.intake.loop import IntakeLoop
from geraniumwell.actors.intake.server import IntakeOptions, IntakeServer
from geraniumwell.actors.ticker import Ticker
from geraniumwell.clients.table import TableClient
from geraniumwell.clients.table_relay import (
    FailoverTableClient,
    PeerDirectory,
    RelayTableClient,
    StoreHealth,
)
from geraniumwell.clients.timeout_estimator import MAX_TIMEOUT_SECONDS, TimeoutEstimator
from geraniumwell.commands.batch.leadership import make_holder_id
from geraniumwell.commands.intake.limits import derive_limits, split_limits
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
from geraniumwell.model.intake import IntakeLimits
from geraniumwell.platform.client_app import ClientApp
from geraniumwell.platform.client_server import ClientServer, make_refusal
from geraniumwell.platform.decode import (
    decode_catalog,
    decode_entry,
    parse_evacuation,
)
from geraniumwell.platform.head_check import CatalogForwarder, HeadCheck
from geraniumwell.platform.settings import (
    PlatformSettings,
    list_changed_settings,
    load_platform_settings,
)
from geraniumwell.platform.store import HttpTableClient
from geraniumwell.platform.workers import PlatformWorkerCodec
from geraniumwell.util.ids import make_token_hex

TABLE_OPERATOR: Final = "op"
KEY_CONFIG: Final = "config"
TABLE_REGISTRY: Final = "servers"
# A dead connection must be noticed before a configuration change is overdue.
CONFIG_WAIT_SECONDS: Final = 1.0
CONFIG_TIMEOUT_SECONDS: Final = 0.6
# A slow store answers a read within about 0.3 s.
PROBE_TIMEOUT_SECONDS: Final = 0.4
CLIENT_THREADS: Final = 16
CONNECTION_LIMIT: Final = 1_000
# Client connections, files, and calls to the store and from the other daemons.
RESERVED_DESCRIPTORS: Final = CONNECTION_LIMIT + 600
MIN_WORKER_CONNECTIONS: Final = 100
# Largest body before the limit of the configuration is known.
MAX_BODY_BYTES: Final = 1_048_575
# The load balancer checks once a second and needs two failed checks.
STOP_NOTICE_SECONDS: Final = 2.2
# Client calls take up to about 2 s while the store does not answer.
DRAIN_SECONDS: Final = 2.2
READINESS_TIMEOUT_SECONDS: Final = 0.5
# Read size of the wake-up pipe; pending wake-ups are read together.
WAKE_BYTES: Final = 64
StartResponse = Callable[[str, list[tuple[str, str]]], Any]


class MonitoringApp:
    """Serves the load balancer's readiness checks and scrapes of the metrics."""

    __slots__ = ("_is_stopping", "_catalog_manager")

    def __init__(self, catalog_manager: ActorRef, is_stopping: Event) -> None:
        self._catalog_manager = catalog_manager
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
            return self._catalog_manager.ask(
                ReadBatchReadiness(), timeout=READINESS_TIMEOUT_SECONDS
            )
        except (Timeout, ActorDeadError):
            return False


class PlatformDaemon:
    """One daemon on the platform with all of its actors and servers.

    ``run`` waits on a pipe. Its write end, ``wake_fd``, must also be passed to
    ``signal.set_wakeup_fd``, because a signal that the kernel delivers to another
    thread does not interrupt a wait of the main thread.
    """

    __slots__ = (
        "_cfg",
        "_elector",
        "_server",
        "_client_thread",
        "_is_reload_due",
        "_is_stopping",
        "_path",
        "_relay",
        "_monitoring_loop",
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
        manager = CatalogManager.start(KEY_CONFIG, decode_catalog, parse_evacuation)
        cores = cfg.processor_share * cfg.core_speed
        peers, health, timeouts = PeerDirectory(), StoreHealth(), TimeoutEstimator()
        deps = make_scheduler_dependencies(cfg, self._ticker, peers, health, timeouts)
        StoreProbe.start(
            HttpTableClient(cfg.store, timeouts, PROBE_TIMEOUT_SECONDS),
            health,
            self._ticker,
        )
        PeerRegistry.start(
            cfg.vm, Peer(cfg.relay, cores), deps.make_store(), peers, self._ticker
        )
        self._relay = StoreRelay(
            cfg.relay, lambda: HttpTableClient(cfg.store, timeouts, MAX_TIMEOUT_SECONDS)
        )
        self._elector: ActorRef = Elector.start(
            make_holder_id(cfg.vm, make_token_hex(4)), deps, peers, cores
        )
        manager.tell(SubscribeCatalog(self._elector))
        feed = TableFeed.start(
            make_store(
                cfg, peers, health, timeouts, CONFIG_TIMEOUT_SECONDS, is_probing=True
            ),
            TABLE_OPERATOR,
            manager,
            self._ticker,
            CONFIG_WAIT_SECONDS,
            rereads_after_error=True,
        )
        feed.tell(WatchTable(None))
        jobs = JobStore(deps.make_store, health)
        self._server = make_client_server(
            cfg, ClientApp(jobs, manager, self._elector), manager
        )
        self._monitoring_loop = make_monitoring_loop(
            cfg, MonitoringApp(manager, self._is_stopping)
        )
        self._client_thread = Thread(
            target=self._server.run, name="callers", daemon=True
        )

    def run(self) -> None:
        """Serve until ``request_stop`` is called."""
        self._ticker.start()
        self._relay.start()
        self._client_thread.start()
        Thread(target=self._monitoring_loop.run, name="side", daemon=True).start()
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
        """Ask ``run`` to reload the settings; may be called from a signal handler."""
        self._is_reload_due.set()
        os.write(self.wake_fd, b"r")

    def _reload(self) -> None:
        """Check the settings file and log which changes need a restart.

        All settings are addresses or limits that are fixed when the daemon starts.
        """
        try:
            cfg = load_platform_settings(self._path)
        except SettingsError as exc:
            EVENT_LOG.write("settings_unreadable", detail=str(exc))
            return
        EVENT_LOG.write(
            "settings_read", waiting_for_restart=list_changed_settings(self._cfg, cfg)
        )

    def _stop(self) -> None:
        """Release the claim, wait until the load balancer has noticed, then drain."""
        EVENT_LOG.write("daemon_stopping")
        self._elector.tell(ReleaseClaim())
        Event().wait(STOP_NOTICE_SECONDS)
        self._server.request_drain()
        self._client_thread.join(DRAIN_SECONDS)
        self._relay.close()
        EVENT_LOG.write("daemon_stopped", is_drained=not self._client_thread.is_alive())
        ActorRegistry.stop_all(block=False)


def make_limits(cfg: PlatformSettings) -> tuple[IntakeLimits, IntakeLimits]:
    """Return the limits of the server for clients and of each one for monitoring."""
    return split_limits(
        derive_limits(
            cfg.memory_mb,
            cfg.descriptors,
            CONNECTION_LIMIT,
            cfg.request_seconds,
            MAX_BODY_BYTES,
        )
    )


def make_client_server(
    cfg: PlatformSettings, app: ClientApp, catalog_manager: ActorRef
) -> IntakeServer:
    """Return the HTTP server for clients, which follows the configuration."""
    limits, _ = make_limits(cfg)
    head_check = HeadCheck(limits.body_bytes)
    options = IntakeOptions(
        "clients", limits, CLIENT_THREADS, head_check.check, make_refusal
    )
    server = ClientServer(app, cfg.callers, options)
    forwarder = CatalogForwarder.start(
        lambda catalog: server.request_call(lambda: head_check.set_catalog(catalog))
    )
    catalog_manager.tell(SubscribeCatalog(forwarder))
    return server


def make_monitoring_loop(cfg: PlatformSettings, app: MonitoringApp) -> IntakeLoop:
    """Return the loop of the servers for readiness checks and metrics."""
    _, limits = make_limits(cfg)
    loop = IntakeLoop()
    for name, address in (("readiness", cfg.readiness), ("metrics", cfg.metrics)):
        IntakeServer(app, address, IntakeOptions(name, limits, 1), loop)
    return loop


def make_store(
    cfg: PlatformSettings,
    directory: PeerDirectory,
    health: StoreHealth,
    store_timeouts: TimeoutEstimator,
    read_seconds: float | None = None,
    is_probing: bool = False,
) -> TableClient:
    """Return a client of the store that falls back to relays of other daemons."""
    return FailoverTableClient(
        HttpTableClient(cfg.store, store_timeouts, read_seconds),
        RelayTableClient(directory),
        health,
        is_probing,
    )


def make_scheduler_dependencies(
    cfg: PlatformSettings,
    ticker: Ticker,
    directory: PeerDirectory,
    health: StoreHealth,
    store_timeouts: TimeoutEstimator,
) -> SchedulerDependencies:
    """Return the dependencies of the scheduler."""
    worker_timeouts, codec = TimeoutEstimator(), PlatformWorkerCodec()
    connection_limit = max(
        MIN_WORKER_CONNECTIONS, cfg.descriptors - RESERVED_DESCRIPTORS
    )
    policy = BatchPolicy(cfg.lease_limit_ms / 1000, cfg.result_seconds, cfg.far_factor)
    return SchedulerDependencies(
        policy,
        ticker,
        lambda: make_store(cfg, directory, health, store_timeouts),
        lambda epoch, owner: WorkerConnectionPool.start(
            codec, worker_timeouts, epoch, owner, connection_limit
        ),
        TABLE_REGISTRY,
        decode_entry,
    )
