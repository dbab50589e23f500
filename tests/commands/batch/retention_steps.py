"""Steps of the removal of ended jobs."""

from behave import given, then, when
from behave.runner import Context

from geraniumwell.actors.batch.commit_state import (
    CANCEL_SUFFIX,
    begin_transaction,
    confirm_transaction,
    make_commit_state,
)
from geraniumwell.actors.batch.row_applier import RowApplier
from geraniumwell.clients.table import StoredRow
from geraniumwell.codec.batch import encode_cancellation, encode_spec
from geraniumwell.commands.batch.cancellation import apply_cancellation
from geraniumwell.commands.batch.lifecycle import (
    add_job,
    end_job,
    mark_job_unsaved,
)
from geraniumwell.commands.batch.retention import (
    forget_jobs,
    is_new_row,
    record_all_rows,
    record_removals,
    record_removed_cancellation,
    record_removed_row,
    request_removals,
)
from geraniumwell.const import TABLE_JOBS
from geraniumwell.messages.batch import LeaderClaim
from geraniumwell.model.batch.cancellation import Cancellation
from geraniumwell.model.batch.cluster import BatchPolicy
from geraniumwell.model.batch.job import JobState
from geraniumwell.model.batch.leader import LeaderRow
from geraniumwell.model.batch.removal import ExpiredJob
from tests.support.batch import WALL, list_tasks, make_cluster, make_job, make_step

JOB = "00000000000000a1"
VERSION = 7
ENDED_SECONDS = 241.0
CANCELLED_AT = WALL + 250.0
CANCELLATION_VERSION = 9


@given("a job that ended 241 s ago with a retention time of 120 s, but {exception}")
def step_ended(context: Context, exception: str) -> None:
    context.cluster = make_cluster("r1")
    context.uncommitted = set()
    add_job(context.cluster, make_job(JOB, make_step()), WALL, VERSION)
    end_job(context.cluster, context.cluster.jobs[JOB], JobState.DONE, WALL)
    context.cluster.unsaved_jobs.clear()
    match exception:
        case "nothing else":
            pass
        case "a retention time of 121 s":
            context.cluster.policy = BatchPolicy(result_seconds=121.0)
        case "its end was changed just now":
            mark_job_unsaved(context.cluster, JOB)
        case "its transaction is not confirmed":
            context.uncommitted.add(JOB)
        case "a worker still reports its task":
            list_tasks(context.cluster, JOB)[0].worker = "w1"
        case "its removal was requested":
            assert request(context, 0.0)
            record_removals(context.cluster, (JOB,), 0.0)
        case _:
            raise ValueError(exception)


def request(context: Context, now: float) -> list[str]:
    """Return the ids of the jobs whose removal is requested."""
    wall_now = WALL + ENDED_SECONDS + now
    found = request_removals(context.cluster, context.uncommitted, now, wall_now)
    assert all(job.version == VERSION for job in found), found
    return [job.id for job in found]


@then("the removal of its rows is {requested}")
def step_is_requested(context: Context, requested: str) -> None:
    expected = [JOB] if requested == "requested" else []
    assert request(context, 0.0) == expected


@given("the requested removal of a job")
def step_requested(context: Context) -> None:
    step_ended(context, "nothing else")
    assert request(context, 0.0) == [JOB]


@given("a running job")
def step_running(context: Context) -> None:
    context.cluster = make_cluster("r1")
    add_job(context.cluster, make_job(JOB, make_step()), WALL, VERSION)


@when("the store has removed no rows")
def step_none_removed(context: Context) -> None:
    record_removals(context.cluster, (), 0.0)


@then("the removal is requested again after 5 s and not after 4.9 s")
def step_again(context: Context) -> None:
    assert request(context, 4.9) == []
    assert request(context, 5.0) == [JOB]


@when("the store has removed its rows")
def step_removed(context: Context) -> None:
    record_removals(context.cluster, (JOB,), 0.0)


@when("the feed reports the removal of its row")
def step_feed(context: Context) -> None:
    record_removed_row(context.cluster, JOB, VERSION + 1)


@when("the feed reports an earlier removal of a row with its id")
def step_earlier_removal(context: Context) -> None:
    record_removed_row(context.cluster, JOB, VERSION - 1)


@when("a complete read of the job table lacks its row")
def step_missing(context: Context) -> None:
    record_all_rows(context.cluster, set())


@when("a cancellation of the job is stored")
def step_cancelled(context: Context) -> None:
    cancellation = Cancellation(("renders",), CANCELLED_AT, CANCELLATION_VERSION)
    orders = apply_cancellation(context.cluster, JOB, cancellation, 1.0, CANCELLED_AT)
    assert orders == []


