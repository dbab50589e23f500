"""Steps for the query of leaving endpoints."""

from behave import then
from behave.runner import Context

from geraniumwell.model.config import Configuration, PlannedStop
from geraniumwell.queries.leaving import find_leaving


@then("an endpoint whose planned stop of 100 s started {seconds:d} s ago {state}")
def step_leaving(context: Context, seconds: int, state: str) -> None:
    cfg = Configuration(stops={"s": PlannedStop("runner-1", 1000.0, 1100.0)})
    found = "runner-1" in find_leaving(cfg, (), 1000.0 + seconds)
    assert found == (state == "is leaving")
