"""Steps for the job manager, with recorded calls to the platform and workers."""

from typing import Any

from behave import given, then, when
from behave.runner import Context
from msgspec import convert
from pykka import ThreadingFuture

from geraniumwell.actors.gang_runner import GangRunner
from geraniumwell.actors.job_manager import UNANSWERED_LIMIT, JobManager
from geraniumwell.actors.job_table import JobTable, StateWrite, SubmitWrite
from geraniumwell.actors.worker_pool import WorkerPool
from geraniumwell.clients.platform import Condition, Row
from geraniumwell.codec.jobs import decode_record, encode_record, make_job_key
from geraniumwell.commands.gangs.policy import Policy
from geraniumwell.messages.gangs import CancelJob, JobAccepted, JobOutcomeUnknown
from geraniumwell.messages.platform import ReadRows, Transact
from geraniumwell.messages.workers import TaskAnswered
from geraniumwell.model.config import Configuration, Organisation
from geraniumwell.model.gang_run import ReserveTask
from geraniumwell.model.gang_view import RejectJob
from geraniumwell.model.instant import Instant
from geraniumwell.model.job import Job, JobRecord, JobState
from geraniumwell.model.worker import TaskReport, TaskState, Worker
from tests.support.gangs import DATA_CENTRE, make_job

AT = Instant(100.0, 1_000_000.0)
KEY = make_job_key(DATA_CENTRE, "g-1")


class RecordedRef:
    """Records the messages that an actor would get."""

    def __init__(self) -> None:
        # Begins with None, so that steps can always read the last message.
        self.messages: list[Any] = [None]

    def tell(self, message: Any) -> None:
        """Record a message."""
        self.messages.append(message)


class RecordedPool(WorkerPool):
    """Records the calls that workers would get."""

    __slots__ = ("calls",)

    def call(self, worker: str, call: Any, now: float) -> bool:
        """Record a call."""
        self.calls.append(call)
        return True


def load_row(context: Context, attempt: int, version: int) -> None:
    """Load a row of the accepted job into the table."""
    record = JobRecord(context.job, JobState.ACCEPTED, attempt)
    context.rows.load((Row(KEY, version, encode_record(record)),))
    context.row_value = encode_record(record)


def answer_row_read(context: Context, value: str, version: int) -> None:
    """Answer the last read of the job's row."""
    read = context.link.messages[-1]
    assert isinstance(read, ReadRows), read
    events = context.rows.handle_rows(read.tag, (Row(KEY, version, value),))
    context.manager.handle_table_events(events, AT)


@given("a job manager with an accepted job of 2 members on 2 workers")
def step_manager(context: Context) -> None:
    context.link = RecordedRef()
    names = ("w-0", "w-1")
    workers = {n: Worker(n, DATA_CENTRE, "r-1", "", 8, 32, 128) for n in names}
    cfg = Configuration(1, {"desks": Organisation("desks")}, workers=workers)
    context.pool = RecordedPool(RecordedRef(), lambda worker: None)
    context.pool.calls = []
    context.rows = JobTable(DATA_CENTRE, context.link, RecordedRef())
    context.rows.begin(1, 1)
    context.runner = GangRunner(context.pool, 1)
    context.manager = JobManager(
        DATA_CENTRE, context.rows, context.runner, context.pool, Policy(), cfg
    )
    context.job = convert(make_job("g-1", 2), Job)
    load_row(context, attempt=0, version=1)


@given("the job has had 1 attempt")
def step_attempted(context: Context) -> None:
    load_row(context, attempt=1, version=2)


@when("the manager plans")
def step_plan(context: Context) -> None:
    context.manager.run_plan(AT)


@when("the write is confirmed")
def step_confirm(context: Context) -> None:
    write = context.link.messages[-1]
    assert isinstance(write, Transact), write
    context.manager.handle_table_events(context.rows.handle_transacted(write.tag), AT)


@when("the write gets no answer")
def step_no_answer(context: Context) -> None:
    write = context.link.messages[-1]
    context.manager.handle_table_events(context.rows.handle_failed(write.tag), AT)
    assert not context.pool.calls, context.pool.calls
    context.rows.repeat_unanswered()


@when("the row is read back and holds the start")
def step_read_back(context: Context) -> None:
    answer_row_read(context, encode_record(context.rows.get("g-1")), version=2)


@when('the write is refused and the row holds the state "{state}"')
def step_refused(context: Context, state: str) -> None:
    context.rows.handle_refused(context.link.messages[-1].tag, KEY)
    other = JobRecord(context.job, JobState(state))
    answer_row_read(context, encode_record(other), version=2)


@when("the write is refused and the row is unchanged at version {version:d}")
def step_unchanged(context: Context, version: int) -> None:
    context.rows.handle_refused(context.link.messages[-1].tag, KEY)
    answer_row_read(context, context.row_value, version)


@when("the job is cancelled")
def step_cancel(context: Context) -> None:
    message = CancelJob("g-1", "ana", "no longer needed", ThreadingFuture())
    context.manager.cancel(message, is_platform_down=False)


