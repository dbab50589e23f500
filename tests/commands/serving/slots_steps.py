"""Steps for slots and the reserve for short work."""

from collections import Counter

from behave import given, then, when
from behave.runner import Context

from geraniumwell.commands.serving.scheduler import set_shares
from tests.commands.serving.world import make_answered


@given("the share of each endpoint is {slots:d} slots")
@when("the share of each endpoint is {slots:d} slots")
def step_share(context: Context, slots: int) -> None:
    world = context.world
    names = world.state.services["booking"].endpoints
    world.apply_effects(set_shares(world.state, dict.fromkeys(names, slots), world.now))


@given('a steady load of {count:d} "{class_name}" requests')
def step_demand(context: Context, count: int, class_name: str) -> None:
    world = context.world
    # A class is short only in comparison with a longer one.
    world.submit("render-first", "render")
    world.finish(world.in_flight()[0].attempt_id, make_answered())
    for number in range(100):
        world.submit(f"steady-{number}", class_name)
        world.now += 0.1 / count
        running = world.in_flight()
        if len(running) > count:
            world.finish(running[0].attempt_id, make_answered())
    for sent in world.in_flight():
        world.finish(sent.attempt_id, make_answered())


@then("no endpoint has more than {count:d} attempts")
def step_most(context: Context, count: int) -> None:
    used = Counter(sent.endpoint.name for sent in context.world.in_flight())
    assert max(used.values()) <= count, used


@then('fewer than {count:d} "{class_name}" attempts are in flight')
def step_fewer(context: Context, count: int, class_name: str) -> None:
    found = len(context.world.in_flight(class_name))
    assert 0 < found < count, found


@then('{count:d} "{class_name}" attempts are in flight')
def step_exactly(context: Context, count: int, class_name: str) -> None:
    found = len(context.world.in_flight(class_name))
    assert found == count, found
