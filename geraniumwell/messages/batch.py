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
from geraniumwell.model.batch.cluster import StartTask, StopTask
from geraniumwell.model.batch.leader import LeaderRow
from geraniumwell.model.batch.worker import WorkerReport


@dataclass(slots=True, frozen=True)
class CommitRows:
    """Ask a store link for a transaction; ``number`` returns with the answer."""

    number: int
    transaction: TableTransaction


@dataclass(slots=True, frozen=True)
class RowsCommitted:
    """The store answered a transaction."""

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
    """Ask a store link for all rows of some parts of tables."""

    parts: tuple[TablePartition, ...]


@dataclass(slots=True, frozen=True)
class TablesLoaded:
    """All rows of some parts of tables."""

    ranges: dict[TablePartition, RowRange]


@dataclass(slots=True, frozen=True)
class LoadFailed:
    """Some of the wanted parts could not be read."""

    parts: tuple[TablePartition, ...]
    code: str
    detail: str


@dataclass(slots=True, frozen=True)
class SweepJobs:
    """Ask for the removal of the rows of jobs that ended long ago."""

    ids: tuple[str, ...]


@dataclass(slots=True, frozen=True)
class JobsSwept:
    """The rows of these jobs, but not of their progress, are gone."""

    ids: tuple[str, ...]


@dataclass(slots=True, frozen=True)
class StoreUnreachable:
    """Neither the store nor another daemon answers calls to the store."""


@dataclass(slots=True, frozen=True)
class WatchTable:
    """Tell a feed to follow a table from a version on; None reads it whole first."""

    after: int | None


@dataclass(slots=True, frozen=True)
class TableSnapshot:
    """All rows of a followed table, because changes were missed."""

    table: str
    rows: tuple[StoredRow, ...]


@dataclass(slots=True, frozen=True)
class TableChanged:
    """Changed rows of a followed table; none if only time has passed."""

    table: str
    rows: tuple[StoredRow, ...]


@dataclass(slots=True, frozen=True)
class TableUnavailable:
    """A followed table can't be read at present."""

    table: str
    code: str


@dataclass(slots=True, frozen=True)
class CatalogChanged:
    """A new version of the configuration is in force."""

    catalog: Catalog


@dataclass(slots=True, frozen=True)
class EvacuationsChanged:
    """Other data centres than before are to get no new work.

    Parameters
    ----------
    data_centres : frozenset of str
        All data centres that are being evacuated now.
    """

    data_centres: frozenset[str]


@dataclass(slots=True, frozen=True)
class ReadCatalog:
    """Ask for the configuration in force."""


@dataclass(slots=True, frozen=True)
class ReadBatchReadiness:
    """Ask whether this daemon can take jobs."""


@dataclass(slots=True, frozen=True)
class CountPendingJobs:
    """Ask for the numbers of jobs that have not begun, by queue."""


@dataclass(slots=True, frozen=True)
class LeaderClaim:
    """A claim that the store has confirmed."""

    row: LeaderRow
    version: int
    sent_at: float


@dataclass(slots=True, frozen=True)
class SchedulerEnded:
    """The scheduler of an epoch has ended."""

    epoch: int
    reason: str


@dataclass(slots=True, frozen=True)
class ActorFailed:
    """An actor that the receiver depends on has ended by an error."""

    name: str


@dataclass(slots=True, frozen=True)
class ReleaseClaim:
    """Give the claim up and do not claim again."""


@dataclass(slots=True, frozen=True)
class CallWorker:
    """Ask for a call to a worker, which gives or extends nothing after ``send_by``."""

    worker: str
    address: str
    call: WorkerCall
    send_by: float


@dataclass(slots=True, frozen=True)
class DropWorker:
    """Close the connections to a worker once its calls have ended."""

    worker: str


@dataclass(slots=True, frozen=True)
class PollAnswered:
    """A worker answered a look that was sent at ``sent_at``."""

    worker: str
    look: PollCall
    report: WorkerReport
    sent_at: float


@dataclass(slots=True, frozen=True)
class PollFailed:
    """A worker did not answer a look."""

    worker: str
    code: str


@dataclass(slots=True, frozen=True)
class StartAnswered:
    """A worker answered a start."""

    order: StartTask
    answer: StartAnswer


@dataclass(slots=True, frozen=True)
class StartNotSent:
    """A start never left this daemon."""

    order: StartTask
    code: str


@dataclass(slots=True, frozen=True)
class StartPostponed:
    """A start was not sent, because this daemon's claim had run out before.

    It says nothing about the worker.
    """

    order: StartTask


@dataclass(slots=True, frozen=True)
class StartUnanswered:
    """A start got no answer; it may have been carried out or may be later."""

    order: StartTask
    code: str


@dataclass(slots=True, frozen=True)
class StopAnswered:
    """A worker took a stop note of."""

    order: StopTask


@dataclass(slots=True, frozen=True)
class StopUnanswered:
    """A stop got no answer."""

    order: StopTask
    code: str


@dataclass(slots=True, frozen=True)
class SubscribeCatalog:
    """Ask to be told of each new configuration."""

    subscriber: ActorRef
