"""Steps of the simulation with random faults."""

from behave import given, then, when
from behave.runner import Context

from tests.commands.batch.fault_simulation import find_wrong_counts, make_simulation


@given("a simulated cluster with the seed {seed:d}")
def step_simulation(context: Context, seed: int) -> None:
    context.simulation = make_simulation(seed)


@given("each planning round is compared with one that rebuilds all indexes")
def step_compared(context: Context) -> None:
    context.simulation.checks_indexes = True


@when("the simulation runs until all jobs have ended")
def step_run(context: Context) -> None:
    context.simulation.run()


@then("each task of a completed job was completed exactly once")
def step_once(context: Context) -> None:
    wrong = find_wrong_counts(context.simulation)
    assert not wrong, wrong
