"""Transactions of the scheduler: one at a time, each one renews its claim."""

from dataclasses import dataclass, field

from geraniumwell.clients.table import (
    Committed,
    Condition,
    Conflict,
    RowRemoval,
    RowWrite,
    TableTransaction,
)
from geraniumwell.codec.batch import decode_leader, encode_leader, encode_progress
from geraniumwell.codec.json import CodecError
from geraniumwell.commands.batch.leadership import (
    HOLDER_VALID_SECONDS,
    RENEW_INTERVAL_SECONDS,
)
from geraniumwell.const import (
    LEADER_KEY,
    PARTITION_SCHEDULE,
    TABLE_CONTROL,
    TABLE_PROGRESS,
)
from geraniumwell.messages.batch import LeaderClaim
from geraniumwell.model.batch.cluster import Cluster, StartTask
from geraniumwell.model.batch.leader import LeaderRow
from geraniumwell.queries.batch.status import count_pending

# The store takes 100 entries; the claim is one write and one condition.
JOBS_PER_TRANSACTION = 80
REMOVALS_PER_TRANSACTION = 15
# Suffix of the row that tells of a job's cancellation.
CANCEL_SUFFIX = ".x"
# Changes that come closer together share a transaction.
TRANSACTION_GAP_SECONDS = 0.02


@dataclass(slots=True)
class InFlightTransaction:
    """A transaction that the store has not confirmed yet.

    Parameters
    ----------
    orders : list of StartTask
        Starts that are sent once the transaction is confirmed.
    seen : dict
        Number of the last end of each worker whose effect it stores.
    """

    row: LeaderRow
    transaction: TableTransaction
    jobs: set[str]
    orders: list[StartTask]
    seen: dict[str, int]
    sent_at: float


@dataclass(slots=True)
class CommitState:
    """What is stored, what is on its way, and until when the claim is valid.

    Parameters
    ----------
    valid_until : float
        Time until which no other daemon can have claimed.
    orders : list of StartTask
        Starts whose tasks are not stored yet.
    removals : list of str
        Jobs whose progress is to be removed, because their own rows are gone.
    """

    holder: str
    epoch: int
    version: int
    counter: int
    valid_until: float
    sent_at: float
    orders: list[StartTask] = field(default_factory=list)
    removals: list[str] = field(default_factory=list)
    flight: InFlightTransaction | None = None
    is_releasing: bool = False


def make_commit_state(claim: LeaderClaim) -> CommitState:
    """Return the journal of a new claim."""
    return CommitState(
        claim.row.holder,
        claim.row.epoch,
        claim.version,
        claim.row.counter,
        claim.sent_at + HOLDER_VALID_SECONDS,
        claim.sent_at,
    )


def find_due(journal: CommitState, cluster: Cluster) -> float:
    """Return when the next transaction is to be sent."""
    if cluster.unsaved_jobs or journal.orders or journal.is_releasing:
        return journal.sent_at + TRANSACTION_GAP_SECONDS
    return journal.sent_at + RENEW_INTERVAL_SECONDS


def begin(journal: CommitState, cluster: Cluster, now: float) -> InFlightTransaction:
    """Put all changes into a transaction; return it as in flight."""
    jobs = set(sorted(cluster.unsaved_jobs)[:JOBS_PER_TRANSACTION])
    cluster.unsaved_jobs -= jobs
    holder = "" if journal.is_releasing and not cluster.unsaved_jobs else journal.holder
    row = LeaderRow(holder, journal.epoch, journal.counter + 1, count_pending(cluster))
    writes = [RowWrite(TABLE_CONTROL, LEADER_KEY, encode_leader(row))]
    for job_id in sorted(jobs & cluster.jobs.keys()):
        value = encode_progress(cluster.jobs[job_id])
        writes.append(RowWrite(TABLE_PROGRESS, job_id, value))
    old = journal.removals[:REMOVALS_PER_TRANSACTION]
    journal.removals = journal.removals[REMOVALS_PER_TRANSACTION:]
    removals = [RowRemoval(TABLE_PROGRESS, job_id) for job_id in old]
    transaction = TableTransaction(
        (Condition(TABLE_CONTROL, LEADER_KEY, journal.version),),
        tuple(writes),
        tuple(removals),
        PARTITION_SCHEDULE,
    )
    is_complete = not cluster.unsaved_jobs
    orders = [o for o in journal.orders if is_complete or o.id.job in jobs]
    journal.orders = [
        o for o in journal.orders if not is_complete and o.id.job not in jobs
    ]
    seen = {}
    if is_complete:
        cluster.workers_with_unsaved_ends &= cluster.workers.keys()
        seen = {
            name: cluster.workers[name].last_applied_end
            for name in cluster.workers_with_unsaved_ends
        }
    journal.counter += 1
    journal.sent_at = now
    journal.flight = InFlightTransaction(row, transaction, jobs, orders, seen, now)
    return journal.flight


def confirm(
    journal: CommitState, cluster: Cluster, version: int
) -> InFlightTransaction:
    """Note that the transaction in flight was carried out."""
    flight = journal.flight
    assert flight is not None
    journal.flight = None
    journal.version = version
    journal.valid_until = flight.sent_at + HOLDER_VALID_SECONDS
    for key, number in flight.seen.items():
        worker = cluster.workers.get(key)
        if worker is not None and number <= worker.last_applied_end:
            worker.last_saved_end = max(worker.last_saved_end, number)
            cluster.poll_candidates.add(key)
            if worker.last_saved_end == worker.last_applied_end:
                cluster.workers_with_unsaved_ends.discard(key)
    return flight


def find_version(journal: CommitState, result: Committed | Conflict) -> int | None:
    """Return the version of the transaction in flight; None if the claim is lost.

    A conflict may come from the transaction itself, if an earlier sending of it was
    carried out and its answer lost.
    """
    match result:
        case Committed(version):
            return version
        case Conflict(rows):
            flight = journal.flight
            for row in rows:
                if row.table != TABLE_CONTROL or row.key != LEADER_KEY:
                    continue
                try:
                    is_own = flight and decode_leader(row.value) == flight.row
                except CodecError:
                    return None
                return row.version if is_own else None
    return None
