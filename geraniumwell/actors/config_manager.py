"""Actor that owns the configuration, fetches newer versions and records changes."""

from enum import StrEnum
from typing import Any

from loguru import logger
from pykka import ActorRef, Future, ThreadingActor

from geraniumwell.actors.change_writer import ChangeWriter
from geraniumwell.actors.ticker import Ticker
from geraniumwell.codec.config import (
    CONFIG_PREFIX,
    HEAD_KEY,
    LOG_PREFIX,
    decode_head,
    decode_records,
    decode_stored,
    make_version_key,
)
from geraniumwell.codec.json import CodecError
from geraniumwell.commands.config.apply import apply_change
from geraniumwell.const import (
    CONFIG_SNAPSHOT_INTERVAL,
    HEARTBEAT_INTERVAL_SECONDS,
    STATEMENT_PEER_SECONDS,
)
from geraniumwell.helpers.logging import FaultLog
from geraniumwell.messages.operators import (
    ManagerState,
    PeerVersionReported,
    ReadState,
    SubmitChange,
)
from geraniumwell.messages.peer import (
    CallPeer,
    ConfigurationRead,
    PeerAnswered,
    PeerCallFailed,
    PeerRequestReceived,
    PeersChanged,
    ReadConfiguration,
)
from geraniumwell.messages.platform import (
    PlatformFailed,
    ReadRows,
    RowsRead,
    Transact,
    Transacted,
    TransactionRefused,
)
from geraniumwell.messages.serving import ConfigurationChanged, Tick
from geraniumwell.model.change import ChangeRecord
from geraniumwell.model.config import Configuration
from geraniumwell.util.clock import monotonic_seconds, wall_seconds

# Change records kept in memory; the log in the table never holds more.
RECORDS_KEPT = 2 * CONFIG_SNAPSHOT_INTERVAL
FAULT_PLATFORM = "platform_unavailable"
FAULT_MISSING = "no_configuration"
FAULT_OLDER = "platform_shows_older_configuration"
FAULT_ROWS = "configuration_rows_unreadable"


class Tag(StrEnum):
    """Tags of the calls to the platform and to peers."""

    HEAD = "config head"
    TAIL = "config tail"
    ALL = "config all"
    WRITE = "config write"
    PEER = "config peer"


