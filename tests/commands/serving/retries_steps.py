"""Steps for retries."""

from behave import given, then, when
from behave.runner import Context

from geraniumwell.model.serving import NotSent
from geraniumwell.model.serving_policy import NoExclusion


@given("the retry budget allows every retry")
def step_allow(context: Context) -> None:
    context.world.state.retry_tokens = 10.0


@when('{count:d} "{class_name}" requests fail before they are sent')
def step_fail(context: Context, count: int, class_name: str) -> None:
    world = context.world
    # Without exclusion every request is sent, which allows the most retries.
    policy = world.state.policy
    world.state.policy = type(policy)(health=NoExclusion())
    for number in range(count):
        world.submit(f"fail-{number}", class_name)
        while world.in_flight():
            attempt_id = world.in_flight()[0].attempt_id
            world.finish(attempt_id, NotSent("connection refused"))


@then("at most {count:d} of the attempts were retries")
def step_retries(context: Context, count: int) -> None:
    sent = context.world.sent
    retries = len(sent) - len({attempt.req.request_id for attempt in sent})
    assert 0 < retries <= count, retries


@then('"{request_id}" was sent to {count:d} endpoints')
def step_endpoints(context: Context, request_id: str, count: int) -> None:
    sent = context.world.attempts_of(request_id)
    assert len({attempt.endpoint.name for attempt in sent}) == count, sent
