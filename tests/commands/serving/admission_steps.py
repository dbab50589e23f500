"""Steps for admission and shutdown."""

from behave import given, then, when
from behave.runner import Context

from geraniumwell.commands.serving.scheduler import is_idle, set_lease, stop


@given("the lease ends in {seconds:g} s")
def step_lease(context: Context, seconds: float) -> None:
    set_lease(context.world.state, context.world.now + seconds)


@when("the daemon begins to shut down")
def step_stop(context: Context) -> None:
    context.world.apply_effects(stop(context.world.state, context.world.now))


@then('the answer to "{request_id}" has a retry time')
def step_retry_after(context: Context, request_id: str) -> None:
    assert context.world.answers[request_id].retry_after_seconds is not None


@then('no request of "{org}" is answered')
def step_none_answered(context: Context, org: str) -> None:
    found = [name for name in context.world.answers if f"-{org}-" in name]
    assert not found, found


@then("the daemon is idle")
def step_idle(context: Context) -> None:
    assert is_idle(context.world.state)
