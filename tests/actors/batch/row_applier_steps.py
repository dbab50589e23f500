"""Steps of rows of the job table that are applied to a scheduler's state."""

from behave import given, then, when
from behave.runner import Context

from geraniumwell.actors.batch.commit_state import CANCEL_SUFFIX
from geraniumwell.actors.batch.row_applier import RowApplier
from geraniumwell.clients.table import StoredRow
from geraniumwell.codec.batch import encode_cancellation, encode_spec
from geraniumwell.const import TABLE_JOBS
from geraniumwell.model.batch.cancellation import Cancellation
from tests.support.batch import WALL, make_cluster, make_job, make_step

JOB = "00000000000000a1"
QUEUE = "renders"


def make_job_row(version: int) -> StoredRow:
    """Return the row of the job."""
    value = encode_spec(make_job(JOB, make_step(), queue=QUEUE))
    return StoredRow(TABLE_JOBS, JOB, value, version)


def make_cancellation_row(version: int) -> StoredRow:
    """Return the row of a cancellation of the job."""
    value = encode_cancellation(Cancellation((QUEUE,), WALL))
    return StoredRow(TABLE_JOBS, JOB + CANCEL_SUFFIX, value, version)


def read_all(context: Context, *rows: StoredRow) -> None:
    """Apply a complete read."""
    context.cluster = make_cluster("r1")
    context.applier = RowApplier(context.cluster, decode_entry=None)
    context.applier.apply_all_jobs(rows, 1.0, WALL)


@given("a complete read of the job table with a job")
def step_read(context: Context) -> None:
    read_all(context, make_job_row(5))


@given("a complete read of the job table with a job and an earlier cancellation")
def step_read_both(context: Context) -> None:
    read_all(context, make_job_row(5), make_cancellation_row(4))


@when("the feed repeats that an earlier job with its id was cancelled and removed")
def step_repeated(context: Context) -> None:
    rows = (
        make_job_row(2),
        make_cancellation_row(3),
        StoredRow(TABLE_JOBS, JOB, b"", 4, True),
        StoredRow(TABLE_JOBS, JOB + CANCEL_SUFFIX, b"", 4, True),
        make_job_row(5),
    )
    assert context.applier.apply_jobs(rows, 1.0, WALL) == []


@then('the applied job is "{state}"')
def step_state(context: Context, state: str) -> None:
    assert context.cluster.jobs[JOB].state.value == state
