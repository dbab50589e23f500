"""Steps of the simulation of acceptance, removal and takeover."""

from random import Random

from behave import then, when
from behave.runner import Context

from tests.actors.batch.removal_simulation import RemovalSimulation


@when("the removal of jobs is simulated with the seeds {first:d} to {last:d}")
def step_simulate(context: Context, first: int, last: int) -> None:
    context.simulations = []
    for seed in range(first, last + 1):
        simulation = RemovalSimulation(Random(seed))
        try:
            simulation.run()
        except AssertionError as exc:
            raise AssertionError(f"seed {seed}: {exc}") from exc
        context.simulations.append(simulation)


@then("jobs were started, and some under ids that were used before")
def step_started(context: Context) -> None:
    assert all(simulation.starts > 20 for simulation in context.simulations)
    assert all(simulation.reuses > 0 for simulation in context.simulations)
