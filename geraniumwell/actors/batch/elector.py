"""Actor that decides whether this daemon schedules."""

from typing import Any

from pykka import ActorDeadError, ActorRef, Timeout

from geraniumwell.actors.batch.messaging import tell
from geraniumwell.actors.batch.resilient_actor import ResilientActor
from geraniumwell.actors.batch.scheduler import Scheduler
from geraniumwell.actors.batch.scheduler_dependencies import SchedulerDependencies
from geraniumwell.clients.table import (
    Committed,
    Condition,
    RowWrite,
    StoreError,
    TableTransaction,
    find_row,
)
from geraniumwell.clients.table_relay import PeerDirectory, RelayTableClient
from geraniumwell.codec.batch import decode_leader, encode_leader
from geraniumwell.codec.json import CodecError
from geraniumwell.commands.batch.leadership import (
    HANDOVER_CHECK_SECONDS,
    LEADER_WATCH_SECONDS,
    LeaderObservation,
    find_claim_delay,
    find_handover_targets,
    make_claim,
    may_claim,
    record_leader_row,
)
from geraniumwell.const import LEADER_KEY, PARTITION_SCHEDULE, TABLE_CONTROL
from geraniumwell.helpers.batch_metrics import CLAIMS, IS_SCHEDULING
from geraniumwell.helpers.event_log import EVENT_LOG
from geraniumwell.messages.batch import (
    CatalogChanged,
    CountPendingJobs,
    EvacuationsChanged,
    LeaderClaim,
    ReleaseClaim,
    SchedulerEnded,
)
from geraniumwell.messages.serving import Tick
from geraniumwell.model.batch.catalog import Catalog
from geraniumwell.model.batch.leader import LeaderRow
from geraniumwell.util.clock import boottime_seconds

# A busy scheduler answers too late for the counts to be useful.
PENDING_COUNT_TIMEOUT_SECONDS = 1.0
# Configuration changes wait during this call. The first call to a peer also connects.
HANDOVER_READ_TIMEOUT_SECONDS = 1.0


