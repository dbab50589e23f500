"""Steps for the order of queued requests."""

from behave import then, when
from behave.runner import Context

from geraniumwell.commands.serving.shares import count_used_by_organisation
from tests.commands.serving.world import make_answered


@when("the oldest attempt is answered")
def step_answer_oldest(context: Context) -> None:
    oldest = context.world.in_flight()[0]
    context.world.finish(oldest.attempt_id, make_answered())


@when('{count:d} "{class_name}" requests take {seconds:g} s each')
def step_take(context: Context, count: int, class_name: str, seconds: float) -> None:
    world = context.world
    for number in range(count):
        world.submit(f"timed-{number}", class_name)
        world.now += seconds
        world.finish(world.in_flight()[0].attempt_id, make_answered())


@then('"{org}" uses {count:d} slots')
def step_uses(context: Context, org: str, count: int) -> None:
    used = count_used_by_organisation(context.world.state.services["booking"], org)
    assert used == count, used


@then('the typical service time of "{class_name}" is above {seconds:g} s')
def step_typical(context: Context, class_name: str, seconds: float) -> None:
    service_time = context.world.state.services["booking"].service_times[class_name]
    assert service_time.typical > seconds, service_time
