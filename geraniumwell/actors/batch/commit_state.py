"""Transactions of the scheduler: one at a time, and each renews the leader claim."""

from dataclasses import dataclass, field
from typing import Any

from geraniumwell.clients.table import (
    Committed,
    Condition,
    Conflict,
    RowRemoval,
    RowWrite,
    TableTransaction,
)
from geraniumwell.codec.batch import (
    decode_leader,
    encode_leader,
    encode_progress,
    encode_stalls,
)
from geraniumwell.codec.interference import encode_interference
from geraniumwell.codec.json import CodecError
from geraniumwell.commands.batch.leadership import (
    HOLDER_VALID_SECONDS,
    RENEW_INTERVAL_SECONDS,
)
from geraniumwell.commands.batch.retention import forget_jobs
from geraniumwell.const import (
    INTERFERENCE_KEY,
    LEADER_KEY,
    PARTITION_SCHEDULE,
    TABLE_CONTROL,
    TABLE_PROGRESS,
)
from geraniumwell.messages.batch import (
    ActorFailed,
    CommitFailed,
    LeaderClaim,
    ReleaseClaim,
    RowsCommitted,
)
from geraniumwell.messages.serving import Tick
from geraniumwell.model.batch.cluster import Cluster, StartTask
from geraniumwell.model.batch.interference import InterferenceTable
from geraniumwell.model.batch.leader import LeaderRow
from geraniumwell.queries.batch.status import count_pending

# The store accepts 100 entries in a transaction; the claim takes one write and one
# condition, and the evidence of interference one write; the sum must not exceed 100.
JOBS_PER_TRANSACTION = 80
REMOVALS_PER_TRANSACTION = 15
STALL_ROWS_PER_TRANSACTION = 2
# Suffix of the key of the row that holds a job's stalls, beside its progress.
STALLS_SUFFIX = ".stalls"
# Suffix of the key of the row that holds a job's cancellation.
CANCEL_SUFFIX = ".x"
# Changes within this time share a transaction.
TRANSACTION_GAP_SECONDS = 0.02
# The evidence changes with each report, and a few seconds of it can be lost.
INTERFERENCE_GAP_SECONDS = 5.0


@dataclass(slots=True)
class InFlightTransaction:
    """A transaction that the store has not confirmed yet.

    Parameters
    ----------
    orders : list of StartTask
        Starts to be sent once the transaction is confirmed.
    applied_ends : dict
        Number of the last end of each worker whose effect the transaction stores.
    removed_jobs : tuple of str
        Ids of the jobs whose progress the transaction removes.
    """

    row: LeaderRow
    transaction: TableTransaction
    jobs: set[str]
    orders: list[StartTask]
    applied_ends: dict[str, int]
    removed_jobs: tuple[str, ...]
    sent_at: float


@dataclass(slots=True)
class CommitState:
    """Pending changes, the transaction in flight and the validity of the leader claim.

    Parameters
    ----------
    valid_until : float
        ``boottime_seconds`` until which no other daemon can have taken the claim.
    orders : list of StartTask
        Starts to be sent once their tasks are stored.
    """

    holder: str
    epoch: int
    version: int
    counter: int
    valid_until: float
    sent_at: float
    orders: list[StartTask] = field(default_factory=list)
    in_flight: InFlightTransaction | None = None
    is_releasing: bool = False


def affects_claim(message: Any) -> bool:
    """Return whether a message affects how long the claim is valid."""
    # Orders need a valid claim, so these messages must not wait behind worker reports.
    match message:
        case RowsCommitted() | CommitFailed() | ActorFailed() | ReleaseClaim():
            return True
        case Tick("renew" | "resend"):
            return True
    return False


def make_commit_state(claim: LeaderClaim) -> CommitState:
    """Return the commit state of a new leader claim."""
    return CommitState(
        claim.row.holder,
        claim.row.epoch,
        claim.version,
        claim.row.counter,
        claim.sent_at + HOLDER_VALID_SECONDS,
        claim.sent_at,
    )


def find_due_time(state: CommitState, cluster: Cluster) -> float:
    """Return the ``boottime_seconds`` at which the next transaction is due."""
    if cluster.unsaved_jobs or state.orders or state.is_releasing:
        return state.sent_at + TRANSACTION_GAP_SECONDS
    return state.sent_at + RENEW_INTERVAL_SECONDS


