"""Stores the jobs and cancellations of clients and reads the states of jobs.

Each thread that serves clients has its own connection to the store.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from enum import Enum
from threading import local

from geraniumwell.actors.batch.commit_state import CANCEL_SUFFIX
from geraniumwell.clients.table import (
    Committed,
    Condition,
    Conflict,
    RowWrite,
    StoredRow,
    StoreOutcomeUnknownError,
    StoreRefusedError,
    TableClient,
    TableTransaction,
    find_row,
)
from geraniumwell.clients.table_relay import StoreHealth
from geraniumwell.codec.batch import (
    decode_cancellation,
    decode_spec,
    decode_state,
    encode_cancellation,
    encode_spec,
    find_job_partition,
)
from geraniumwell.codec.json import CodecError
from geraniumwell.commands.batch.cancellation import extend_cancellation
from geraniumwell.const import PARTITION_SCHEDULE, TABLE_JOBS, TABLE_PROGRESS
from geraniumwell.helpers.event_log import EVENT_LOG
from geraniumwell.model.batch.cancellation import Cancellation
from geraniumwell.model.batch.job import JobSpec, JobState

# A conflict needs a submission, a cancellation or a removal of the same id in between.
CANCEL_ATTEMPTS = 3


class JobCallOutcome(Enum):
    """Outcome of a client's call."""

    ACCEPTED = "accepted"
    KNOWN = "known"
    CANCELLED = "cancelled"
    NO_JOB = "no_job"
    FOUND = "found"
    REFUSED = "refused"
    UNKNOWN = "unknown"


@dataclass(slots=True, frozen=True)
class JobCallResult:
    """Outcome of a client's call and, for a state query, the state of the job."""

    code: JobCallOutcome
    state: JobState | None = None


@dataclass(slots=True, frozen=True)
class JobRows:
    """Rows of a job id in the job table; None for a row that does not exist."""

    job: StoredRow | None
    cancellation: StoredRow | None

    def holds_job_of(self, queue: str) -> bool:
        """Return whether the job is stored and was submitted to a queue.

        Raises
        ------
        CodecError
            If the row of the job is unreadable.
        """
        return self.job is not None and decode_spec(self.job.value).queue == queue

    def read_cancellation(self) -> Cancellation | None:
        """Return the stored cancellation.

        Raises
        ------
        CodecError
            If its row is unreadable.
        """
        row = self.cancellation
        return decode_cancellation(row.value, row.version) if row else None


def select_job_rows(job_id: str, rows: Iterable[StoredRow]) -> JobRows:
    """Return the rows of a job id among others."""
    found = {row.key: row for row in rows if not row.is_deleted}
    return JobRows(found.get(job_id), found.get(job_id + CANCEL_SUFFIX))


