"""Steps of the limits that follow from the size of a VM."""

from behave import given, then
from behave.runner import Context

from geraniumwell.commands.intake.limits import derive_limits, split_limits
from geraniumwell.model.intake import CONNECTION_BYTES

MEBIBYTE = 1_048_576
MAX_CONNECTIONS = 1_000


@given("a VM of {memory:d} MB with {descriptors:d} descriptors")
def step_vm(context: Context, memory: int, descriptors: int) -> None:
    context.memory = memory
    context.clients, context.monitoring = split_limits(
        derive_limits(memory, descriptors, MAX_CONNECTIONS, 10.0, 1000)
    )


@then("the clients' budget is at least 1 MiB and at most {budget:d} MiB")
def step_budget(context: Context, budget: int) -> None:
    found = context.clients.memory_bytes / MEBIBYTE
    assert 1 <= found <= budget, found


@then("at least {low:d} and at most {high:d} connections are allowed")
def step_connections(context: Context, low: int, high: int) -> None:
    assert low <= context.clients.connections <= high, context.clients
    assert context.monitoring.connections >= 8


@then(
    "the budgets of all servers add up to at most a quarter of the memory over 64 MB, "
    "or 2 MiB"
)
def step_sum(context: Context) -> None:
    found = context.clients.memory_bytes + 2 * context.monitoring.memory_bytes
    assert found <= max((context.memory - 64) / 4, 2) * MEBIBYTE, found


@then("connections without a request take at most half of their budget")
def step_idle(context: Context) -> None:
    for limits in (context.clients, context.monitoring):
        held = limits.connections * CONNECTION_BYTES
        assert held <= limits.memory_bytes / 2, limits
