"""Steps of the scheduler's transactions."""

from behave import given, then, when
from behave.runner import Context

from geraniumwell.actors.batch.commit_state import begin_transaction, make_commit_state
from geraniumwell.commands.batch.evidence import add_sample
from geraniumwell.commands.batch.interference import set_opponents
from geraniumwell.const import INTERFERENCE_KEY
from geraniumwell.messages.batch import LeaderClaim
from geraniumwell.model.batch.leader import LeaderRow
from tests.support.batch import WALL, make_cluster, make_job, make_step, submit

PAIR = ("a", "b", False)


@given("evidence of a pair that {state}")
def step_evidence(context: Context, state: str) -> None:
    context.cluster = make_cluster("r1")
    table = context.cluster.interference
    add_sample(table, PAIR, "w1", 0.7, 0.0)
    table.pairs[PAIR].is_known = state == "is known to disturb"
    # The last scheduler stored it while it was known.
    table.is_stored = state.startswith("was")
    set_opponents(table)


@when("a transaction is sent each second, and the evidence changes each second")
def step_transactions(context: Context) -> None:
    claim = LeaderClaim(LeaderRow("a/1", 1, 0, {}), 1, 0.0)
    commits = make_commit_state(claim)
    context.seconds = []
    for second in range(1, 13):
        add_sample(context.cluster.interference, PAIR, "w1", 0.7, second)
        sent = begin_transaction(commits, context.cluster, second, WALL + second)
        if INTERFERENCE_KEY in [write.key for write in sent.transaction.writes]:
            context.seconds.append(str(second))


@given("{count:d} jobs with changed progress and stalls, and {rows:d} rows to remove")
def step_changes(context: Context, count: int, rows: int) -> None:
    for number in range(count):
        submit(context.cluster, make_job(f"j{number}", make_step()))
    context.cluster.unsaved_jobs.update(context.cluster.jobs)
    context.cluster.unsaved_stalls.update(context.cluster.jobs)
    removed = {f"old{number}" for number in range(rows // 2)}
    context.cluster.removals.removed = removed
    context.cluster.jobs_with_stall_rows |= removed


@when("a transaction is sent")
def step_transaction(context: Context) -> None:
    commits = make_commit_state(LeaderClaim(LeaderRow("a/1", 1, 0, {}), 1, 0.0))
    context.sent = begin_transaction(commits, context.cluster, 9, WALL + 9).transaction


@then("it has the row of interference and at most {most:d} entries")
def step_entries(context: Context, most: int) -> None:
    sent = context.sent
    assert INTERFERENCE_KEY in [write.key for write in sent.writes]
    count = len(sent.conditions) + len(sent.writes) + len(sent.removals)
    assert count <= most, count


@then('the transactions with the row are "{seconds}"')
@then('the transactions with the row are ""')
def step_written(context: Context, seconds: str = "") -> None:
    assert context.seconds == seconds.split(), context.seconds
