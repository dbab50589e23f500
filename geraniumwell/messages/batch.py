"""Messages between the actors of the batch service."""

from dataclasses import dataclass

from pykka import ActorRef

from geraniumwell.clients.table import (
    Committed,
    Conflict,
    RowRange,
    StoredRow,
    TablePartition,
    TableTransaction,
)
from geraniumwell.clients.task_worker import PollCall, StartAnswer, WorkerCall
from geraniumwell.model.batch.catalog import Catalog
from geraniumwell.model.batch.cluster import PaceTask, StartTask, StopTask
from geraniumwell.model.batch.leader import LeaderRow
from geraniumwell.model.batch.removal import ExpiredJob
from geraniumwell.model.batch.worker import WorkerReport


@dataclass(slots=True, frozen=True)
class CommitRows:
    """Ask a store link for a transaction; the reply carries the same ``number``."""

    number: int
    transaction: TableTransaction


@dataclass(slots=True, frozen=True)
class RowsCommitted:
    """The store committed a transaction, or reported a conflict."""

    number: int
    result: Committed | Conflict


@dataclass(slots=True, frozen=True)
class CommitFailed:
    """The store did not answer a transaction, or refused it."""

    number: int
    code: str
    detail: str


@dataclass(slots=True, frozen=True)
class LoadTables:
    """Ask a store link for all rows of some table partitions."""

    parts: tuple[TablePartition, ...]


@dataclass(slots=True, frozen=True)
class TablesLoaded:
    """All rows of some table partitions."""

    ranges: dict[TablePartition, RowRange]


@dataclass(slots=True, frozen=True)
class LoadFailed:
    """None of the requested partitions is returned, because a read failed."""

    parts: tuple[TablePartition, ...]
    code: str
    detail: str


@dataclass(slots=True, frozen=True)
class RemoveJobRows:
    """Ask for the removal of the rows of jobs that ended long ago."""

    jobs: tuple[ExpiredJob, ...]


@dataclass(slots=True, frozen=True)
class JobRowsRemoved:
    """Result of a request: the jobs without rows; those of their progress remain."""

    ids: tuple[str, ...]


@dataclass(slots=True, frozen=True)
class StoreUnreachable:
    """The store answers neither directly nor through another daemon."""


@dataclass(slots=True, frozen=True)
class WatchTable:
    """Watch a table from a version; None reads all rows first."""

    after: int | None


@dataclass(slots=True, frozen=True)
class TableSnapshot:
    """All rows of a watched table, at the start of a watch or after missed changes."""

    table: str
    rows: tuple[StoredRow, ...]


@dataclass(slots=True, frozen=True)
class TableChanged:
    """Changed rows of a watched table; empty if the wait ended without changes."""

    table: str
    rows: tuple[StoredRow, ...]


@dataclass(slots=True, frozen=True)
class TableUnavailable:
    """A watched table can't be read at the moment."""

    table: str
    code: str


@dataclass(slots=True, frozen=True)
class CatalogChanged:
    """A new version of the configuration is in force."""

    catalog: Catalog


@dataclass(slots=True, frozen=True)
class EvacuationsChanged:
    """The set of evacuated data centres, which get no new work, has changed.

    Parameters
    ----------
    data_centres : frozenset of str
        All data centres that are being evacuated.
    """

    data_centres: frozenset[str]


@dataclass(slots=True, frozen=True)
class ReadCatalog:
    """Ask for the configuration in force."""


@dataclass(slots=True, frozen=True)
class ReadBatchReadiness:
    """Ask whether this daemon can accept jobs."""


@dataclass(slots=True, frozen=True)
class CountPendingJobs:
    """Ask for the number of jobs per queue that have not begun."""


@dataclass(slots=True, frozen=True)
class LeaderClaim:
    """A leader claim that the store has confirmed."""

    row: LeaderRow
    version: int
    sent_at: float


@dataclass(slots=True, frozen=True)
class SchedulerEnded:
    """The scheduler of an epoch has ended.

    Parameters
    ----------
    pending : dict
        Number of jobs that had not begun, by queue.
    """

    epoch: int
    reason: str
    pending: dict[str, int]


@dataclass(slots=True, frozen=True)
class ActorFailed:
    """An actor that the receiver depends on has stopped because of an error."""

    name: str


@dataclass(slots=True, frozen=True)
class ReleaseClaim:
    """Release the leader claim; an elector that receives it makes no further claim."""


@dataclass(slots=True, frozen=True)
class CallWorker:
    """Ask for a call to a worker; after ``send_by`` it grants or extends nothing."""

    worker: str
    address: str
    call: WorkerCall
    send_by: float


@dataclass(slots=True, frozen=True)
class DisconnectWorker:
    """Close the connections to a worker once its calls have ended."""

    worker: str


@dataclass(slots=True, frozen=True)
class PollAnswered:
    """A worker answered a poll that was sent at ``sent_at``."""

    worker: str
    poll: PollCall
    report: WorkerReport
    sent_at: float


@dataclass(slots=True, frozen=True)
class PollFailed:
    """A poll got no valid response, or was refused by its worker."""

    worker: str
    code: str


@dataclass(slots=True, frozen=True)
class StartAnswered:
    """A worker answered a start."""

    order: StartTask
    answer: StartAnswer


@dataclass(slots=True, frozen=True)
class StartNotSent:
    """A start was not sent, because its worker could not be reached."""

    order: StartTask
    code: str


@dataclass(slots=True, frozen=True)
class StartUnsent:
    """A start was not sent, because this daemon's claim had expired before.

    This says nothing about the worker.
    """

    order: StartTask


@dataclass(slots=True, frozen=True)
class StartUnanswered:
    """A start got no valid response; it may have run, or may still run later."""

    order: StartTask
    code: str


@dataclass(slots=True, frozen=True)
class StopAnswered:
    """A worker acknowledged a stop."""

    order: StopTask


@dataclass(slots=True, frozen=True)
class StopUnanswered:
    """A stop was not acknowledged; it may have taken effect, or may still do so.

    A stop that was too late to be sent is reported in the same way.
    """

    order: StopTask
    code: str


@dataclass(slots=True, frozen=True)
class PaceAnswered:
    """A worker has set the pace of a run."""

    order: PaceTask


@dataclass(slots=True, frozen=True)
class PaceUnanswered:
    """The pace of a run was not confirmed; the order may have taken effect.

    An order that was too late to be sent is reported in the same way.
    """

    order: PaceTask
    code: str


@dataclass(slots=True, frozen=True)
class SubscribeCatalog:
    """Subscribe to new configurations and evacuations; current ones come at once."""

    subscriber: ActorRef
