"""Steps of the removal of ended jobs by a scheduler with an in-memory store."""

from queue import SimpleQueue

from behave import given, then, when
from behave.runner import Context

from geraniumwell.actors.batch.commit_state import CANCEL_SUFFIX, STALLS_SUFFIX
from geraniumwell.actors.batch.job_store import JobCallOutcome, JobStore
from geraniumwell.actors.batch.scheduler import Scheduler
from geraniumwell.actors.batch.scheduler_dependencies import SchedulerDependencies
from geraniumwell.actors.ticker import Ticker
from geraniumwell.clients.table_relay import StoreHealth
from geraniumwell.codec.batch import (
    decode_state,
    encode_leader,
    encode_progress,
    encode_spec,
    encode_stalls,
    find_job_partition,
)
from geraniumwell.const import (
    JOB_PARTITIONS,
    LEADER_KEY,
    PARTITION_SCHEDULE,
    TABLE_CONTROL,
    TABLE_JOBS,
    TABLE_PROGRESS,
)
from geraniumwell.messages.batch import LeaderClaim
from geraniumwell.model.batch.cluster import BatchPolicy
from geraniumwell.model.batch.job import Job, JobState, open_occurrence
from geraniumwell.model.batch.leader import LeaderRow
from geraniumwell.platform.decode import decode_entry
from geraniumwell.util.clock import boottime_seconds, stable_wall_seconds
from tests.actors.batch.scheduler_steps import ENTRY, MemoryConnectionPool, Owner
from tests.support.batch import make_job, make_step, make_test_catalog
from tests.support.memory_table import MemoryTable, count_removals
from tests.support.processes import wait_until

REGISTRY = "workers"
WAIT_SECONDS = 20.0
ENDED = "00000000000000a1"
OTHER = "00000000000000b2"
# Queue of the submissions that are cancelled; the job that ended is of another one.
CANCELLED_QUEUE = "renders"
RETENTION_SECONDS = 60.0


@given("a scheduler with a job that ended long ago")
def step_expired(context: Context) -> None:
    context.store = MemoryTable()
    put_ended_job(context.store, 10 * RETENTION_SECONDS)


@given("the store {fault} the removal of the job's rows")
def step_fault(context: Context, fault: str) -> None:
    table: MemoryTable = context.store
    parts = {
        "refuses": table.refused_parts,
        "does not answer": table.lossy_parts,
        "executes late": table.delayed_parts,
    }[fault]
    parts.add(find_job_partition(ENDED))
    start_scheduler(context)


@given("a scheduler with a job that is about to expire")
def step_about_to_expire(context: Context) -> None:
    context.store = MemoryTable()
    # A removal is requested only after the snapshot was read.
    put_ended_job(context.store, 2 * RETENTION_SECONDS - 2.0)
    start_scheduler(context)
    wait_until(lambda: not context.polled.empty(), "the scheduler")


@given("a store with progress and stalls of a job without a row")
def step_orphaned_progress(context: Context) -> None:
    context.store = MemoryTable()
    put_ended_job(context.store, 0.0)
    job = Job(make_job(ENDED, make_step()))
    context.store.put(
        TABLE_PROGRESS, PARTITION_SCHEDULE, ENDED + STALLS_SUFFIX, encode_stalls(job)
    )
    context.store.remove(TABLE_JOBS, find_job_partition(ENDED), ENDED)


@given("a store with a job whose progress is unreadable")
def step_unreadable(context: Context) -> None:
    context.store = MemoryTable()
    put_ended_job(context.store, 0.0)
    context.store.put(TABLE_PROGRESS, PARTITION_SCHEDULE, ENDED, b"x")


@given("a store with a cancellation of a job without a row")
def step_orphaned_cancellation(context: Context) -> None:
    context.store = MemoryTable()
    part = find_job_partition(ENDED)
    context.store.put(TABLE_JOBS, part, ENDED + CANCEL_SUFFIX, b"x")


@given("a store with an ended job of another queue under the same id")
def step_other_queue(context: Context) -> None:
    context.store = MemoryTable()
    put_ended_job(context.store, 10 * RETENTION_SECONDS)


