"""Steps of the time limits of calls."""

from behave import given, then, when
from behave.runner import Context

from geraniumwell.clients.timeout_estimator import CallTimer


@given("a timer that has seen {count:d} answers after {seconds:g} seconds")
def step_timer(context: Context, count: int, seconds: float) -> None:
    context.timer = CallTimer()
    for _ in range(count):
        context.timer.note_answer(seconds)


@when("{count:d} answers are lost")
def step_lost(context: Context, count: int) -> None:
    for _ in range(count):
        context.timer.note_timeout()


@then("its limit is {seconds:g} seconds")
def step_limit(context: Context, seconds: float) -> None:
    found = context.timer.limit_seconds
    assert abs(found - seconds) < 1e-9, found


@then("its limit is above {seconds:g} seconds")
def step_limit_above(context: Context, seconds: float) -> None:
    assert context.timer.limit_seconds > seconds, context.timer.limit_seconds