def request_at(context: Context, seconds: float) -> tuple[ExpiredJob, ...]:
    """Return the removals requested some seconds after the cancellation."""
    wall_now = CANCELLED_AT + seconds
    return request_removals(context.cluster, set(), seconds, wall_now)


@then(
    "the removal of the cancellation is requested {due:d} s later and not"
    " {early:d} s later"
)
def step_cancellation_requested(context: Context, due: int, early: int) -> None:
    assert request_at(context, early) == ()
    found = request_at(context, due)
    (version,) = [item.version for item in context.cluster.cancellations.values()]
    assert found == (ExpiredJob(JOB, 0, version),), found


@given("the requested removal of a cancellation without a job")
def step_cancellation_removal(context: Context) -> None:
    context.cluster = make_cluster("r1")
    step_cancelled(context)
    step_cancellation_requested(context, 241, 240)
    record_removals(context.cluster, (JOB,), 1.0)


@when("a complete read of the job table contains the cancellation")
def step_cancellation_present(context: Context) -> None:
    value = encode_cancellation(Cancellation(("renders",), CANCELLED_AT))
    row = StoredRow(TABLE_JOBS, JOB + CANCEL_SUFFIX, value, CANCELLATION_VERSION)
    applier = RowApplier(context.cluster, decode_entry=None)
    applier.apply_all_jobs((row,), 1.0, CANCELLED_AT)


@when("the cancellation is stored again 241 s later")
def step_cancelled_again(context: Context) -> None:
    now = CANCELLED_AT + 241.0
    cancellation = Cancellation(("renders",), now, CANCELLATION_VERSION + 1)
    apply_cancellation(context.cluster, JOB, cancellation, 241.0, now)


@then("its removal is not requested at once")
def step_not_at_once(context: Context) -> None:
    assert request_at(context, 242.0) == ()


@when("the feed reports an earlier removal of a row of the cancellation")
def step_earlier_cancellation_removal(context: Context) -> None:
    record_removed_cancellation(context.cluster, JOB, CANCELLATION_VERSION - 1)


@then("the cancellation is still known")
def step_cancellation_known(context: Context) -> None:
    assert JOB in context.cluster.cancellations


@given("its id was cancelled {age:d} s ago")
def step_cancelled_ago(context: Context, age: int) -> None:
    context.cluster.cancellations[JOB] = Cancellation(
        ("renders",), WALL + ENDED_SECONDS - age, CANCELLATION_VERSION
    )


@then("the removal of the job is requested {extent} the cancellation")
def step_requested_with(context: Context, extent: str) -> None:
    version = CANCELLATION_VERSION if extent == "with" else 0
    found = request_removals(context.cluster, set(), 0.0, WALL + ENDED_SECONDS)
    assert found == (ExpiredJob(JOB, VERSION, version),), found


@when("the removal of its progress is confirmed")
def step_progress_removed(context: Context) -> None:
    forget_jobs(context.cluster, (JOB,))


@then("the job is known and is not new")
def step_known(context: Context) -> None:
    assert JOB in context.cluster.jobs
    assert not is_new_row(context.cluster, JOB, VERSION)


@then("the job is not known")
def step_unknown(context: Context) -> None:
    assert JOB not in context.cluster.jobs
    assert not context.cluster.removals.removed
    assert not context.cluster.removals.requested


@when("a transaction with the removal of its progress is sent")
def step_transaction(context: Context) -> None:
    claim = LeaderClaim(LeaderRow("a/1", 1, 0, {}), 1, 0.0)
    context.commits = make_commit_state(claim)
    sent = begin_transaction(context.commits, context.cluster, 1.0, WALL + 250.0)
    assert [item.key for item in sent.transaction.removals] == [JOB]


@when("a job with the same id is submitted")
def step_resubmitted(context: Context) -> None:
    value = encode_spec(make_job(JOB, make_step()))
    row = StoredRow(TABLE_JOBS, JOB, value, VERSION + 2)
    applier = RowApplier(context.cluster, decode_entry=None)
    applier.apply_jobs((row,), 1.0, WALL + 250.0)


@when("the transaction is confirmed")
def step_confirmed(context: Context) -> None:
    confirm_transaction(context.commits, context.cluster, 2)


@then("the new job is known")
def step_new_known(context: Context) -> None:
    job = context.cluster.jobs[JOB]
    assert (job.state, job.version) == (JobState.QUEUED, VERSION + 2), job


@then("its progress is written with the next transaction")
def step_written(context: Context) -> None:
    sent = begin_transaction(context.commits, context.cluster, 2.0, WALL + 251.0)
    assert JOB in [write.key for write in sent.transaction.writes]
    assert not sent.transaction.removals