@given("a submission that gets no response")
def step_lost_submission(context: Context) -> None:
    table: MemoryTable = context.store
    part = find_job_partition(ENDED)
    table.delayed_parts.add(part)
    spec = make_job(ENDED, make_step(), queue=CANCELLED_QUEUE)
    result = JobStore(lambda: table, StoreHealth()).submit(spec)
    assert result.code is JobCallOutcome.UNKNOWN, result
    table.delayed_parts.clear()


@when("the client cancels the job and is told that there is no such job")
def step_cancelled(context: Context) -> None:
    jobs = JobStore(lambda: context.store, StoreHealth())
    result = jobs.cancel(ENDED, CANCELLED_QUEUE, stable_wall_seconds())
    assert result.code is JobCallOutcome.NO_JOB, result


def remove_ended_job(context: Context) -> None:
    """Start a scheduler and wait until it has removed the ended job."""
    start_scheduler(context)
    table: MemoryTable = context.store
    # The progress is removed last.
    wait_until(lambda: not table.list_keys(TABLE_PROGRESS), "the removal")
    assert table.list_keys(TABLE_JOBS) == [ENDED + CANCEL_SUFFIX]


@when("a scheduler removes the ended job, and the submission is executed")
def step_late_submission(context: Context) -> None:
    remove_ended_job(context)
    context.store.execute_delayed()


@when(
    "a scheduler removes the ended job, another one takes over, and the submission is"
    " executed"
)
def step_late_after_takeover(context: Context) -> None:
    remove_ended_job(context)
    start_scheduler(context)
    wait_until(lambda: not context.polled.empty(), "the new scheduler")
    context.store.execute_delayed()


@when(
    "a scheduler removes the ended job, the store loses its history, and the submission"
    " is executed"
)
def step_late_after_lost_history(context: Context) -> None:
    remove_ended_job(context)
    # The complete read has returned the cancellation, but is not finished.
    step_held_read(context)
    context.store.execute_delayed()
    context.store.read_gate.set()


@when(
    "the ended job is removed, the submission is executed, and a scheduler loads both"
    " rows"
)
def step_late_before_load(context: Context) -> None:
    table: MemoryTable = context.store
    table.remove(TABLE_JOBS, find_job_partition(ENDED), ENDED)
    table.remove(TABLE_PROGRESS, PARTITION_SCHEDULE, ENDED)
    table.execute_delayed()
    assert table.list_keys(TABLE_JOBS) == [ENDED, ENDED + CANCEL_SUFFIX]
    start_scheduler(context)


@given("a scheduler")
def step_scheduler(context: Context) -> None:
    start_scheduler(context)


def put_ended_job(table: MemoryTable, age: float) -> None:
    """Store a job that ended as done some seconds ago."""
    spec = make_job(ENDED, make_step(), queue="quotes")
    job = Job(spec, JobState.DONE, has_begun=True, opened_occurrences=1)
    job.ended_at = stable_wall_seconds() - age
    open_occurrence(job, 0)
    table.put(TABLE_JOBS, find_job_partition(ENDED), ENDED, encode_spec(spec))
    table.put(TABLE_PROGRESS, PARTITION_SCHEDULE, ENDED, encode_progress(job))


def start_scheduler(context: Context) -> None:
    """Start a scheduler that holds the claim in the store."""
    table: MemoryTable = context.store
    table.put(REGISTRY, "", "w1", ENTRY)
    row = LeaderRow("a/1", 1, 0, {})
    version = table.put(
        TABLE_CONTROL, PARTITION_SCHEDULE, LEADER_KEY, encode_leader(row)
    )
    context.started, context.polled = SimpleQueue(), SimpleQueue()
    ticker = Ticker()
    ticker.start()
    context.add_cleanup(ticker.stop)
    deps = SchedulerDependencies(
        BatchPolicy(result_seconds=RETENTION_SECONDS),
        ticker,
        lambda: table,
        lambda epoch, owner: MemoryConnectionPool.start(
            context.started, context.polled, owner
        ),
        REGISTRY,
        decode_entry,
    )
    owner = Owner.start(SimpleQueue())
    context.add_cleanup(owner.stop)
    claim = LeaderClaim(row, version, boottime_seconds())
    scheduler = Scheduler.start(claim, make_test_catalog(), frozenset(), deps, owner)
    context.add_cleanup(scheduler.stop, block=False)
    context.add_cleanup(table.read_gate.set)


