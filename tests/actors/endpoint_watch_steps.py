"""Steps for endpoints that are reported as leaving."""

from time import monotonic, time

from behave import then, when
from behave.runner import Context

from tests.support.processes import call, wait_until
from tests.support.serving import get_outcome

LEAVING_SECONDS = 3.0


def count_first(context: Context) -> int:
    """Return how many requests the first endpoint ran."""
    runs = call("GET", context.system.endpoints[0].address, "/executions")
    return sum(runs.json()["runs"].values())


@when('the first endpoint is reported as leaving by "{source}"')
def step_leaving(context: Context, source: str) -> None:
    system = context.system
    # Each request adds to the retry budget, which a refusal by the endpoint needs.
    for _ in range(30):
        system.send()
    wait_until(lambda: system.send() and count_first(context) > 0, "work on both")
    match source:
        case "the platform":
            vms = [{"name": "runner-1", "leaving": True}]
            call("PUT", system.platform.address, "/vms", json={"vms": vms})
        case "a drain":
            system.configure(drained=["runner-1"])
        case "a stop":
            stop = {"target": "runner-1", "starts_at": time() + 30}
            system.configure(stops={"s": {**stop, "ends_at": time() + 600}})
        case "itself":
            system.set_fault(0, mode="leaving")
    context.reported_at = monotonic()


@when("the first endpoint leaves while the ticket's request runs")
def step_leave_running(context: Context) -> None:
    system = context.system
    context.first = system.send_later(request_id=context.ticket, class_name="confirm")
    system.wait_for_run(context.ticket)
    system.configure(drained=["runner-1"])


@then("it gets no new work after 3 s, and the second endpoint does")
def step_no_work(context: Context) -> None:
    limit = context.reported_at + LEAVING_SECONDS
    while monotonic() < limit:
        resp = context.system.send()
        assert get_outcome(resp) == "ran", (resp.status, resp.data, resp.headers)
    before = count_first(context)
    for _ in range(50):
        resp = context.system.send()
        assert get_outcome(resp) == "ran", (resp.status, resp.data, resp.headers)
    assert count_first(context) == before
