"""Steps of the calls of clients that are stored."""

from collections.abc import Callable

from behave import given, then, when
from behave.runner import Context

from geraniumwell.actors.batch.commit_state import CANCEL_SUFFIX
from geraniumwell.actors.batch.job_store import JobCallOutcome, JobStore
from geraniumwell.clients.table import RowRange
from geraniumwell.clients.table_relay import StoreHealth
from geraniumwell.codec.batch import (
    decode_cancellation,
    encode_spec,
    find_job_partition,
)
from geraniumwell.const import TABLE_JOBS
from geraniumwell.model.batch.cancellation import Cancellation
from tests.support.batch import WALL, make_job, make_step
from tests.support.memory_table import MemoryTable

JOB = "00000000000000a1"
PART = find_job_partition(JOB)
QUEUE = "renders"
OTHER_QUEUE = "quotes"


class ChangingTable(MemoryTable):
    """Changes its rows once they were read."""

    __slots__ = ("change",)

    def __init__(self, change: Callable[[MemoryTable], None]) -> None:
        super().__init__()
        self.change = change

    def read(
        self, table: str, first: str = "", limit: int = 0, part: str = ""
    ) -> RowRange:
        """Return rows, then change them."""
        found = super().read(table, first, limit, part)
        self.change(self)
        return found


def remove_job(table: MemoryTable) -> None:
    """Remove the job's row."""
    table.remove(TABLE_JOBS, PART, JOB)


def store_job(table: MemoryTable) -> None:
    """Store the job's row."""
    spec = make_job(JOB, make_step(), queue=QUEUE)
    table.put(TABLE_JOBS, PART, JOB, encode_spec(spec))


@given("a stored job that ended long ago")
def step_stored(context: Context) -> None:
    context.store = MemoryTable()
    store_job(context.store)


def cancel(context: Context, queue: str = QUEUE, wall_now: float = WALL) -> None:
    """Cancel the job."""
    jobs = JobStore(lambda: context.store, StoreHealth())
    context.result = jobs.cancel(JOB, queue, wall_now)


@when("a client cancels the job, and its rows are removed before the job is read")
def step_removed_before(context: Context) -> None:
    remove_job(context.store)
    cancel(context)


@when(
    "a client cancels the job, and its rows are removed between the read and the write"
)
def step_removed_between(context: Context) -> None:
    context.store = ChangingTable(remove_job)
    store_job(context.store)
    cancel(context)


@when("a client cancels the job, and it is stored between the read and the write")
def step_stored_between(context: Context) -> None:
    context.store = ChangingTable(store_job)
    cancel(context)


@when("a client cancels the job")
def step_cancel(context: Context) -> None:
    cancel(context)


@when("a client of another queue cancels the job")
def step_cancel_other(context: Context) -> None:
    cancel(context, OTHER_QUEUE)


@when("a client cancels the job, and again 100 s later")
def step_cancel_twice(context: Context) -> None:
    for seconds in (0.0, 100.0):
        cancel(context, wall_now=WALL + seconds)


@when("a client cancels the job, and the store executes it late")
def step_cancel_late(context: Context) -> None:
    context.store.delayed_parts.add(PART)
    cancel(context)
    context.store.delayed_parts.clear()


@when("the rows are removed, and another job is stored under the id")
def step_replaced(context: Context) -> None:
    remove_job(context.store)
    store_job(context.store)


@when("the late cancellation is executed")
def step_late(context: Context) -> None:
    context.store.execute_delayed()


@then("the client is told that there is no such job")
def step_no_job(context: Context) -> None:
    assert context.result.code is JobCallOutcome.NO_JOB, context.result


@then("the client is told that the job is cancelled")
def step_cancelled(context: Context) -> None:
    assert context.result.code is JobCallOutcome.CANCELLED, context.result


@then("the client is told that the outcome is unknown")
def step_unknown(context: Context) -> None:
    assert context.result.code is JobCallOutcome.UNKNOWN, context.result


@then("no cancellation is stored")
def step_none_stored(context: Context) -> None:
    assert context.store.list_keys(TABLE_JOBS) == [JOB]


def read_cancellation(context: Context) -> Cancellation:
    """Return the stored cancellation."""
    row = context.store.find(TABLE_JOBS, PART, JOB + CANCEL_SUFFIX)
    assert row is not None
    return decode_cancellation(row.value, row.version)


@then("the cancellation through {through} is stored")
def step_stored_cancellation(context: Context, through: str) -> None:
    queues = {
        "the queue": (QUEUE,),
        "the other queue": (OTHER_QUEUE,),
        "both queues": (OTHER_QUEUE, QUEUE),
    }[through]
    assert read_cancellation(context).queues == queues


@then("the stored cancellation is that of the second call")
def step_second(context: Context) -> None:
    found = read_cancellation(context)
    assert found.cancelled_at == WALL + 100.0, found
