"""Actor that owns this daemon's lease and its membership in its data centre."""

from copy import deepcopy
from typing import Any

from loguru import logger
from pykka import ActorRef, Future, ThreadingActor

from geraniumwell.actors.ticker import Ticker
from geraniumwell.clients.platform import Condition, Put, Row, Transaction
from geraniumwell.codec.membership import (
    decode_assignment,
    decode_member,
    encode_value,
    make_assignment_key,
    make_member_key,
    make_prefix,
)
from geraniumwell.commands.membership.assignment import (
    find_removed,
    propose_assignment,
    propose_departure,
    record_adopted_version,
)
from geraniumwell.commands.membership.leases import (
    begin_heartbeat,
    build_heartbeat,
    record_activity,
    record_assignment,
    record_heartbeat,
    record_peer_failure,
    record_platform_call,
    record_table_write,
    update_lease,
)
from geraniumwell.const import HEARTBEAT_INTERVAL_SECONDS
from geraniumwell.messages.gangs import DeciderElected, DeciderRetired
from geraniumwell.messages.membership import (
    AssignmentAdopted,
    AssignmentGranted,
    AssignmentProposed,
    Depart,
    LeaseExtended,
    ManagerStarted,
    ReadMembership,
    StartLeaving,
)
from geraniumwell.messages.operators import PeerVersionReported
from geraniumwell.messages.peer import (
    CallPeer,
    Heartbeat,
    PeerAnswered,
    PeerCallFailed,
    PeerRequestReceived,
    PeersChanged,
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
from geraniumwell.model.membership import Assignment, MemberRow, MemberState
from geraniumwell.queries.members import is_decider, is_granted
from geraniumwell.util.clock import monotonic_seconds

PEER_CALL_SECONDS = 1.0
TAG_ASSIGNMENT = "assignment"
TAG_DEPARTURE = "departure"
TAG_HEARTBEAT = "heartbeat"
TAG_READ = "read"
TICK = "heartbeat"


class Member(ThreadingActor):
    """Maintains this daemon's lease and takes part in the assignment of shares.

    Parameters
    ----------
    state : MemberState
        Initial state.
    platform : ActorRef
        Platform link used by this actor only.
    ticker : Ticker
        Source of heartbeat ticks.
    dispatcher : ActorRef
        Serves requests under the lease and the assignment.
    decider : ActorRef or None
        Schedules gang jobs under the lease while this daemon is elected.
    """

    use_daemon_thread = True

    def __init__(
        self,
        state: MemberState,
        platform: ActorRef,
        ticker: Ticker,
        dispatcher: ActorRef,
        decider: ActorRef | None = None,
    ) -> None:
        super().__init__()
        self._state = state
        self._platform = platform
        self._ticker = ticker
        self._dispatcher = dispatcher
        self._decider = decider
        self._config_manager: ActorRef | None = None
        self._links: dict[str, ActorRef] = {}
        self._data_centres: dict[str, str] = {}
        self._remote_index = 0
        self._platform_call_at: float | None = None
        self._peer_call_at: dict[str, float] = {}
        self._lease_end = 0.0
        self._granted_version = 0
        self._elected_epoch = 0
        self._departure: Future[None] | None = None
        self._is_write_refused = False

    def on_start(self) -> None:
        """Start sending heartbeats."""
        self.actor_ref.tell(Tick(TICK))

    def on_receive(self, message: Any) -> None:
        """Handle one message."""
        now = monotonic_seconds()
        record_activity(self._state, now)
        match message:
            case Tick():
                self._send_heartbeats(now)
            case Transacted() | TransactionRefused() | RowsRead() | PlatformFailed():
                self._handle_platform(message, now)
            case PeersChanged(links, data_centres):
                self._links = links
                self._data_centres = data_centres
            case ManagerStarted(manager):
                self._config_manager = manager
            case PeerRequestReceived(Heartbeat(row, data_centre), reply):
                self._handle_heartbeat(row, data_centre, now)
                own = Heartbeat(build_heartbeat(self._state), self._state.data_centre)
                reply.set(own)
            case PeerAnswered(_, vm, Heartbeat(row, data_centre)):
                self._peer_call_at.pop(vm, None)
                self._state.peer_failed_at.pop(vm, None)
                self._handle_heartbeat(row, data_centre, now)
            case PeerCallFailed(_, vm, _, _):
                sent_at = self._peer_call_at.pop(vm, None)
                if sent_at is not None:
                    record_peer_failure(self._state, vm, sent_at)
            case AssignmentAdopted(version):
                record_adopted_version(self._state, version)
            case ConfigurationChanged(cfg):
                self._state.config_version = cfg.version
            case StartLeaving():
                self._state.leaving = True
                self._step_down()
            case Depart(reply):
                self._depart(reply)
            case ReadMembership(reply):
                reply.set(deepcopy(self._state))
        self._publish()

    def _send_heartbeats(self, now: float) -> None:
        due = now + HEARTBEAT_INTERVAL_SECONDS
        self._ticker.tick_at(due, self.actor_ref, TICK)
        row = begin_heartbeat(self._state, now)
        if self._platform_call_at is None:
            self._write_row(row, now)
        for vm in self._choose_peers():
            self._call_peer(vm, row, now)

    def _choose_peers(self) -> list[str]:
        """Return the peers in this data centre and one peer elsewhere, in rotation."""
        own = self._state.data_centre
        local = [vm for vm, dc in self._data_centres.items() if dc == own]
        remote = [vm for vm, dc in self._data_centres.items() if dc != own]
        if not remote:
            return local
        self._remote_index = (self._remote_index + 1) % len(remote)
        return [*local, remote[self._remote_index]]

    def _call_peer(self, vm: str, row: MemberRow, now: float) -> None:
        if vm in self._peer_call_at:
            return
        self._peer_call_at[vm] = now
        body = Heartbeat(row, self._state.data_centre)
        call = CallPeer(TAG_HEARTBEAT, body, PEER_CALL_SECONDS, self.actor_ref)
        self._links[vm].tell(call)

    def _handle_heartbeat(self, row: MemberRow, data_centre: str, now: float) -> None:
        is_behind = row.config_version > self._state.config_version
        if is_behind and self._config_manager is not None:
            self._config_manager.tell(PeerVersionReported(row.vm, row.config_version))
        if data_centre == self._state.data_centre:
            record_heartbeat(self._state, row, now)

    def _transact(self, tag: str, transaction: Transaction, now: float) -> None:
        self._platform_call_at = now
        self._platform.tell(Transact(tag, self.actor_ref, transaction))

    def _write_row(self, row: MemberRow, now: float) -> None:
        dc = self._state.data_centre
        unchanged = Condition(make_assignment_key(dc), self._state.row_version)
        put = Put(make_member_key(dc, row.vm), encode_value(row))
        tag = f"{TAG_HEARTBEAT}:{row.counter}"
        self._transact(tag, Transaction((unchanged,), (put,)), now)

    def _read(self, now: float) -> None:
        self._platform_call_at = now
        prefix = make_prefix(self._state.data_centre)
        self._platform.tell(ReadRows(TAG_READ, self.actor_ref, prefix))

    def _handle_platform(self, message: Any, now: float) -> None:
        sent_at = self._platform_call_at or now
        self._platform_call_at = None
        is_successful = not isinstance(message, PlatformFailed)
        record_platform_call(self._state, sent_at, is_successful, now)
        match message:
            case RowsRead(_, rows):
                self._apply_rows(rows, now)
                self._continue_after_read(now)
            case Transacted(tag) if tag == TAG_DEPARTURE:
                self._finish_departure()
            case Transacted(tag):
                kind, _, counter = tag.partition(":")
                if kind == TAG_HEARTBEAT:
                    record_table_write(self._state, int(counter), now)
                self._read(now)
            case TransactionRefused(tag, _):
                self._is_write_refused = tag.startswith(TAG_HEARTBEAT)
                self._read(now)
            case PlatformFailed():
                self._finish_departure()

    def _continue_after_read(self, now: float) -> None:
        """Propose a change, but repeat a refused heartbeat write first.

        Otherwise two members that can't reach each other would change the assignment in
        turn, neither would write its row, and each would consider the other expired.
        """
        if not self._is_write_refused:
            self._propose(now)
            return
        self._is_write_refused = False
        self._write_row(build_heartbeat(self._state), now)

    def _apply_rows(self, rows: tuple[Row, ...], now: float) -> None:
        state = self._state
        key = make_assignment_key(state.data_centre)
        found = next((row for row in rows if row.key == key), None)
        state.row_versions = {row.key: row.version for row in rows}
        assignment = decode_assignment(found.value) if found else None
        row_version = found.version if found else 0
        is_newer = record_assignment(state, assignment, row_version, now)
        for row in rows:
            if row.key != key:
                record_heartbeat(state, decode_member(row.value), now)
        if is_newer:
            self._apply_assignment()

    def _apply_assignment(self) -> None:
        assignment = self._state.assignment
        assert assignment is not None
        logger.info(
            "assignment {}: members {}, decider {}, epoch {}",
            assignment.version,
            ", ".join(assignment.members),
            assignment.decider,
            assignment.epoch,
        )
        self._dispatcher.tell(AssignmentProposed(assignment, self.actor_ref))
        if self._elected_epoch != assignment.epoch or not is_decider(self._state):
            self._step_down()
        if is_decider(self._state) and not self._state.leaving:
            self._elected_epoch = assignment.epoch
            self._tell_decider(DeciderElected(assignment.epoch))

    def _step_down(self) -> None:
        if self._elected_epoch:
            self._tell_decider(DeciderRetired(self._elected_epoch))
        self._elected_epoch = 0

    def _tell_decider(self, message: Any) -> None:
        if self._decider is not None:
            self._decider.tell(message)

    def _propose(self, now: float) -> None:
        if self._departure is not None:
            self._write_departure(now)
            return
        proposed = propose_assignment(self._state, now)
        if proposed is None:
            return
        removed = find_removed(self._state, proposed)
        self._state.removing = removed
        conditions = self._make_conditions(removed)
        self._transact(
            TAG_ASSIGNMENT, self._make_assignment_write(proposed, conditions), now
        )

    def _make_conditions(self, removed: frozenset[str]) -> tuple[Condition, ...]:
        dc = self._state.data_centre
        keys = [make_member_key(dc, vm) for vm in sorted(removed)]
        versions = self._state.row_versions
        # A removed member that has written its row since the read is still alive.
        return tuple(Condition(key, versions.get(key, 0)) for key in keys)

    def _make_assignment_write(
        self, assignment: Assignment, conditions: tuple[Condition, ...]
    ) -> Transaction:
        key = make_assignment_key(self._state.data_centre)
        unchanged = Condition(key, self._state.row_version)
        return Transaction(
            (unchanged, *conditions), (Put(key, encode_value(assignment)),)
        )

    def _depart(self, reply: Future[None]) -> None:
        self._departure = reply
        if self._platform_call_at is None:
            self._write_departure(monotonic_seconds())

    def _write_departure(self, now: float) -> None:
        proposed = propose_departure(self._state)
        if proposed is None:
            self._finish_departure()
            return
        self._transact(TAG_DEPARTURE, self._make_assignment_write(proposed, ()), now)

    def _finish_departure(self) -> None:
        if self._departure is None:
            return
        self._departure.set(None)
        self._departure = None

    def _publish(self) -> None:
        lease_end = update_lease(self._state)
        if lease_end != self._lease_end:
            self._lease_end = lease_end
            self._dispatcher.tell(LeaseExtended(lease_end))
            self._tell_decider(LeaseExtended(lease_end))
        assignment = self._state.assignment
        if assignment is None or assignment.version == self._granted_version:
            return
        if is_granted(self._state):
            self._granted_version = assignment.version
            self._dispatcher.tell(AssignmentGranted(assignment))
