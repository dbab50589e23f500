"""Steps of grouped log lines."""

from behave import given, then, when
from behave.runner import Context

from geraniumwell.helpers.batch_log_fields import group_end_fields, group_order_fields
from geraniumwell.model.batch.cluster import StartTask
from geraniumwell.model.batch.job import TaskId
from geraniumwell.model.batch.worker import EndedTask, EndKind


@given("{count:d} starts of one step on {workers:d} workers")
def step_starts(context: Context, count: int, workers: int) -> None:
    context.lines = None
    orders = [
        StartTask(f"w{index % workers}", TaskId("j", 0, 0, index), 1, "", "")
        for index in range(count)
    ]
    context.group = lambda: group_order_fields(orders)


@given('ends of one step: {done:d} as "done" and {failed:d} as "failed"')
def step_ends(context: Context, done: int, failed: int) -> None:
    kinds = [EndKind.DONE] * done + [EndKind.FAILED] * failed
    ends = [
        EndedTask(index, TaskId("j", 0, 0, index), 1, kind, "")
        for index, kind in enumerate(kinds, 1)
    ]
    context.group = lambda: group_end_fields("w1", ends)


@when("they are grouped")
def step_group(context: Context) -> None:
    context.lines = context.group()


@then("there is 1 line of {count:d} tasks on {workers:d} workers")
def step_one_line(context: Context, count: int, workers: int) -> None:
    (line,) = context.lines
    assert line["tasks"] == count
    assert len(line["on"].split()) == workers


@then('there are lines of {done:d} tasks "done" and {failed:d} tasks "failed"')
def step_kinds(context: Context, done: int, failed: int) -> None:
    found = {line["how"]: line["tasks"] for line in context.lines}
    assert found == {"done": done, "failed": failed}, found
