"""Steps of the calls of clients that are stored."""

from behave import given, then, when
from behave.runner import Context

from geraniumwell.actors.batch.commit_state import CANCEL_SUFFIX
from geraniumwell.actors.batch.job_store import JobCallOutcome, JobStore
from geraniumwell.clients.table import RowRange
from geraniumwell.clients.table_relay import StoreHealth
from geraniumwell.codec.batch import encode_spec, find_job_partition
from geraniumwell.const import TABLE_JOBS
from tests.support.batch import make_job, make_step
from tests.support.memory_table import MemoryTable

JOB = "00000000000000a1"
QUEUE = "renders"


class RemovingTable(MemoryTable):
    """Removes the row of a job once it was read."""

    __slots__ = ()

    def read(
        self, table: str, first: str = "", limit: int = 0, part: str = ""
    ) -> RowRange:
        """Return rows, then remove the job's row."""
        found = super().read(table, first, limit, part)
        self.remove(TABLE_JOBS, find_job_partition(JOB), JOB)
        return found


@given("a stored job that ended long ago")
def step_stored(context: Context) -> None:
    context.spec = make_job(JOB, make_step(), queue=QUEUE)


def cancel(context: Context, store: MemoryTable) -> None:
    """Store the job and cancel it."""
    part = find_job_partition(JOB)
    store.put(TABLE_JOBS, part, JOB, encode_spec(context.spec))
    context.store = store
    context.result = JobStore(lambda: store, StoreHealth()).cancel(JOB, QUEUE)


@when("a client cancels the job, and its rows are removed before the job is read")
def step_removed_before(context: Context) -> None:
    context.store = MemoryTable()
    jobs = JobStore(lambda: context.store, StoreHealth())
    context.result = jobs.cancel(JOB, QUEUE)


@when(
    "a client cancels the job, and its rows are removed between the read and the write"
)
def step_removed_between(context: Context) -> None:
    cancel(context, RemovingTable())


@when("a client cancels the job")
def step_cancel(context: Context) -> None:
    cancel(context, MemoryTable())


@then("the client is told that there is no such job")
def step_no_job(context: Context) -> None:
    assert context.result.code is JobCallOutcome.NO_JOB, context.result


@then("the client is told that the job is cancelled")
def step_cancelled(context: Context) -> None:
    assert context.result.code is JobCallOutcome.CANCELLED, context.result


@then("no cancellation is stored")
def step_none_stored(context: Context) -> None:
    assert not context.store.list_keys(TABLE_JOBS)


@then("the cancellation is stored")
def step_stored_cancellation(context: Context) -> None:
    assert JOB + CANCEL_SUFFIX in context.store.list_keys(TABLE_JOBS)
