"""Submissions of jobs, each of which reads the job's row before writing it.

Part of the decider's state; used by the decider's thread only.
"""

from itertools import count

from pykka import ActorRef

from geraniumwell.actors.job_table import JobTable, SubmitWrite
from geraniumwell.clients.platform import Row
from geraniumwell.codec.jobs import make_job_key
from geraniumwell.commands.gangs.admission import Admitted, Rejected, admit
from geraniumwell.messages.gangs import (
    JobAccepted,
    JobOutcomeUnknown,
    JobRefused,
    SubmitJob,
    SubmitResult,
)
from geraniumwell.messages.platform import ReadRows
from geraniumwell.model.gang_view import GangView
from geraniumwell.model.job import Job, JobRecord, JobState
from geraniumwell.util.ids import make_token_hex


class Submissions:
    """Submitted jobs that are not written to the table yet.

    The read before the write distinguishes a platform that is down from one that loses
    responses: if the read fails, nothing was written and the job is certainly refused.
    """

    __slots__ = (
        "_data_centre",
        "_link",
        "_receiver",
        "_table",
        "_tag_prefix",
        "_serial",
        "_open",
    )

    def __init__(
        self, data_centre: str, link: ActorRef, receiver: ActorRef, table: JobTable
    ) -> None:
        self._data_centre = data_centre
        self._link = link
        self._receiver = receiver
        self._table = table
        self._tag_prefix = f"job-submit-{make_token_hex()}"
        self._serial = count()
        self._open: dict[str, SubmitJob] = {}

    def owns_tag(self, tag: str) -> bool:
        """Return whether a response belongs to a submission."""
        return tag in self._open

    def submit(self, message: SubmitJob, view: GangView, wall: float) -> None:
        """Admit a job and read its row."""
        job = message.job
        known = self._table.get(job.job_id)
        if known is not None:
            message.reply.set(self._answer_known(job, known))
            return
        match admit(view, job, wall):
            case Rejected(code, reason):
                message.reply.set(JobRefused(job.job_id, code, reason))
            case Admitted():
                tag = f"{self._tag_prefix}-{next(self._serial)}"
                self._open[tag] = message
                key = make_job_key(self._data_centre, job.job_id)
                self._link.tell(ReadRows(tag, self._receiver, key))

    def _answer_known(self, job: Job, known: JobRecord) -> SubmitResult:
        if known.job != job:
            reason = "another job has this id"
            return JobRefused(job.job_id, "job_id_taken", reason)
        if known.state is JobState.ACCEPTED and self._table.is_writing(job.job_id):
            reason = "an earlier submission of the job is not confirmed yet"
            return JobOutcomeUnknown(job.job_id, reason)
        return JobAccepted(job.job_id)

    def handle_rows(self, tag: str, rows: tuple[Row, ...]) -> None:
        """Write the job, unless its row already exists."""
        message = self._open.pop(tag)
        job = message.job
        key = make_job_key(self._data_centre, job.job_id)
        self._table.load(row for row in rows if row.key == key)
        known = self._table.get(job.job_id)
        if known is not None:
            message.reply.set(self._answer_known(job, known))
            return
        record = JobRecord(job, JobState.ACCEPTED)
        self._table.write(record, SubmitWrite(message.reply))

    def handle_failed(self, tag: str, reason: str) -> None:
        """Refuse a job whose row could not be read; nothing was written."""
        message = self._open.pop(tag)
        job_id = message.job.job_id
        message.reply.set(JobRefused(job_id, "platform_unavailable", reason))

    def refuse_all(self, reason: str) -> None:
        """Refuse all jobs that were not written yet."""
        for message in self._open.values():
            refusal = JobRefused(message.job.job_id, "not_decider", reason)
            message.reply.set(refusal)
        self._open.clear()
