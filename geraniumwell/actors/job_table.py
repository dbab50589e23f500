"""Job records of one data centre and their pending writes to the table.

Part of the decider's state; used by the decider's thread only.
"""

from collections.abc import Iterable
from dataclasses import dataclass, replace
from itertools import count

from loguru import logger
from pykka import ActorRef, Future

from geraniumwell.clients.platform import Condition, Put, Row, Transaction
from geraniumwell.codec.jobs import (
    decode_record,
    encode_placement,
    encode_record,
    make_claim_key,
    make_job_key,
    make_placement_key,
)
from geraniumwell.codec.json import CodecError
from geraniumwell.commands.gangs.job_ends import ENDED_JOB_STATES
from geraniumwell.messages.gangs import SubmitResult
from geraniumwell.messages.platform import ReadRows, Transact
from geraniumwell.model.gang_view import StartGang
from geraniumwell.model.job import JobRecord
from geraniumwell.model.worker import TaskLease
from geraniumwell.util.ids import make_token_hex

# Submissions without a response that can still be cancelled. After an outage only the
# latest ones are kept, because each of them holds the definition of its job.
ABANDONED_LIMIT = 1_000


@dataclass(slots=True, frozen=True)
class SubmitWrite:
    """The write records an accepted job."""

    reply: Future[SubmitResult]


@dataclass(slots=True, frozen=True)
class CancelWrite:
    """The write records that a job is cancelled, or is stopping to be cancelled."""

    reply: Future[SubmitResult]


@dataclass(slots=True, frozen=True)
class StartWrite:
    """The write records a start, which may begin afterwards."""

    start: StartGang


@dataclass(slots=True, frozen=True)
class EndWrite:
    """The write records an end, after which none of the leases is in use."""

    leases: tuple[TaskLease, ...]


@dataclass(slots=True, frozen=True)
class StateWrite:
    """The write records a state that needs no further step."""


WritePurpose = SubmitWrite | CancelWrite | StartWrite | EndWrite | StateWrite


@dataclass(slots=True, frozen=True)
class WriteConfirmed:
    """The record is in the table."""

    record: JobRecord
    purpose: WritePurpose


@dataclass(slots=True, frozen=True)
class WriteSuperseded:
    """Another writer changed the row, so the record was not written."""

    record: JobRecord
    purpose: WritePurpose


@dataclass(slots=True, frozen=True)
class WriteUnanswered:
    """A write got no response; it is repeated until it gets one."""

    record: JobRecord
    purpose: WritePurpose
    failures: int


@dataclass(slots=True, frozen=True)
class ClaimLost:
    """Another decider claimed the data centre.

    If ``is_certain``, no earlier attempt of the write can have taken effect.
    """

    record: JobRecord
    purpose: WritePurpose
    is_certain: bool


@dataclass(slots=True, frozen=True)
class ChangedExternally:
    """Another writer changed a row."""

    record: JobRecord


JobTableEvent = (
    WriteConfirmed | WriteSuperseded | WriteUnanswered | ClaimLost | ChangedExternally
)


@dataclass(slots=True)
class _StoredRecord:
    record: JobRecord
    version: int
    value: str


@dataclass(slots=True)
class _Write:
    record: JobRecord
    purpose: WritePurpose
    tag: str = ""
    failures: int = 0


