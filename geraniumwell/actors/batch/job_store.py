"""Takes jobs, cancellations and questions of callers to the store.

Each thread that serves callers owns a connection to the store.
"""

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from threading import local

from geraniumwell.actors.batch.commit_state import CANCEL_SUFFIX
from geraniumwell.clients.table import (
    Committed,
    Condition,
    Conflict,
    RowWrite,
    StoreOutcomeUnknownError,
    StoreRefusedError,
    TableClient,
    TableTransaction,
    find_row,
)
from geraniumwell.clients.table_relay import StoreHealth
from geraniumwell.codec.batch import (
    decode_spec,
    decode_state,
    encode_spec,
    find_job_partition,
)
from geraniumwell.codec.json import CodecError
from geraniumwell.const import PARTITION_SCHEDULE, TABLE_JOBS, TABLE_PROGRESS
from geraniumwell.helpers.event_log import EVENT_LOG
from geraniumwell.model.batch.job import JobSpec, JobState


class JobCallOutcome(Enum):
    """Outcome of a caller's call."""

    ACCEPTED = "accepted"
    KNOWN = "known"
    CANCELLED = "cancelled"
    NO_JOB = "no_job"
    FOUND = "found"
    REFUSED = "refused"
    UNKNOWN = "unknown"


@dataclass(slots=True, frozen=True)
class JobCallResult:
    """Outcome of a caller's call, with the job's state where it was asked for."""

    code: JobCallOutcome
    state: JobState | None = None


class JobStore:
    """Turns calls into transactions and reads of the store.

    Parameters
    ----------
    make_store : callable
        Returns a client with a connection of its own.
    health : StoreHealth
        While the store is lost, calls are refused at once: none of them is sent, so a
        refusal is true, and the caller may come again.
    """

    __slots__ = ("_health", "_local", "_make_store")

    def __init__(
        self, make_store: Callable[[], TableClient], health: StoreHealth
    ) -> None:
        self._make_store = make_store
        self._health = health
        self._local = local()

    def submit(self, spec: JobSpec) -> JobCallResult:
        """Store a job; handing the same one in again changes nothing."""
        transaction = TableTransaction(
            (Condition(TABLE_JOBS, spec.id, 0),),
            (RowWrite(TABLE_JOBS, spec.id, encode_spec(spec)),),
            part=find_job_partition(spec.id),
        )
        try:
            result = self._store().commit(transaction)
        except StoreRefusedError as exc:
            return self._fail("submit", spec.id, JobCallOutcome.REFUSED, exc)
        except StoreOutcomeUnknownError as exc:
            return self._fail("submit", spec.id, JobCallOutcome.UNKNOWN, exc)
        match result:
            case Committed(version):
                EVENT_LOG.write(
                    "job_accepted", job=spec.id, queue=spec.queue, version=version
                )
                return JobCallResult(JobCallOutcome.ACCEPTED)
            case Conflict():
                EVENT_LOG.write("job_known", job=spec.id)
                return JobCallResult(JobCallOutcome.KNOWN)

    def cancel(self, job_id: str, queue: str) -> JobCallResult:
        """Store the cancellation of a job."""
        try:
            if self._find_spec(job_id, queue) is None:
                return JobCallResult(JobCallOutcome.NO_JOB)
            write = RowWrite(TABLE_JOBS, job_id + CANCEL_SUFFIX, b"x")
            part = find_job_partition(job_id)
            self._store().commit(TableTransaction((), (write,), part=part))
        except StoreRefusedError as exc:
            return self._fail("cancel", job_id, JobCallOutcome.REFUSED, exc)
        except StoreOutcomeUnknownError as exc:
            return self._fail("cancel", job_id, JobCallOutcome.UNKNOWN, exc)
        EVENT_LOG.write("cancel_accepted", job=job_id)
        return JobCallResult(JobCallOutcome.CANCELLED)

    def find_state(self, job_id: str, queue: str) -> JobCallResult:
        """Return the state of a job."""
        try:
            row = find_row(self._store(), TABLE_PROGRESS, job_id, PARTITION_SCHEDULE)
            if row is not None:
                state, has_begun = decode_state(row.value)
                if state is JobState.QUEUED and has_begun:
                    state = JobState.RUNNING
                return JobCallResult(JobCallOutcome.FOUND, state)
            if self._find_spec(job_id, queue) is None:
                return JobCallResult(JobCallOutcome.NO_JOB)
        except (StoreRefusedError, StoreOutcomeUnknownError, CodecError) as exc:
            return self._fail("state", job_id, JobCallOutcome.REFUSED, exc)
        return JobCallResult(JobCallOutcome.FOUND, JobState.QUEUED)

    def _find_spec(self, job_id: str, queue: str) -> JobSpec | None:
        row = find_row(self._store(), TABLE_JOBS, job_id, find_job_partition(job_id))
        if row is None:
            return None
        spec = decode_spec(row.value)
        return spec if spec.queue == queue else None

    def _store(self) -> TableClient:
        if self._health.is_unreachable:
            raise StoreRefusedError("the store is lost; the call was not sent")
        if not hasattr(self._local, "client"):
            self._local.client = self._make_store()
        return self._local.client

    def _fail(
        self, call: str, job_id: str, code: JobCallOutcome, exc: Exception
    ) -> JobCallResult:
        EVENT_LOG.write(
            "call_failed", call=call, job=job_id, outcome=code.value, detail=str(exc)
        )
        return JobCallResult(code)
