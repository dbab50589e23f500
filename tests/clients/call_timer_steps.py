"""Steps of the time limits of calls."""

from behave import given, then, when
from behave.runner import Context

from geraniumwell.clients.call_timer import CallTimer


@given("a timeout estimator with {count:d} recorded responses of {seconds:g} seconds")
def step_timer(context: Context, count: int, seconds: float) -> None:
    context.timer = CallTimer()
    for _ in range(count):
        context.timer.note_answer(seconds)


@when("{count:d} calls time out")
def step_lost(context: Context, count: int) -> None:
    for _ in range(count):
        context.timer.note_timeout()


@then("the estimated timeout is {seconds:g} seconds")
def step_limit(context: Context, seconds: float) -> None:
    found = context.timer.limit_seconds
    assert abs(found - seconds) < 1e-9, found


@then("the estimated timeout is above {seconds:g} seconds")
def step_limit_above(context: Context, seconds: float) -> None:
    assert context.timer.limit_seconds > seconds, context.timer.limit_seconds