class JobStore:
    """Translates the calls of clients into transactions and reads of the store.

    Parameters
    ----------
    make_store : callable
        Returns a client of the store with its own connection.
    health : StoreHealth
        While the store is unreachable, calls are refused without being sent. The job
        is then certainly not stored, and the client may retry.
    """

    __slots__ = ("_health", "_local", "_make_store")

    def __init__(
        self, make_store: Callable[[], TableClient], health: StoreHealth
    ) -> None:
        self._make_store = make_store
        self._health = health
        self._local = local()

    def submit(self, spec: JobSpec) -> JobCallResult:
        """Store a job; submitting the same job again has no effect."""
        transaction = TableTransaction(
            (Condition(TABLE_JOBS, spec.id, 0),),
            (RowWrite(TABLE_JOBS, spec.id, encode_spec(spec)),),
            part=find_job_partition(spec.id),
        )
        try:
            result = self._store().commit(transaction)
        except StoreRefusedError as exc:
            return self._report_failure("submit", spec.id, JobCallOutcome.REFUSED, exc)
        except StoreOutcomeUnknownError as exc:
            return self._report_failure("submit", spec.id, JobCallOutcome.UNKNOWN, exc)
        match result:
            case Committed(version):
                EVENT_LOG.write(
                    "job_accepted", job=spec.id, queue=spec.queue, version=version
                )
                return JobCallResult(JobCallOutcome.ACCEPTED)
            case Conflict():
                EVENT_LOG.write("job_known", job=spec.id)
                return JobCallResult(JobCallOutcome.KNOWN)

    def cancel(self, job_id: str, queue: str, wall_now: float) -> JobCallResult:
        """Store the cancellation of a job, also if the store has no such job.

        A submission without a response may be stored later, and the client is told now
        that nothing will run.

        Parameters
        ----------
        wall_now : float
            Present Unix time in seconds.
        """
        try:
            rows = self._read_job_rows(job_id)
            for _ in range(CANCEL_ATTEMPTS):
                is_stored = rows.holds_job_of(queue)
                result = self._commit_cancellation(rows, job_id, queue, wall_now)
                match result:
                    case Committed() if is_stored:
                        EVENT_LOG.write("cancel_accepted", job=job_id)
                        return JobCallResult(JobCallOutcome.CANCELLED)
                    case Committed():
                        EVENT_LOG.write("cancel_without_job", job=job_id, queue=queue)
                        return JobCallResult(JobCallOutcome.NO_JOB)
                    case Conflict(found):
                        rows = select_job_rows(job_id, found)
            raise StoreRefusedError("the rows of the job change with each attempt")
        except (StoreRefusedError, CodecError) as exc:
            return self._report_failure("cancel", job_id, JobCallOutcome.REFUSED, exc)
        except StoreOutcomeUnknownError as exc:
            return self._report_failure("cancel", job_id, JobCallOutcome.UNKNOWN, exc)

    def _commit_cancellation(
        self, rows: JobRows, job_id: str, queue: str, wall_now: float
    ) -> Committed | Conflict:
        cancellation = extend_cancellation(rows.read_cancellation(), queue, wall_now)
        key = job_id + CANCEL_SUFFIX
        # An attempt that is executed late must not cancel a later job with the same id.
        # A cancellation is written anew each time, which keeps it for longer.
        conditions = (
            Condition(TABLE_JOBS, job_id, rows.job.version if rows.job else 0),
            Condition(
                TABLE_JOBS, key, rows.cancellation.version if rows.cancellation else 0
            ),
        )
        write = RowWrite(TABLE_JOBS, key, encode_cancellation(cancellation))
        return self._store().commit(
            TableTransaction(conditions, (write,), part=find_job_partition(job_id))
        )

    def find_state(self, job_id: str, queue: str) -> JobCallResult:
        """Return the state of a job."""
        try:
            row = find_row(self._store(), TABLE_PROGRESS, job_id, PARTITION_SCHEDULE)
            if row is not None:
                state, has_begun = decode_state(row.value)
                if state is JobState.QUEUED and has_begun:
                    state = JobState.RUNNING
                return JobCallResult(JobCallOutcome.FOUND, state)
            if self._find_job(job_id, queue) is None:
                return JobCallResult(JobCallOutcome.NO_JOB)
        except (StoreRefusedError, StoreOutcomeUnknownError, CodecError) as exc:
            return self._report_failure("state", job_id, JobCallOutcome.REFUSED, exc)
        return JobCallResult(JobCallOutcome.FOUND, JobState.QUEUED)

    def _find_job(self, job_id: str, queue: str) -> StoredRow | None:
        row = find_row(self._store(), TABLE_JOBS, job_id, find_job_partition(job_id))
        if row is None:
            return None
        return row if decode_spec(row.value).queue == queue else None

    def _read_job_rows(self, job_id: str) -> JobRows:
        # The row of the cancellation follows that of the job.
        part = find_job_partition(job_id)
        found = self._store().read(TABLE_JOBS, job_id, limit=2, part=part)
        return select_job_rows(job_id, found.rows)

    def _store(self) -> TableClient:
        if self._health.is_unreachable:
            raise StoreRefusedError("the store is unreachable; the call was not sent")
        if not hasattr(self._local, "client"):
            self._local.client = self._make_store()
        return self._local.client

    def _report_failure(
        self, call: str, job_id: str, code: JobCallOutcome, exc: Exception
    ) -> JobCallResult:
        EVENT_LOG.write(
            "call_failed", call=call, job=job_id, outcome=code.value, detail=str(exc)
        )
        return JobCallResult(code)
