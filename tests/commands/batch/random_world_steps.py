"""Steps of random worlds."""

from behave import given, then, when
from behave.runner import Context

from tests.commands.batch.random_world import count_not_once, make_world


@given("a random world with the seed {seed:d}")
def step_world(context: Context, seed: int) -> None:
    context.world = make_world(seed)


@given("each round is compared with one that counts everything anew")
def step_compared(context: Context) -> None:
    context.world.is_compared = True


@when("it is played to its end")
def step_play(context: Context) -> None:
    context.world.run()


@then("each task of a done job was done exactly once")
def step_once(context: Context) -> None:
    wrong = count_not_once(context.world)
    assert not wrong, wrong
