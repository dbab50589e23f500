"""Steps for overflow between daemons."""

from behave import then
from behave.runner import Context

from tests.support.processes import call


@then("the endpoint ran between {least:d} and {slots:d} requests at once")
def step_between(context: Context, least: int, slots: int) -> None:
    address = context.system.endpoints[0].address
    most = call("GET", address, "/executions").json()["most"]
    assert least <= most <= slots, most