class ConfigManager(ThreadingActor):
    """Holds the configuration in force, whose version never decreases.

    Parameters
    ----------
    link : ActorRef
        Platform link used by this actor only, so that other slow calls don't delay it.
    ticker : Ticker
        Source of ticks.
    subscribers : tuple of ActorRef
        Notified of each newer configuration.
    vm : str
        Name of this VM, which changes may drain or stop.
    """

    use_daemon_thread = True

    def __init__(
        self,
        link: ActorRef,
        ticker: Ticker,
        subscribers: tuple[ActorRef, ...],
        vm: str,
    ) -> None:
        super().__init__()
        self._link = link
        self._ticker = ticker
        self._subscribers = subscribers
        self._vm = vm
        self._cfg = Configuration()
        self._records: tuple[ChangeRecord, ...] = ()
        self._is_reading = False
        self._knows_commands = True
        self._faults = FaultLog()
        self._peers = PeersChanged({}, {})
        self._asked_peers: set[str] = set()
        self._next_peer = 0
        self._writer = ChangeWriter()

    def on_start(self) -> None:
        """Fetch the configuration for the first time."""
        self.actor_ref.tell(Tick("config"))

    def on_receive(self, message: Any) -> None:
        """Handle one message."""
        match message:
            case Tick("config"):
                self._poll()
                due = monotonic_seconds() + HEARTBEAT_INTERVAL_SECONDS
                self._ticker.tick_at(due, self.actor_ref, "config")
            case RowsRead(tag, rows):
                self._is_reading = False
                self._handle_rows(tag, rows)
            case Transacted():
                record = self._writer.finish_recorded()
                self._apply_records((record,))
            case TransactionRefused():
                self._writer.mark_in_doubt()
                self._read_all()
            case PlatformFailed(tag, reason):
                self._handle_platform_failure(tag, reason)
            case SubmitChange():
                self._writer.enqueue(message, self._cfg.version, monotonic_seconds())
            case ReadState(reply):
                reply.set(self._make_state())
            case _:
                self._handle_peer_message(message)
        self._write_next()

    def _handle_peer_message(self, message: Any) -> None:
        match message:
            case PeersChanged():
                self._peers = message
                if self._faults.is_active(FAULT_PLATFORM):
                    self._ask_all_peers()
            case PeerRequestReceived(ReadConfiguration(above_version), reply):
                self._answer_peer(above_version, reply)
            case PeerAnswered(_, vm, ConfigurationRead(cfg)):
                self._asked_peers.discard(vm)
                if cfg is not None and cfg.version > self._cfg.version:
                    self._writer.clear_head()
                    self._records = ()
                    # A peer's configuration holds no command ids, so a repeated
                    # command would not be recognised and be applied again.
                    self._knows_commands = False
                    self._activate(cfg, f"peer {vm}")
            case PeerCallFailed(_, vm, _, _):
                self._asked_peers.discard(vm)
                self._report_missing()
            case PeerVersionReported(vm, version) if version > self._cfg.version:
                # The platform returns the missing rows, a peer the full configuration.
                if self._faults.is_active(FAULT_PLATFORM):
                    self._ask_peer(vm)
                elif not self._is_reading:
                    self._refresh()

    def _report_missing(self) -> None:
        is_down = self._faults.is_active(FAULT_PLATFORM)
        if self._cfg.version == 0 and is_down and not self._asked_peers:
            text = "neither the platform nor a peer gave a configuration"
            self._faults.report(FAULT_MISSING, text)

    def _make_state(self) -> ManagerState:
        return ManagerState(
            self._cfg,
            self._faults.is_active(FAULT_PLATFORM),
            self._records,
            self._peers.links,
            self._peers.data_centres,
        )

    def _answer_peer(self, above_version: int, reply: Future[Any]) -> None:
        cfg = self._cfg if self._cfg.version > above_version else None
        reply.set(ConfigurationRead(cfg))

    def _poll(self) -> None:
        if self._writer.expire(monotonic_seconds()):
            logger.warning("the outcome of a change is unknown")
        if not self._is_reading:
            self._refresh()

    def _refresh(self) -> None:
        if self._writer.in_doubt or self._cfg.version == 0:
            self._read_all()
        else:
            self._read(Tag.HEAD, HEAD_KEY)

    def _read_all(self) -> None:
        self._read(Tag.ALL, CONFIG_PREFIX)

    def _read(self, tag: str, prefix: str, after: str = "") -> None:
        self._is_reading = True
        self._link.tell(ReadRows(tag, self.actor_ref, prefix, after))

    def _handle_platform_failure(self, tag: str, reason: str) -> None:
        if tag == Tag.WRITE:
            self._writer.mark_in_doubt()
            self._read_all()
        else:
            self._is_reading = False
        is_new = not self._faults.is_active(FAULT_PLATFORM)
        version = self._cfg.version
        self._faults.report(FAULT_PLATFORM, reason, config_version=version)
        if is_new:
            self._ask_all_peers()
        elif self._peers.links:
            # Asking one peer per second limits the traffic during an outage.
            names = sorted(self._peers.links)
            self._next_peer = (self._next_peer + 1) % len(names)
            self._ask_peer(names[self._next_peer])

    def _ask_all_peers(self) -> None:
        for vm in self._peers.links:
            self._ask_peer(vm)

    def _ask_peer(self, vm: str) -> None:
        if vm in self._asked_peers or vm not in self._peers.links:
            return
        self._asked_peers.add(vm)
        body = ReadConfiguration(self._cfg.version)
        call = CallPeer(Tag.PEER, body, STATEMENT_PEER_SECONDS, self.actor_ref)
        self._peers.links[vm].tell(call)

    def _handle_rows(self, tag: str, rows: tuple[Any, ...]) -> None:
        self._faults.clear(FAULT_PLATFORM, config_version=self._cfg.version)
        try:
            match tag:
                case Tag.HEAD:
                    self._handle_head(rows)
                case Tag.TAIL:
                    self._handle_tail(rows)
                case Tag.ALL:
                    self._handle_all(rows)
        except CodecError as exc:
            self._faults.report(FAULT_ROWS, str(exc), config_version=self._cfg.version)
        else:
            self._faults.clear(FAULT_ROWS)

    def _handle_head(self, rows: tuple[Any, ...]) -> None:
        version, head_row = decode_head(rows)
        is_equal = version == self._cfg.version
        if head_row == 0 or (is_equal and not self._knows_commands):
            self._read_all()
        elif version > self._cfg.version:
            after = make_version_key(LOG_PREFIX, self._cfg.version)
            self._read(Tag.TAIL, LOG_PREFIX, after)
        else:
            self._compare_head(version, head_row)

    def _compare_head(self, version: int, head_row: int) -> None:
        own = self._cfg.version
        if version == own:
            self._writer.set_head(head_row)
            self._faults.clear(FAULT_OLDER)
            return
        # A write on top of an older head would undo changes that are in force.
        self._writer.clear_head()
        text = f"the platform shows version {version}, {own} is in force"
        self._faults.report(FAULT_OLDER, text, config_version=own)

    def _handle_tail(self, rows: tuple[Any, ...]) -> None:
        records = decode_records(rows, LOG_PREFIX)
        if not records or records[0].version != self._cfg.version + 1:
            # The rows in between were removed by a compaction.
            self._read_all()
            return
        self._writer.clear_head()
        self._apply_records(records)

    def _handle_all(self, rows: tuple[Any, ...]) -> None:
        stored = decode_stored(rows)
        self._writer.add_commands(stored.recent_commands)
        if stored.cfg.version >= self._cfg.version:
            self._records = stored.records
            self._knows_commands = True
        if stored.cfg.version > self._cfg.version:
            self._activate(stored.cfg, "the platform")
        self._compare_head(stored.cfg.version, stored.head_row)
        self._writer.resolve_doubt(self._cfg.version, self._records)

    def _apply_records(self, records: tuple[ChangeRecord, ...]) -> None:
        cfg = self._cfg
        for record in records:
            # The change may already be included in a configuration from a peer.
            if record.version != cfg.version + 1:
                continue
            cfg = apply_change(cfg, record.change)
            self._writer.add_commands({record.command_id: record.version})
        known = self._records[-1].version if self._records else 0
        fresh = tuple(r for r in records if r.version > known)
        self._records = (self._records + fresh)[-RECORDS_KEPT:]
        if cfg.version > self._cfg.version:
            self._activate(cfg, "the platform")

    def _activate(self, cfg: Configuration, source: str) -> None:
        self._cfg = cfg
        self._faults.clear(FAULT_MISSING)
        line = logger.bind(config_version=cfg.version)
        line.info("configuration from {} is in force", source)
        for subscriber in self._subscribers:
            subscriber.tell(ConfigurationChanged(cfg))

    def _write_next(self) -> None:
        faults = (FAULT_PLATFORM, FAULT_OLDER, FAULT_ROWS)
        fault = next((f for f in faults if self._faults.is_active(f)), None)
        vms = frozenset({self._vm, *self._peers.links})
        transaction = self._writer.take_next(
            self._cfg, self._records, wall_seconds(), vms, fault
        )
        if transaction is not None:
            self._link.tell(Transact(Tag.WRITE, self.actor_ref, transaction))
        elif self._writer.needs_head and not self._is_reading:
            self._refresh()
