"""Steps of the event log."""

from threading import Event

from behave import given, then, when
from behave.runner import Context

from geraniumwell.helpers.event_log import (
    BACKLOG_LINES,
    DROPPED,
    KindBudget,
    LineWriter,
)


@given("a log whose reader does not read")
def step_slow_reader(context: Context) -> None:
    context.is_read = Event()
    context.writer = LineWriter(lambda _: context.is_read.wait())
    context.before = DROPPED.labels("slow_reader")._value.get()


@when("{count:d} lines are put")
def step_put(context: Context, count: int) -> None:
    for _ in range(count):
        context.writer.put("line\n")
    context.count = count


@then("all were put without waiting for the reader")
def step_not_blocked(context: Context) -> None:
    assert not context.is_read.is_set()


@then("the dropped lines are counted")
def step_dropped(context: Context) -> None:
    dropped = DROPPED.labels("slow_reader")._value.get() - context.before
    # What the writer took before it blocked is no longer in the backlog.
    assert context.count - 2 * BACKLOG_LINES <= dropped, dropped
    assert dropped <= context.count - BACKLOG_LINES, dropped
    context.is_read.set()


@given("the budget of one kind of line")
def step_budget(context: Context) -> None:
    context.budget = KindBudget(10.0)


@when("{count:d} lines are asked for in one moment")
def step_ask(context: Context, count: int) -> None:
    context.written = sum(context.budget.take(10.0) for _ in range(count))


@then("{written:d} of them are written and {skipped:d} are counted as skipped")
def step_written(context: Context, written: int, skipped: int) -> None:
    assert (context.written, context.budget.skipped) == (written, skipped)


@then("a second later lines are written again")
def step_again(context: Context) -> None:
    assert context.budget.take(11.0)
