"""Job records of one data centre and the writes on their way to the table.

Part of the decider's state; only the decider's thread uses it.
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


@dataclass(slots=True, frozen=True)
class SubmitNoted:
    """The write accepts a job."""

    reply: Future[SubmitResult]


@dataclass(slots=True, frozen=True)
class CancelNoted:
    """The write cancels a job, or makes it stop."""

    reply: Future[SubmitResult]


@dataclass(slots=True, frozen=True)
class StartNoted:
    """The write allows a start."""

    start: StartGang


@dataclass(slots=True, frozen=True)
class EndNoted:
    """The write records that none of the leases is in use any more."""

    leases: tuple[TaskLease, ...]


@dataclass(slots=True, frozen=True)
class StateNoted:
    """The write records a state that needs no further step."""


Note = SubmitNoted | CancelNoted | StartNoted | EndNoted | StateNoted


@dataclass(slots=True, frozen=True)
class Written:
    """A record is in the table."""

    record: JobRecord
    note: Note


@dataclass(slots=True, frozen=True)
class WriteLost:
    """Another writer changed the row, so the record was not written."""

    record: JobRecord
    note: Note


@dataclass(slots=True, frozen=True)
class Unanswered:
    """The platform gave no answer to a write, which is repeated until it does."""

    record: JobRecord
    note: Note
    failures: int


@dataclass(slots=True, frozen=True)
class ClaimLost:
    """Another decider claimed the data centre.

    ``is_certain`` tells that no earlier sending of the write can have taken effect.
    """

    record: JobRecord
    note: Note
    is_certain: bool


@dataclass(slots=True, frozen=True)
class ChangedOutside:
    """A row was written by someone else."""

    record: JobRecord


Change = Written | WriteLost | Unanswered | ClaimLost | ChangedOutside


@dataclass(slots=True)
class _Base:
    record: JobRecord
    version: int
    value: str


@dataclass(slots=True)
class _Write:
    record: JobRecord
    note: Note
    tag: str = ""
    failures: int = 0


class JobTable:
    """The decider's copy of its job rows; each row has one write under way at most.

    A write is conditional on the row's version and on the claim of this decider. So
    it may be repeated, and a decider that was replaced can't write at all.
    """

    __slots__ = (
        "_data_centre",
        "_link",
        "_receiver",
        "_bases",
        "_queues",
        "_by_tag",
        "_tag_prefix",
        "_serial",
        "_epoch",
        "_claim_version",
        "is_scan_due",
        "live",
    )

    def __init__(self, data_centre: str, link: ActorRef, receiver: ActorRef) -> None:
        self._data_centre = data_centre
        self._link = link
        self._receiver = receiver
        # Answers to an earlier table of this daemon must not be taken for these.
        self._tag_prefix = f"job-write-{make_token_hex()}"
        self._serial = count()
        self._epoch = 0
        self._claim_version = 0
        self.clear()

    def clear(self) -> None:
        """Forget all rows and writes."""
        self._bases: dict[str, _Base] = {}
        self._queues: dict[str, list[_Write]] = {}
        self._by_tag: dict[str, str] = {}
        self.live: dict[str, JobRecord] = {}
        self.is_scan_due = False

    def begin(self, epoch: int, claim_version: int) -> None:
        """Write under a claim from now on."""
        self.clear()
        self._epoch = epoch
        self._claim_version = claim_version

    def get(self, job_id: str) -> JobRecord | None:
        """Return the newest record of a job, written or on its way."""
        queue = self._queues.get(job_id)
        if queue:
            return queue[-1].record
        base = self._bases.get(job_id)
        return base.record if base else None

    def list_all(self) -> tuple[JobRecord, ...]:
        """Return the newest records of all jobs."""
        found = (self.get(job_id) for job_id in {**self._bases, **self._queues})
        return tuple(record for record in found if record is not None)

    def is_writing(self, job_id: str) -> bool:
        """Return whether a write of this job is not confirmed."""
        return job_id in self._queues

    def load(self, rows: Iterable[Row]) -> list[Change]:
        """Take over rows that are newer than the known ones."""
        changes: list[Change] = []
        for row in rows:
            job_id = row.key.rpartition("/")[2]
            base = self._bases.get(job_id)
            if job_id in self._queues or (base and base.version >= row.version):
                continue
            record = self._decode(row)
            if record is not None:
                self._bases[job_id] = _Base(record, row.version, row.value)
                self._refresh(job_id)
                changes.append(ChangedOutside(record))
        return changes

    def write(self, record: JobRecord, note: Note) -> None:
        """Write a record once the earlier writes of the job are confirmed."""
        record = replace(record, epoch=self._epoch)
        job_id = record.job.job_id
        queue = self._queues.setdefault(job_id, [])
        queue.append(_Write(record, note))
        self._refresh(job_id)
        if len(queue) == 1:
            self._send(job_id)

    def repeat_unanswered(self) -> None:
        """Read back the rows of writes that got no answer.

        A write that is not in its row is sent again; only one of both can take
        effect.
        """
        for job_id, queue in self._queues.items():
            if not queue[0].tag:
                self._read_back(job_id)

    def note_outage(self) -> list[Change]:
        """Count an unanswered poll against the writes that wait to be repeated."""
        changes: list[Change] = []
        for queue in self._queues.values():
            write = queue[0]
            if not write.tag:
                write.failures += 1
                changes.append(Unanswered(write.record, write.note, write.failures))
        return changes

    def list_unwritten(self) -> tuple[tuple[JobRecord, Note], ...]:
        """Return the records that are not confirmed, with their notes."""
        writes = (w for queue in self._queues.values() for w in queue)
        return tuple((w.record, w.note) for w in writes)

    def abandon(self, job_id: str) -> None:
        """Stop repeating the writes of a job; one under way may still take effect."""
        for write in self._queues.pop(job_id, []):
            self._by_tag.pop(write.tag, None)
        self.is_scan_due = True
        self._refresh(job_id)

    def owns_tag(self, tag: str) -> bool:
        """Return whether an answer belongs to a write of this table."""
        return tag in self._by_tag

    def note_transacted(self, tag: str) -> list[Change]:
        """Take over a confirmed write."""
        job_id = self._by_tag.pop(tag)
        base = self._bases.get(job_id)
        return self._confirm(job_id, base.version + 1 if base else 1)

    def note_refused(self, tag: str, key: str) -> list[Change]:
        """Read the row back, since the refused write may repeat one that took effect.

        The claim decides first: under another claim nothing of this decider counts.
        """
        job_id = self._by_tag.pop(tag)
        if key == make_claim_key(self._data_centre):
            write = self._queues.pop(job_id)[0]
            return [ClaimLost(write.record, write.note, write.failures == 0)]
        self._read_back(job_id)
        return []

    def _read_back(self, job_id: str) -> None:
        write = self._queues[job_id][0]
        write.tag = self._make_tag(job_id)
        prefix = make_job_key(self._data_centre, job_id)
        self._link.tell(ReadRows(write.tag, self._receiver, prefix))

    def note_rows(self, tag: str, rows: tuple[Row, ...]) -> list[Change]:
        """Judge a refused or unanswered write by the row that is in the table."""
        job_id = self._by_tag.pop(tag)
        write = self._queues[job_id][0]
        key = make_job_key(self._data_centre, job_id)
        row = next((r for r in rows if r.key == key), None)
        base = self._bases.get(job_id)
        if row is not None and row.value == encode_record(write.record):
            return self._confirm(job_id, row.version)
        if row is None and base is None:
            self._send(job_id)
            return []
        if row is not None and base is not None and row.value == base.value:
            base.version = row.version
            self._send(job_id)
            return []
        return self._give_way(job_id, row)

    def note_failed(self, tag: str) -> list[Change]:
        """Note that a write or its reading back got no answer."""
        write = self._queues[self._by_tag.pop(tag)][0]
        write.tag = ""
        write.failures += 1
        return [Unanswered(write.record, write.note, write.failures)]

    def _make_tag(self, job_id: str) -> str:
        tag = f"{self._tag_prefix}-{next(self._serial)}"
        self._by_tag[tag] = job_id
        return tag

    def _send(self, job_id: str) -> None:
        write = self._queues[job_id][0]
        base = self._bases.get(job_id)
        key = make_job_key(self._data_centre, job_id)
        placement_key = make_placement_key(self._data_centre, job_id)
        puts = [Put(key, encode_record(write.record))]
        deletes: tuple[str, ...] = ()
        match write.note:
            case StartNoted(start):
                puts.append(Put(placement_key, encode_placement(start.leases)))
            case EndNoted():
                deletes = (placement_key,)
        conditions = (
            Condition(make_claim_key(self._data_centre), self._claim_version),
            Condition(key, base.version if base else 0),
        )
        write.tag = self._make_tag(job_id)
        transaction = Transaction(conditions, tuple(puts), deletes)
        self._link.tell(Transact(write.tag, self._receiver, transaction))

    def _confirm(self, job_id: str, version: int) -> list[Change]:
        queue = self._queues[job_id]
        write = queue.pop(0)
        value = encode_record(write.record)
        self._bases[job_id] = _Base(write.record, version, value)
        self._continue(job_id)
        return [Written(write.record, write.note)]

    def _give_way(self, job_id: str, row: Row | None) -> list[Change]:
        lost = [WriteLost(w.record, w.note) for w in self._queues.pop(job_id)]
        self._bases.pop(job_id, None)
        self._refresh(job_id)
        return [*lost, *self.load((row,) if row else ())]

    def _continue(self, job_id: str) -> None:
        if self._queues[job_id]:
            self._send(job_id)
        else:
            del self._queues[job_id]
        self._refresh(job_id)

    def _refresh(self, job_id: str) -> None:
        record = self.get(job_id)
        if record is None or record.state in ENDED_JOB_STATES:
            self.live.pop(job_id, None)
        else:
            self.live[job_id] = record

    def _decode(self, row: Row) -> JobRecord | None:
        try:
            return decode_record(row.value)
        except CodecError as exc:
            logger.error("row {} is ignored: {}", row.key, exc)
            return None