@when("the job is rejected")
def step_reject(context: Context) -> None:
    context.manager.execute(RejectJob("g-1", "it never fits"), AT)


@then("the start is being written and no worker was called")
def step_written(context: Context) -> None:
    write = context.link.messages[-1]
    assert isinstance(write, Transact), write
    assert len(write.transaction.puts) == 2, write
    assert context.rows.get("g-1").state is JobState.STARTING
    assert not context.pool.calls


@then("both workers were asked to reserve")
def step_reserved(context: Context) -> None:
    calls = context.pool.calls
    assert [type(c) for c in calls] == [ReserveTask] * 2, calls
    assert {c.lease.worker for c in calls} == {"w-0", "w-1"}


@when("each attempt of the gang fails on the first worker")
def step_fails(context: Context) -> None:
    context.attempts = 0
    for second in range(200):
        at = Instant(AT.monotonic + second, AT.wall + second)
        context.manager.run_plan(at)
        while isinstance(context.link.messages[-1], Transact):
            tag = context.link.messages.pop().tag
            context.manager.handle_table_events(context.rows.handle_transacted(tag), at)
        for gang in list(context.runner.gangs.values()):
            context.attempts += 1
            states = (TaskState.FAILED, TaskState.STOPPED)
            for lease, state in zip(gang.leases, states, strict=True):
                report = TaskReport(lease, state, 0.0, reason="exit status 1")
                answer = TaskAnswered(lease.worker, 1, ReserveTask(lease), report)
                context.manager.record_updates(
                    context.runner.handle(answer, at.monotonic), at
                )


@then('the job was tried {number:d} times and its record has the state "{state}"')
def step_tried(context: Context, number: int, state: str) -> None:
    assert context.attempts == number, context.attempts
    assert context.rows.get("g-1").state == state, context.rows.get("g-1")


@when("an earlier table of this daemon had a write in flight")
def step_earlier(context: Context) -> None:
    link = RecordedRef()
    earlier = JobTable(DATA_CENTRE, link, RecordedRef())
    earlier.write(JobRecord(context.job, JobState.ACCEPTED), StateWrite())
    context.old_tag = link.messages[-1].tag


@then("the answer to that write is not matched to a write of this table")
def step_not_taken(context: Context) -> None:
    assert not context.rows.owns_tag(context.old_tag)


@then("no worker was called")
def step_no_call(context: Context) -> None:
    assert not context.pool.calls, context.pool.calls


@then("no lease is held")
def step_no_lease(context: Context) -> None:
    assert not len(context.runner.leases)


@then('the job\'s record has the state "{state}"')
def step_record(context: Context, state: str) -> None:
    assert context.rows.get("g-1").state == state, context.rows.get("g-1")


@when("the submission of another job is being written")
def step_submit_other(context: Context) -> None:
    context.other = JobRecord(convert(make_job("g-2", 2), Job), JobState.ACCEPTED)
    context.submission = ThreadingFuture()
    context.rows.write(context.other, SubmitWrite(context.submission))


def lose_answers(context: Context) -> None:
    """Leave the write and the reads of its row unanswered until it is abandoned."""
    for _ in range(UNANSWERED_LIMIT):
        tag = context.link.messages[-1].tag
        events = context.rows.handle_failed(tag)
        context.manager.handle_table_events(events, AT)
        context.rows.repeat_unanswered()


def cancel_other(context: Context) -> None:
    """Cancel the other job."""
    context.cancellation = ThreadingFuture()
    message = CancelJob("g-2", "ana", "no longer needed", context.cancellation)
    context.manager.cancel(message, is_platform_down=False)


@when("the other job is cancelled after its write got no answer")
def step_cancel_after(context: Context) -> None:
    lose_answers(context)
    cancel_other(context)


@when("the other job is cancelled while its write is not answered")
def step_cancel_during(context: Context) -> None:
    cancel_other(context)
    lose_answers(context)


@then("the submission is answered as unknown")
def step_submission_unknown(context: Context) -> None:
    found = context.submission.get(timeout=0)
    assert isinstance(found, JobOutcomeUnknown), found


@then("the cancellation is being written on the condition that the job has no row")
def step_cancellation_written(context: Context) -> None:
    write = context.link.messages[-1]
    assert isinstance(write, Transact), write
    key = make_job_key(DATA_CENTRE, "g-2")
    assert Condition(key, 0) in write.transaction.conditions, write
    (put,) = write.transaction.puts
    assert decode_record(put.value).state is JobState.CANCELLED, put


@then("the cancellation is answered as accepted")
def step_cancellation_accepted(context: Context) -> None:
    found = context.cancellation.get(timeout=0)
    assert found == JobAccepted("g-2"), found


@when("the submission is stored late")
def step_stored_late(context: Context) -> None:
    # Its condition is that the job has no row, and the row has version 1 now.
    late = Row(make_job_key(DATA_CENTRE, "g-2"), 1, encode_record(context.other))
    context.manager.handle_table_events(context.rows.load((late,)), AT)


@then('the other job\'s record has the state "{state}"')
def step_other_record(context: Context, state: str) -> None:
    assert context.rows.get("g-2").state == state, context.rows.get("g-2")
