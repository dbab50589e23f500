"""Steps of the headroom for urgent work."""

from behave import then
from behave.runner import Context


@then('the idle workers are in the rack "{rack}"')
def step_idle(context: Context, rack: str) -> None:
    idle = [w for w in context.cluster.workers.values() if not w.tasks]
    assert idle
    assert {worker.entry.rack for worker in idle} == {rack}, idle
