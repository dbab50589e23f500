"""Steps of tracing a job in the logs."""

from behave import given, then, when
from behave.runner import Context

from geraniumwell.queries.batch.trace import build_trace, explain_trace, read_lines


@given("the log lines")
def step_lines(context: Context) -> None:
    context.lines, context.skipped = read_lines(context.text.splitlines())


@when('the id "{wanted}" is traced')
def step_trace(context: Context, wanted: str) -> None:
    context.trace = build_trace(context.lines, wanted, context.skipped)


@then('the events are "{events}"')
def step_events(context: Context, events: str) -> None:
    found = [line.event for line in context.trace.lines]
    assert found == events.split(), found


@then("{count:d} line was skipped")
def step_skipped(context: Context, count: int) -> None:
    assert context.trace.skipped == count


@then('the explanation is "{text}"')
def step_explanation(context: Context, text: str) -> None:
    found = explain_trace(context.trace)
    assert found == text, found
