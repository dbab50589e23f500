"""Actor that decides whether this daemon schedules."""

from contextlib import suppress
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
    find_successors,
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

# A scheduler that is busy answers from its inbox later than the counts are worth.
PENDING_SECONDS = 1.0
# Changes of the configuration wait meanwhile. A first call to a peer also connects.
HANDOVER_READ_SECONDS = 1.0


class Elector(ResilientActor):
    """Watches the claim of the scheduling daemon and claims it when it is free.

    Parameters
    ----------
    holder : str
        Name of this daemon, different at each start.
    directory : PeerDirectory
        Knows the other daemons and the processors of their VMs.
    cores : float
        Processor of this VM, in cores.
    """

    def __init__(
        self,
        holder: str,
        parts: SchedulerDependencies,
        directory: PeerDirectory,
        cores: float,
    ) -> None:
        super().__init__()
        self._directory = directory
        self._cores = cores
        self._holder = holder
        self._parts = parts
        self._client = parts.make_store()
        self._seen = LeaderObservation()
        self._catalog: Catalog | None = None
        self._evacuated: frozenset[str] = frozenset()
        self._scheduler: ActorRef | None = None
        self._is_retiring = False
        self._is_blind = False
        self._epoch = 0
        self._handover_at = 0.0
        # Peers that were asked before, so that one that is down is not asked each time.
        self._asked = 0

    def on_start(self) -> None:
        """Begin to watch."""
        tell(self.actor_ref, Tick("watch"))

    def on_stop(self) -> None:
        """Stop scheduling; the claim lapses by itself."""
        if self._scheduler is not None:
            self._scheduler.stop(block=False)

    def handle(self, message: Any) -> Any:
        """Handle one message."""
        match message:
            case Tick():
                try:
                    self._watch()
                finally:
                    ticker = self._parts.ticker
                    ticker.tick_after(LEADER_WATCH_SECONDS, self.actor_ref, "watch")
            case CatalogChanged(catalog):
                self._catalog = catalog
                if self._scheduler is not None:
                    tell(self._scheduler, message)
            case EvacuationsChanged(data_centres):
                self._evacuated = data_centres
                if self._scheduler is not None:
                    tell(self._scheduler, message)
            case SchedulerEnded(epoch, reason):
                self._step_down(epoch, reason)
            case ReleaseClaim():
                self._is_retiring = True
                if self._scheduler is not None:
                    tell(self._scheduler, message)
            case CountPendingJobs():
                return self._find_pending()
        return None

    def _find_pending(self) -> dict[str, int]:
        if self._scheduler is not None:
            with suppress(Timeout, ActorDeadError):
                return self._scheduler.ask(CountPendingJobs(), timeout=PENDING_SECONDS)
        # The stored counts are a renewal old at the most.
        return self._seen.row.pending if self._seen.row else {}

    def _step_down(self, epoch: int, reason: str) -> None:
        """Watch the claim again, unless the news are of an earlier scheduler."""
        if epoch != self._epoch:
            return
        EVENT_LOG.write("claim_ended", epoch=epoch, reason=reason)
        CLAIMS.labels("ended").inc()
        IS_SCHEDULING.set(0)
        self._scheduler = None
        self._seen = LeaderObservation()

    def _watch(self) -> None:
        if self._scheduler is not None and not self._scheduler.is_alive():
            self._step_down(self._epoch, "it has ended without a word")
        if self._scheduler is not None:
            self._hand_over(boottime_seconds())
            return
        if self._catalog is None:
            return
        # The claim counts from before the calls, what was read from after the answer.
        now = boottime_seconds()
        try:
            self._read()
            delay = find_claim_delay(
                self._seen, self._cores, self._directory.max_peer_cores
            )
            if not self._is_retiring and may_claim(
                self._seen, self._holder, now, delay
            ):
                self._claim(now)
        except StoreError as exc:
            if not self._is_blind:
                EVENT_LOG.write("claim_unreadable", code=exc.code, detail=str(exc))
            self._is_blind = True
            return
        if self._is_blind:
            EVENT_LOG.write("claim_readable", version=self._seen.version)
        self._is_blind = False

    def _hand_over(self, now: float) -> None:
        """Release the claim once a stronger VM is there that reaches the store."""
        if now < self._handover_at:
            return
        self._handover_at = now + HANDOVER_CHECK_SECONDS
        peers = find_successors(self._cores, self._directory.cores_by_address)
        if not peers:
            return
        address = peers[self._asked % len(peers)]
        self._asked += 1
        client = RelayTableClient(self._directory, HANDOVER_READ_SECONDS)
        is_ready = client.can_reach_store(address, TABLE_CONTROL, PARTITION_SCHEDULE)
        EVENT_LOG.write("handover", epoch=self._epoch, to=address, is_ready=is_ready)
        if is_ready:
            CLAIMS.labels("handed_over").inc()
            tell(self._scheduler, ReleaseClaim())

    def _read(self) -> None:
        found = find_row(self._client, TABLE_CONTROL, LEADER_KEY, PARTITION_SCHEDULE)
        now = boottime_seconds()
        if found is None:
            record_leader_row(self._seen, None, 0, now)
            return
        try:
            row = decode_leader(found.value)
        except CodecError as exc:
            # The row is replaced by the next claim, whose epoch must be higher.
            EVENT_LOG.write("row_unreadable", key=LEADER_KEY, detail=str(exc))
            row = LeaderRow("", found.version, 0, {})
        record_leader_row(self._seen, row, found.version, now)

    def _claim(self, now: float) -> None:
        before = self._seen.row
        row = make_claim(self._seen, self._holder)
        if before is not None and before.holder == self._holder:
            # An earlier claim of this daemon whose answer was lost.
            EVENT_LOG.write("claim_found", epoch=before.epoch)
        transaction = TableTransaction(
            (Condition(TABLE_CONTROL, LEADER_KEY, self._seen.version),),
            (RowWrite(TABLE_CONTROL, LEADER_KEY, encode_leader(row)),),
            part=PARTITION_SCHEDULE,
        )
        result = self._client.commit(transaction)
        if not isinstance(result, Committed):
            CLAIMS.labels("lost").inc()
            return
        CLAIMS.labels("won").inc()
        IS_SCHEDULING.set(1)
        age = round(now - self._seen.changed_at, 3)
        EVENT_LOG.write(
            "claim_won",
            epoch=row.epoch,
            before=before.holder if before else "",
            unchanged_seconds=age,
        )
        assert self._catalog is not None
        claim = LeaderClaim(row, result.version, now)
        self._epoch = row.epoch
        self._handover_at = now + HANDOVER_CHECK_SECONDS
        self._scheduler = Scheduler.start(
            claim, self._catalog, self._evacuated, self._parts, self.actor_ref
        )
