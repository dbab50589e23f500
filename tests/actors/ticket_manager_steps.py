"""Steps for tickets and outcomes with several daemons."""

from behave import given, then, when
from behave.runner import Context

from tests.support.processes import call, wait_until
from tests.support.serving import System, get_outcome
from tests.support.tcp_proxy import TO_CLIENT, TO_SERVER

COPIES_METRIC = "geraniumwell_outcome_copies "


@given("{count:d} daemons with {endpoints:d} endpoints of {slots:d} slots")
def step_group(context: Context, count: int, endpoints: int, slots: int) -> None:
    context.system = System(context)
    context.system.add_endpoints(endpoints)
    context.system.configure(slots=slots)
    context.system.start_group(count)


@given("2 daemons behind proxies with {endpoints:d} endpoints of {slots:d} slots")
def step_proxied_group(context: Context, endpoints: int, slots: int) -> None:
    context.system = System(context)
    context.system.add_endpoints(endpoints)
    context.system.configure(slots=slots)
    context.proxies = context.system.start_group(2, through_proxies=True)


@when('the ticket is presented to daemon {number:d} with the body "{body}"')
def step_present_to(context: Context, number: int, body: str) -> None:
    context.resp = context.system.send(
        context.ticket, "confirm", body, timeout_ms=3000, daemon=number - 1
    )


@when("the ticket is presented to daemon {number:d} while its request runs")
def step_present_both(context: Context, number: int) -> None:
    system = context.system
    context.first = system.send_later(request_id=context.ticket, class_name="confirm")
    system.wait_for_run(context.ticket)
    context.resp = system.send(context.ticket, "confirm", daemon=number - 1)


@when("the issuer is killed after its outcomes were copied")
def step_kill_issuer(context: Context) -> None:
    assert get_outcome(context.resp) == "ran"
    # While the issuer runs, outcome queries go to it, so they can't show the copy.
    wait_until(lambda: count_copies(context.system) > 0, "the copy of the outcome")
    context.system.daemons[0].kill()


def count_copies(system: System) -> float:
    """Return how many outcome copies the daemons except the first keep."""
    headers = {"Authorization": "Bearer operator-token"}
    total = 0.0
    for cfg in system.settings[1:]:
        address = cfg["listen"]["operators"]
        text = call("GET", address, "/metrics", headers=headers).data.decode()
        lines = [ln for ln in text.splitlines() if ln.startswith(COPIES_METRIC)]
        total += float(lines[0].rsplit(" ", 1)[1])
    return total


@when("the peers are cut off from each other")
def step_cut_peers(context: Context) -> None:
    for proxy in context.proxies:
        proxy.cut(TO_SERVER, TO_CLIENT)


@then('daemon 2 and daemon 3 answer the outcome query with "{outcome}"')
def step_find_copies(context: Context, outcome: str) -> None:
    for daemon in (1, 2):
        resp = context.system.find(context.ticket, daemon=daemon)
        assert get_outcome(resp) == outcome, resp.data


@then("another organisation learns nothing from daemon 2 and daemon 3")
def step_find_other(context: Context) -> None:
    for daemon in (1, 2):
        resp = context.system.find(context.ticket, "other-token", daemon)
        assert get_outcome(resp) == "unknown", resp.data


@then('the outcome is "{outcome}" with a body of {size:d} bytes')
def step_large(context: Context, outcome: str, size: int) -> None:
    found = (get_outcome(context.resp), len(context.resp.data))
    assert found == (outcome, size), found
