"""Steps of the time limits of calls."""

from behave import given, then, when
from behave.runner import Context

from geraniumwell.clients.timeout_estimator import TimeoutEstimator


@given("a timeout estimator with {count:d} recorded responses of {seconds:g} seconds")
def step_timer(context: Context, count: int, seconds: float) -> None:
    context.timer = TimeoutEstimator()
    for _ in range(count):
        context.timer.record_answer(seconds)


@when("{count:d} calls time out")
def step_lost(context: Context, count: int) -> None:
    for _ in range(count):
        context.timer.record_timeout()


@then("the estimated timeout is {seconds:g} seconds")
def step_limit(context: Context, seconds: float) -> None:
    found = context.timer.timeout_seconds
    assert abs(found - seconds) < 1e-9, found


@then("the estimated timeout is above {seconds:g} seconds")
def step_limit_above(context: Context, seconds: float) -> None:
    assert context.timer.timeout_seconds > seconds, context.timer.timeout_seconds
