"""Steps of the estimation of timeouts."""

from behave import given, then, when
from behave.runner import Context

from geraniumwell.clients.timeout_estimator import TimeoutEstimator


@given("a timeout estimator with {count:d} recorded responses of {seconds:g} seconds")
def step_estimator(context: Context, count: int, seconds: float) -> None:
    context.estimator = TimeoutEstimator()
    for _ in range(count):
        context.estimator.record_answer(seconds)


@when("{count:d} calls time out")
def step_timeouts(context: Context, count: int) -> None:
    for _ in range(count):
        context.estimator.record_timeout()


@then("the estimated timeout is {seconds:g} seconds")
def step_timeout(context: Context, seconds: float) -> None:
    found = context.estimator.timeout_seconds
    assert abs(found - seconds) < 1e-9, found


@then("the estimated timeout is above {seconds:g} seconds")
def step_timeout_above(context: Context, seconds: float) -> None:
    assert context.estimator.timeout_seconds > seconds, (
        context.estimator.timeout_seconds
    )