def submit(table: MemoryTable, job: str) -> None:
    """Store a new job."""
    spec = make_job(job, make_step(), queue="quotes")
    table.put(TABLE_JOBS, find_job_partition(job), job, encode_spec(spec))


@when("the scheduler has tried to remove the rows")
def step_tried(context: Context) -> None:
    wait_until(lambda: bool(context.store.failed), "the removal")


@when("the store loses its history")
def step_lost_history(context: Context) -> None:
    context.store.compact()


@when("the store loses its history, and the response of the last read is held back")
def step_held_read(context: Context) -> None:
    # Partitions are read one after another, so the job's row is read before this one.
    context.store.held_part = JOB_PARTITIONS[-1]
    assert find_job_partition(ENDED) != JOB_PARTITIONS[-1]
    context.store.compact()
    wait_until(lambda: context.store.held_reads == 1, "the held read")


@when("the rows of the job have been removed from the job table")
def step_rows_removed(context: Context) -> None:
    wait_until(lambda: not context.store.list_keys(TABLE_JOBS), "the removal")


@when("the response arrives")
def step_response_arrives(context: Context) -> None:
    context.store.read_gate.set()


@when("another job is submitted")
def step_other(context: Context) -> None:
    submit(context.store, OTHER)


@when("the job is submitted again")
def step_again(context: Context) -> None:
    submit(context.store, ENDED)


@when("the rows are removed and the job is submitted again")
def step_removed_and_again(context: Context) -> None:
    context.store.remove(TABLE_JOBS, find_job_partition(ENDED), ENDED)
    submit(context.store, ENDED)


@when("the fault ends after the id was cancelled again")
def step_cancelled_again(context: Context) -> None:
    context.store.delayed_parts.clear()
    step_cancelled(context)
    step_fault_ends(context)


@when("the fault ends")
def step_fault_ends(context: Context) -> None:
    table: MemoryTable = context.store
    for parts in (table.refused_parts, table.lossy_parts, table.delayed_parts):
        parts.clear()
    table.execute_delayed()


@then("only the other job is started")
def step_only_other(context: Context) -> None:
    order = context.started.get(timeout=WAIT_SECONDS)
    assert order.id.job == OTHER, order
    assert context.started.empty(), context.started.get()


@then("the job is started")
def step_started(context: Context) -> None:
    order = context.started.get(timeout=WAIT_SECONDS)
    assert order.id.job == ENDED, order


@then("the job is stored as cancelled")
def step_stored_as_cancelled(context: Context) -> None:
    table: MemoryTable = context.store

    def is_cancelled() -> bool:
        row = table.find(TABLE_PROGRESS, PARTITION_SCHEDULE, ENDED)
        return row is not None and decode_state(row.value)[0] is JobState.CANCELLED

    wait_until(is_cancelled, "the end of the job")
    assert ENDED in table.list_keys(TABLE_JOBS)


@then("the cancellation is still stored")
def step_cancellation_stored(context: Context) -> None:
    assert ENDED + CANCEL_SUFFIX in context.store.list_keys(TABLE_JOBS)


@then("the store has no row of the job that ended")
def step_no_rows(context: Context) -> None:
    def has_rows() -> bool:
        keys = [
            *context.store.list_keys(TABLE_JOBS),
            *context.store.list_keys(TABLE_PROGRESS),
        ]
        return any(key.startswith(ENDED) for key in keys)

    wait_until(lambda: not has_rows(), "the removal of all rows")
    assert count_removals(context.store.commits, TABLE_JOBS, OTHER) == 0


@then("the progress of the job is still stored")
def step_progress_stored(context: Context) -> None:
    assert ENDED in context.store.list_keys(TABLE_PROGRESS)


@then("the row and the progress of the job are stored")
def step_row_stored(context: Context) -> None:
    table: MemoryTable = context.store
    part = find_job_partition(ENDED)

    def is_begun() -> bool:
        row = table.find(TABLE_PROGRESS, PARTITION_SCHEDULE, ENDED)
        return row is not None and decode_state(row.value)[1]

    wait_until(is_begun, "the new progress")
    assert table.find(TABLE_JOBS, part, ENDED) is not None
