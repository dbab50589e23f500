"""Steps for grouped log lines."""

from behave import given, then, when
from behave.runner import Context

from geraniumwell.helpers.batch_log_fields import (
    group_end_fields,
    group_order_fields,
    group_pace_fields,
)
from geraniumwell.model.batch.cluster import PaceChange, PaceTask, StartTask
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


@given('tasks of one step ended: {done:d} as "done" and {failed:d} as "failed"')
def step_ends(context: Context, done: int, failed: int) -> None:
    kinds = [EndKind.DONE] * done + [EndKind.FAILED] * failed
    ends = [
        EndedTask(index, TaskId("j", 0, 0, index), 1, kind, "")
        for index, kind in enumerate(kinds, 1)
    ]
    context.group = lambda: group_end_fields("w1", ends)


@given("{low:d} paces of 50 percent and {halted:d} of 0 percent for one step")
def step_paces(context: Context, low: int, halted: int) -> None:
    orders = [
        PaceTask("w1", TaskId("j", 0, 0, index), 1, percent, PaceChange.LOWER, 0.844)
        for index, percent in enumerate([50] * low + [0] * halted)
    ]
    context.group = lambda: group_pace_fields(orders)


@when("their log lines are grouped")
def step_group(context: Context) -> None:
    context.lines = context.group()


@then("there is 1 line for {count:d} tasks on {workers:d} workers")
def step_one_line(context: Context, count: int, workers: int) -> None:
    (line,) = context.lines
    assert line["tasks"] == count
    assert len(line["on"].split()) == workers


@then('there are lines for {done:d} tasks "done" and {failed:d} tasks "failed"')
def step_kinds(context: Context, done: int, failed: int) -> None:
    found = {line["how"]: line["tasks"] for line in context.lines}
    assert found == {"done": done, "failed": failed}, found


@then(
    "there are lines for {low:d} tasks at 50 percent and {halted:d} tasks at 0 percent"
)
def step_percentages(context: Context, low: int, halted: int) -> None:
    shared = {"job": "j", "step": "0.0", "run": 1, "on": "w1"}
    shared |= {"why": "lower", "share": 0.84}
    assert context.lines == [
        shared | {"tasks": low, "percent": 50},
        shared | {"tasks": halted, "percent": 0},
    ], context.lines