class Elector(ResilientActor):
    """Watches the leader claim and takes it when it is free.

    Parameters
    ----------
    holder : str
        Name of this daemon process, different for each start.
    directory : PeerDirectory
        Addresses of the other daemons and CPU cores of their VMs.
    cores : float
        CPU capacity of this VM, in cores.
    """

    def __init__(
        self,
        holder: str,
        deps: SchedulerDependencies,
        directory: PeerDirectory,
        cores: float,
    ) -> None:
        super().__init__()
        self._directory = directory
        self._cores = cores
        self._holder = holder
        self._deps = deps
        self._client = deps.make_store()
        self._observation = LeaderObservation()
        self._catalog: Catalog | None = None
        self._evacuated: frozenset[str] = frozenset()
        self._scheduler: ActorRef | None = None
        self._is_releasing = False
        self._is_claim_unreadable = False
        self._epoch = 0
        self._next_handover_check = 0.0
        # Rotates through the peers, so that one that is down is not checked each time.
        self._peer_check_count = 0

    def on_start(self) -> None:
        """Start watching the claim."""
        tell(self.actor_ref, Tick("watch"))

    def on_stop(self) -> None:
        """Stop scheduling; the claim expires by itself."""
        if self._scheduler is not None:
            self._scheduler.stop(block=False)

    def handle(self, message: Any) -> Any:
        """Handle one message."""
        match message:
            case Tick():
                try:
                    self._watch()
                finally:
                    ticker = self._deps.ticker
                    ticker.tick_after(LEADER_WATCH_SECONDS, self.actor_ref, "watch")
            case CatalogChanged(catalog):
                self._catalog = catalog
                if self._scheduler is not None:
                    tell(self._scheduler, message)
            case EvacuationsChanged(data_centres):
                self._evacuated = data_centres
                if self._scheduler is not None:
                    tell(self._scheduler, message)
            case SchedulerEnded(epoch, reason, pending):
                self._step_down(epoch, reason, pending)
            case ReleaseClaim():
                self._is_releasing = True
                if self._scheduler is not None:
                    tell(self._scheduler, message)
            case CountPendingJobs():
                return self._count_pending()
        return None

    def _count_pending(self) -> dict[str, int] | None:
        """Return the number of pending jobs of each queue, or None if it is unknown."""
        if self._scheduler is None:
            # As last read from the store, so about one renewal old.
            return self._observation.row.pending if self._observation.row else None
        try:
            return self._scheduler.ask(
                CountPendingJobs(), timeout=PENDING_COUNT_TIMEOUT_SECONDS
            )
        except (Timeout, ActorDeadError):
            # The row was last read before this daemon's claim, so its counts are old.
            return None

    def _step_down(
        self, epoch: int, reason: str, pending: dict[str, int] | None
    ) -> None:
        """Watch the claim again, unless the message is about an earlier scheduler."""
        if epoch != self._epoch:
            return
        EVENT_LOG.write("claim_ended", epoch=epoch, reason=reason)
        CLAIMS.labels("ended").inc()
        IS_SCHEDULING.set(0)
        self._scheduler = None
        # The claim is read anew; until then the last counts hold.
        row = None if pending is None else LeaderRow("", epoch, 0, pending)
        self._observation = LeaderObservation(row)

    def _watch(self) -> None:
        if self._scheduler is not None and not self._scheduler.is_alive():
            self._step_down(
                self._epoch, "the scheduler stopped without a message", None
            )
        if self._scheduler is not None:
            self._hand_over(boottime_seconds())
            return
        if self._catalog is None:
            return
        # A claim counts from before its call; a row that was read, from the response.
        now = boottime_seconds()
        try:
            self._read()
            delay = find_claim_delay(
                self._observation, self._cores, self._directory.max_peer_cores
            )
            if not self._is_releasing and may_claim(
                self._observation, self._holder, now, delay
            ):
                self._claim(now)
        except StoreError as exc:
            if not self._is_claim_unreadable:
                EVENT_LOG.write("claim_unreadable", code=exc.code, detail=str(exc))
            self._is_claim_unreadable = True
            return
        if self._is_claim_unreadable:
            EVENT_LOG.write("claim_readable", version=self._observation.version)
        self._is_claim_unreadable = False

    def _hand_over(self, now: float) -> None:
        """Release the claim once a VM with more CPU can reach the store."""
        if now < self._next_handover_check:
            return
        self._next_handover_check = now + HANDOVER_CHECK_SECONDS
        peers = find_handover_targets(self._cores, self._directory.cores_by_address)
        if not peers:
            return
        address = peers[self._peer_check_count % len(peers)]
        self._peer_check_count += 1
        client = RelayTableClient(self._directory, HANDOVER_READ_TIMEOUT_SECONDS)
        is_ready = client.can_reach_store(address, TABLE_CONTROL, PARTITION_SCHEDULE)
        EVENT_LOG.write("handover", epoch=self._epoch, to=address, is_ready=is_ready)
        if is_ready:
            CLAIMS.labels("handed_over").inc()
            tell(self._scheduler, ReleaseClaim())

    def _read(self) -> None:
        found = find_row(self._client, TABLE_CONTROL, LEADER_KEY, PARTITION_SCHEDULE)
        now = boottime_seconds()
        if found is None:
            record_leader_row(self._observation, None, 0, now)
            return
        try:
            row = decode_leader(found.value)
        except CodecError as exc:
            # The next claim replaces the row and must have a higher epoch.
            EVENT_LOG.write("row_unreadable", key=LEADER_KEY, detail=str(exc))
            before = self._observation.row
            row = LeaderRow("", found.version, 0, before.pending if before else {})
        record_leader_row(self._observation, row, found.version, now)

    def _claim(self, now: float) -> None:
        before = self._observation.row
        row = make_claim(self._observation, self._holder)
        if before is not None and before.holder == self._holder:
            # An earlier claim of this daemon was stored but its response was lost.
            EVENT_LOG.write("claim_found", epoch=before.epoch)
        transaction = TableTransaction(
            (Condition(TABLE_CONTROL, LEADER_KEY, self._observation.version),),
            (RowWrite(TABLE_CONTROL, LEADER_KEY, encode_leader(row)),),
            part=PARTITION_SCHEDULE,
        )
        result = self._client.commit(transaction)
        if not isinstance(result, Committed):
            CLAIMS.labels("lost").inc()
            return
        CLAIMS.labels("won").inc()
        IS_SCHEDULING.set(1)
        age = round(now - self._observation.changed_at, 3)
        EVENT_LOG.write(
            "claim_won",
            epoch=row.epoch,
            before=before.holder if before else "",
            unchanged_seconds=age,
        )
        assert self._catalog is not None
        claim = LeaderClaim(row, result.version, now)
        self._epoch = row.epoch
        self._next_handover_check = now + HANDOVER_CHECK_SECONDS
        self._scheduler = Scheduler.start(
            claim, self._catalog, self._evacuated, self._deps, self.actor_ref
        )
