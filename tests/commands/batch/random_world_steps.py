"""Steps of random worlds."""

from behave import given, then, when
from behave.runner import Context

from tests.commands.batch.random_world import count_not_once, make_world


@given("a simulated cluster with the seed {seed:d}")
def step_world(context: Context, seed: int) -> None:
    context.world = make_world(seed)


@given("each planning round is compared with one that rebuilds all indexes")
def step_compared(context: Context) -> None:
    context.world.is_compared = True


@when("the simulation runs until all jobs have ended")
def step_play(context: Context) -> None:
    context.world.run()


@then("each task of a completed job was completed exactly once")
def step_once(context: Context) -> None:
    wrong = count_not_once(context.world)
    assert not wrong, wrong
