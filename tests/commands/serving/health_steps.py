"""Steps for endpoint health and endpoint selection."""

from collections import Counter
from random import Random

from behave import given, then, when
from behave.runner import Context

from geraniumwell.model.serving import AttemptResult, NotSent
from tests.commands.serving.world import World, make_answered, make_world


def give_results(
    world: World, endpoint: str | None, count: int, class_name: str, bad: AttemptResult
) -> None:
    """Submit requests until an endpoint has returned ``count`` bad results."""
    for _ in range(20 * count):
        if count == 0:
            return
        world.submit(f"health-{len(world.sent)}", class_name)
        for sent in world.in_flight():
            is_bad = endpoint in (None, sent.endpoint.name)
            count -= is_bad
            world.finish(sent.attempt_id, bad if is_bad else make_answered())
            if count == 0:
                break
    for sent in world.in_flight():
        world.finish(sent.attempt_id, make_answered())


@given('"{endpoint}" answers {count:d} "{class_name}" requests with errors')
def step_errors(context: Context, endpoint: str, count: int, class_name: str) -> None:
    state = context.world.state
    for _ in range(count):
        if state.services["booking"].endpoints[endpoint].is_excluded:
            return
        give_results(context.world, endpoint, 1, class_name, make_answered(500))


@given('every endpoint answers {count:d} "{class_name}" requests with errors')
def step_all_errors(context: Context, count: int, class_name: str) -> None:
    for _ in range(count):
        give_results(context.world, None, 1, class_name, make_answered(500))
        context.world.now += 0.1


@given('"{endpoint}" can\'t be reached for {count:d} "{class_name}" requests')
def step_unreached(
    context: Context, endpoint: str, count: int, class_name: str
) -> None:
    state = context.world.state
    for _ in range(count):
        if state.services["booking"].endpoints[endpoint].is_excluded:
            return
        refused = NotSent("connection refused")
        give_results(context.world, endpoint, 1, class_name, refused)


@when('"{endpoint}" answers its attempts')
def step_answers(context: Context, endpoint: str) -> None:
    for sent in context.world.in_flight():
        if sent.endpoint.name == endpoint:
            context.world.finish(sent.attempt_id, make_answered())


@when("{count:d} daemons with {endpoints:d} endpoints each send their first request")
def step_choose(context: Context, count: int, endpoints: int) -> None:
    context.chosen = Counter()
    for number in range(count):
        world = make_world(endpoints, 4)
        world.state.rng = Random(number)
        world.submit("first", "quote")
        context.chosen[world.sent[0].endpoint.name] += 1
    assert len(context.chosen) == endpoints, context.chosen


@then("every endpoint is chosen by {low:d} to {high:d} daemons")
def step_chosen(context: Context, low: int, high: int) -> None:
    found = context.chosen.values()
    assert low <= min(found), context.chosen
    assert max(found) <= high, context.chosen


@then('"{endpoint}" has {count:d} attempts')
def step_has(context: Context, endpoint: str, count: int) -> None:
    names = [sent.endpoint.name for sent in context.world.in_flight()]
    assert names.count(endpoint) == count, names