class JobTable:
    """The decider's copy of its job rows, with at most one write in flight per row.

    Writes are conditional on the row's version and on the claim of this decider.
    Therefore they can be repeated, and a decider that was replaced can't write.
    """

    __slots__ = (
        "_abandoned",
        "_data_centre",
        "_link",
        "_receiver",
        "_stored",
        "_queues",
        "_by_tag",
        "_tag_prefix",
        "_serial",
        "_epoch",
        "_claim_version",
        "is_scan_due",
        "unfinished",
    )

    def __init__(self, data_centre: str, link: ActorRef, receiver: ActorRef) -> None:
        self._data_centre = data_centre
        self._link = link
        self._receiver = receiver
        # Distinguishes responses to writes of an earlier table of this daemon.
        self._tag_prefix = f"job-write-{make_token_hex()}"
        self._serial = count()
        self._epoch = 0
        self._claim_version = 0
        self.clear()

    def clear(self) -> None:
        """Remove all rows and writes."""
        self._stored: dict[str, _StoredRecord] = {}
        self._queues: dict[str, list[_Write]] = {}
        self._by_tag: dict[str, str] = {}
        self._abandoned: dict[str, JobRecord] = {}
        self.unfinished: dict[str, JobRecord] = {}
        self.is_scan_due = False

    def begin(self, epoch: int, claim_version: int) -> None:
        """Start to write under a claim."""
        self.clear()
        self._epoch = epoch
        self._claim_version = claim_version

    def get(self, job_id: str) -> JobRecord | None:
        """Return the newest record of a job, whether its write is confirmed or not."""
        queue = self._queues.get(job_id)
        if queue:
            return queue[-1].record
        stored = self._stored.get(job_id)
        return stored.record if stored else None

    def list_all(self) -> tuple[JobRecord, ...]:
        """Return the newest records of all jobs."""
        found = (self.get(job_id) for job_id in {**self._stored, **self._queues})
        return tuple(record for record in found if record is not None)

    def is_writing(self, job_id: str) -> bool:
        """Return whether a write of this job is not confirmed yet."""
        return job_id in self._queues

    def load(self, rows: Iterable[Row]) -> list[JobTableEvent]:
        """Apply rows that are newer than the known ones."""
        events: list[JobTableEvent] = []
        for row in rows:
            job_id = row.key.rpartition("/")[2]
            stored = self._stored.get(job_id)
            if job_id in self._queues or (stored and stored.version >= row.version):
                continue
            record = self._decode(row)
            if record is not None:
                self._stored[job_id] = _StoredRecord(record, row.version, row.value)
                self._abandoned.pop(job_id, None)
                self._refresh_unfinished(job_id)
                events.append(ChangedExternally(record))
        return events

    def write(self, record: JobRecord, purpose: WritePurpose) -> None:
        """Write a record once the earlier writes of the job are confirmed."""
        record = replace(record, epoch=self._epoch)
        job_id = record.job.job_id
        self._abandoned.pop(job_id, None)
        queue = self._queues.setdefault(job_id, [])
        queue.append(_Write(record, purpose))
        self._refresh_unfinished(job_id)
        if len(queue) == 1:
            self._send(job_id)

    def repeat_unanswered(self) -> None:
        """Read back the rows of writes that got no response.

        A write that is not in its row is sent again; its conditions allow only one of
        the two to take effect.
        """
        for job_id, queue in self._queues.items():
            if not queue[0].tag:
                self._read_back(job_id)

    def count_outage(self) -> list[JobTableEvent]:
        """Count an unanswered poll as a failure of the writes that must be repeated."""
        events: list[JobTableEvent] = []
        for queue in self._queues.values():
            write = queue[0]
            if not write.tag:
                write.failures += 1
                events.append(
                    WriteUnanswered(write.record, write.purpose, write.failures)
                )
        return events

    def list_unwritten(self) -> tuple[tuple[JobRecord, WritePurpose], ...]:
        """Return the records of unconfirmed writes, with the purposes of the writes."""
        writes = (w for queue in self._queues.values() for w in queue)
        return tuple((w.record, w.purpose) for w in writes)

    def abandon(self, job_id: str) -> None:
        """Stop repeating the submission of a job; it may still take effect.

        A cancellation that waits behind it is written at once. Both have the condition
        that the job has no row, so that only one of them takes effect.
        """
        writes = self._queues.pop(job_id, [])
        for write in writes:
            self._by_tag.pop(write.tag, None)
        self.is_scan_due = True
        self._refresh_unfinished(job_id)
        if writes:
            self._remember_abandoned(writes[0].record)
        for write in writes[1:]:
            match write.purpose:
                case CancelWrite():
                    self.write(write.record, write.purpose)

    def _remember_abandoned(self, record: JobRecord) -> None:
        if len(self._abandoned) >= ABANDONED_LIMIT:
            del self._abandoned[next(iter(self._abandoned))]
        self._abandoned[record.job.job_id] = record

    def get_abandoned(self, job_id: str) -> JobRecord | None:
        """Return the record of a submission that may still take effect."""
        return self._abandoned.get(job_id)

    def owns_tag(self, tag: str) -> bool:
        """Return whether a response belongs to a write of this table."""
        return tag in self._by_tag

    def handle_transacted(self, tag: str) -> list[JobTableEvent]:
        """Apply the confirmation of a write."""
        job_id = self._by_tag.pop(tag)
        stored = self._stored.get(job_id)
        return self._confirm(job_id, stored.version + 1 if stored else 1)

    def handle_refused(self, tag: str, key: str) -> list[JobTableEvent]:
        """Read the row back, because the refused write may repeat one that took effect.

        If the claim was refused, the claim is lost and no write can succeed any more.
        """
        job_id = self._by_tag.pop(tag)
        if key == make_claim_key(self._data_centre):
            write = self._queues.pop(job_id)[0]
            return [ClaimLost(write.record, write.purpose, write.failures == 0)]
        self._read_back(job_id)
        return []

    def _read_back(self, job_id: str) -> None:
        write = self._queues[job_id][0]
        write.tag = self._make_tag(job_id)
        prefix = make_job_key(self._data_centre, job_id)
        self._link.tell(ReadRows(write.tag, self._receiver, prefix))

    def handle_rows(self, tag: str, rows: tuple[Row, ...]) -> list[JobTableEvent]:
        """Determine the result of a refused or unanswered write from the row."""
        job_id = self._by_tag.pop(tag)
        write = self._queues[job_id][0]
        key = make_job_key(self._data_centre, job_id)
        row = next((r for r in rows if r.key == key), None)
        stored = self._stored.get(job_id)
        if row is not None and row.value == encode_record(write.record):
            return self._confirm(job_id, row.version)
        if row is None and stored is None:
            self._send(job_id)
            return []
        if row is not None and stored is not None and row.value == stored.value:
            stored.version = row.version
            self._send(job_id)
            return []
        return self._accept_row(job_id, row)

    def handle_failed(self, tag: str) -> list[JobTableEvent]:
        """Record that a write, or the read of its row, got no response."""
        write = self._queues[self._by_tag.pop(tag)][0]
        write.tag = ""
        write.failures += 1
        return [WriteUnanswered(write.record, write.purpose, write.failures)]

    def _make_tag(self, job_id: str) -> str:
        tag = f"{self._tag_prefix}-{next(self._serial)}"
        self._by_tag[tag] = job_id
        return tag

    def _send(self, job_id: str) -> None:
        write = self._queues[job_id][0]
        stored = self._stored.get(job_id)
        key = make_job_key(self._data_centre, job_id)
        placement_key = make_placement_key(self._data_centre, job_id)
        puts = [Put(key, encode_record(write.record))]
        deletes: tuple[str, ...] = ()
        match write.purpose:
            case StartWrite(start):
                puts.append(Put(placement_key, encode_placement(start.leases)))
            case EndWrite():
                deletes = (placement_key,)
        conditions = (
            Condition(make_claim_key(self._data_centre), self._claim_version),
            Condition(key, stored.version if stored else 0),
        )
        write.tag = self._make_tag(job_id)
        transaction = Transaction(conditions, tuple(puts), deletes)
        self._link.tell(Transact(write.tag, self._receiver, transaction))

    def _confirm(self, job_id: str, version: int) -> list[JobTableEvent]:
        queue = self._queues[job_id]
        write = queue.pop(0)
        value = encode_record(write.record)
        self._stored[job_id] = _StoredRecord(write.record, version, value)
        self._send_next(job_id)
        return [WriteConfirmed(write.record, write.purpose)]

    def _accept_row(self, job_id: str, row: Row | None) -> list[JobTableEvent]:
        lost = [WriteSuperseded(w.record, w.purpose) for w in self._queues.pop(job_id)]
        self._stored.pop(job_id, None)
        self._refresh_unfinished(job_id)
        return [*lost, *self.load((row,) if row else ())]

    def _send_next(self, job_id: str) -> None:
        if self._queues[job_id]:
            self._send(job_id)
        else:
            del self._queues[job_id]
        self._refresh_unfinished(job_id)

    def _refresh_unfinished(self, job_id: str) -> None:
        record = self.get(job_id)
        if record is None or record.state in ENDED_JOB_STATES:
            self.unfinished.pop(job_id, None)
        else:
            self.unfinished[job_id] = record

    def _decode(self, row: Row) -> JobRecord | None:
        try:
            return decode_record(row.value)
        except CodecError as exc:
            logger.error("ignoring row {}: {}", row.key, exc)
            return None