def begin_transaction(
    state: CommitState, cluster: Cluster, now: float, wall_now: float
) -> InFlightTransaction:
    """Put the pending changes into a transaction and mark it as in flight."""
    jobs = set(sorted(cluster.unsaved_jobs)[:JOBS_PER_TRANSACTION])
    cluster.unsaved_jobs -= jobs
    holder = "" if state.is_releasing and not cluster.unsaved_jobs else state.holder
    row = LeaderRow(holder, state.epoch, state.counter + 1, count_pending(cluster))
    writes = [RowWrite(TABLE_CONTROL, LEADER_KEY, encode_leader(row))]
    for job_id in sorted((jobs & cluster.jobs.keys()) - cluster.removals.removed):
        value = encode_progress(cluster.jobs[job_id])
        writes.append(RowWrite(TABLE_PROGRESS, job_id, value))
    writes += take_stall_rows(cluster)
    writes += make_interference_writes(cluster.interference, now, wall_now)
    removed_jobs, keys = list_progress_removals(cluster)
    removals = [RowRemoval(TABLE_PROGRESS, key) for key in keys]
    transaction = TableTransaction(
        (Condition(TABLE_CONTROL, LEADER_KEY, state.version),),
        tuple(writes),
        tuple(removals),
        PARTITION_SCHEDULE,
    )
    is_complete = not cluster.unsaved_jobs
    orders = [o for o in state.orders if is_complete or o.id.job in jobs]
    state.orders = [o for o in state.orders if not is_complete and o.id.job not in jobs]
    applied_ends = {}
    if is_complete:
        cluster.workers_with_unsaved_ends &= cluster.workers.keys()
        applied_ends = {
            worker_id: cluster.workers[worker_id].last_applied_end
            for worker_id in cluster.workers_with_unsaved_ends
        }
    state.counter += 1
    state.sent_at = now
    state.in_flight = InFlightTransaction(
        row, transaction, jobs, orders, applied_ends, removed_jobs, now
    )
    return state.in_flight


def make_interference_writes(
    table: InterferenceTable, now: float, wall_now: float
) -> list[RowWrite]:
    """Return the write of the interference row, if it is due.

    Nothing is written while no pair is kept apart; a row from before is emptied.
    """
    is_needed = bool(table.opponents) or table.is_stored
    if not is_needed or not table.has_unsaved_changes:
        return []
    if now < table.saved_at + INTERFERENCE_GAP_SECONDS:
        return []
    table.has_unsaved_changes, table.saved_at = False, now
    table.is_stored = bool(table.opponents)
    value = encode_interference(table, now, wall_now)
    return [RowWrite(TABLE_CONTROL, INTERFERENCE_KEY, value)]


def take_stall_rows(cluster: Cluster) -> list[RowWrite]:
    """Return the rows of some jobs whose stalls have changed."""
    jobs = sorted(cluster.unsaved_stalls)[:STALL_ROWS_PER_TRANSACTION]
    cluster.unsaved_stalls.difference_update(jobs)
    removed = cluster.removals.removed
    known = [i for i in jobs if i in cluster.jobs and i not in removed]
    cluster.jobs_with_stall_rows.update(known)
    return [
        RowWrite(
            TABLE_PROGRESS, job_id + STALLS_SUFFIX, encode_stalls(cluster.jobs[job_id])
        )
        for job_id in known
    ]


def list_uncommitted_jobs(state: CommitState) -> set[str]:
    """Return the jobs whose progress is in the transaction in flight."""
    return state.in_flight.jobs if state.in_flight else set()


def list_progress_removals(cluster: Cluster) -> tuple[tuple[str, ...], list[str]]:
    """Return jobs whose rows are gone, and the keys of their progress and stalls."""
    jobs: list[str] = []
    keys: list[str] = []
    for job_id in sorted(cluster.removals.removed):
        own = [job_id]
        if job_id in cluster.jobs_with_stall_rows:
            own.append(job_id + STALLS_SUFFIX)
        if len(keys) + len(own) > REMOVALS_PER_TRANSACTION:
            break
        jobs.append(job_id)
        keys += own
    return tuple(jobs), keys


def confirm_transaction(
    state: CommitState, cluster: Cluster, version: int
) -> InFlightTransaction:
    """Apply the confirmation of the transaction in flight and return it."""
    in_flight = state.in_flight
    assert in_flight is not None
    state.in_flight = None
    state.version = version
    state.valid_until = in_flight.sent_at + HOLDER_VALID_SECONDS
    forget_jobs(cluster, in_flight.removed_jobs)
    for worker_id, number in in_flight.applied_ends.items():
        worker = cluster.workers.get(worker_id)
        if worker is not None and number <= worker.last_applied_end:
            worker.last_saved_end = max(worker.last_saved_end, number)
            cluster.poll_candidates.add(worker_id)
            if worker.last_saved_end == worker.last_applied_end:
                cluster.workers_with_unsaved_ends.discard(worker_id)
    return in_flight


def find_committed_version(
    state: CommitState, result: Committed | Conflict
) -> int | None:
    """Return the version of the transaction in flight; None if the claim is lost.

    The transaction conflicts with itself if an earlier attempt was committed but its
    response was lost.
    """
    match result:
        case Committed(version):
            return version
        case Conflict(rows):
            in_flight = state.in_flight
            for row in rows:
                if row.table != TABLE_CONTROL or row.key != LEADER_KEY:
                    continue
                try:
                    is_own = in_flight and decode_leader(row.value) == in_flight.row
                except CodecError:
                    return None
                return row.version if is_own else None
    return None
