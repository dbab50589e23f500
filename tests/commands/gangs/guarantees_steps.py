"""Steps of the checks of guarantees."""

from behave import then
from behave.runner import Context

from geraniumwell.commands.gangs.guarantees import (
    Feasible,
    Infeasible,
    check_guarantees,
    find_workers_at_risk,
)


def check(context: Context) -> Feasible | Infeasible:
    """Return whether the guarantees of the scenario hold on its workers."""
    world = context.gangs
    return check_guarantees(world.workers, world.guarantees.values())


@then("the guarantees can be honoured at once")
def step_feasible(context: Context) -> None:
    assert isinstance(check(context), Feasible), check(context)


@then('the guarantees can\'t be honoured at once because "{text}"')
def step_infeasible(context: Context, text: str) -> None:
    result = check(context)
    assert isinstance(result, Infeasible)
    assert text in result.reason, result.reason


@then('the loss of any of "{workers}" alone breaks "{name}"')
def step_at_risk(context: Context, workers: str, name: str) -> None:
    world = context.gangs
    risks = find_workers_at_risk(world.view(), world.now)
    wanted = [] if workers == "none" else workers.split()
    assert [r.worker for r in risks] == wanted, risks
    assert all(r.guarantees == (name,) for r in risks), risks
