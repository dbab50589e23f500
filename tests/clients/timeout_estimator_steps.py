"""Steps of the time limits of calls."""

from behave import given, then, when
from behave.runner import Context

from geraniumwell.clients.timeout_estimator import TimeoutEstimator


@given("a timer that has seen {count:d} answers after {seconds:g} seconds")
def step_timer(context: Context, count: int, seconds: float) -> None:
    context.timer = TimeoutEstimator()
    for _ in range(count):
        context.timer.record_answer(seconds)


@when("{count:d} answers are lost")
def step_lost(context: Context, count: int) -> None:
    for _ in range(count):
        context.timer.record_timeout()


@then("its limit is {seconds:g} seconds")
def step_limit(context: Context, seconds: float) -> None:
    found = context.timer.timeout_seconds
    assert abs(found - seconds) < 1e-9, found


@then("its limit is above {seconds:g} seconds")
def step_limit_above(context: Context, seconds: float) -> None:
    assert context.timer.timeout_seconds > seconds, context.timer.timeout_seconds
