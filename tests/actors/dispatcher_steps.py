"""Steps for requests, tickets and faults with real processes."""

from time import sleep

from behave import given, then, when
from behave.runner import Context

from geraniumwell.const import MEMBER_LEASE_SECONDS
from tests.support.processes import call, wait_until
from tests.support.serving import System, get_code, get_outcome


@given("a daemon with {count:d} endpoints of {slots:d} slots")
def step_system(context: Context, count: int, slots: int) -> None:
    context.system = System(context)
    context.system.add_endpoints(count)
    context.system.configure(slots=slots)
    context.system.start()


@given("the endpoints run each request for {seconds:g} s")
def step_seconds(context: Context, seconds: float) -> None:
    for index in range(len(context.system.endpoints)):
        context.system.set_fault(index, seconds=seconds)


@given('the endpoints are "{mode}"')
@when('the endpoints become "{mode}"')
def step_mode(context: Context, mode: str) -> None:
    for index in range(len(context.system.endpoints)):
        context.system.set_fault(index, mode=mode, seconds=0.2)


@given("a ticket")
def step_ticket(context: Context) -> None:
    context.ticket = context.system.issue()[0]


@when('the ticket is presented with the body "{body}"')
@when('the ticket is presented again with the body "{body}"')
def step_present(context: Context, body: str) -> None:
    context.resp = context.system.send(context.ticket, "confirm", body)


@when("the ticket is presented while its request runs")
def step_present_twice(context: Context) -> None:
    system = context.system
    context.first = system.send_later(request_id=context.ticket, class_name="confirm")
    system.wait_for_run(context.ticket)
    context.resp = system.send(context.ticket, "confirm")


@when("the ticket is presented with a timeout of {ms:d} ms")
def step_present_timeout(context: Context, ms: int) -> None:
    context.resp = context.system.send(context.ticket, "confirm", "body" * 10, ms)


@when("another organisation presents the ticket")
def step_present_other(context: Context) -> None:
    context.resp = context.system.send(
        context.ticket, "confirm", "body", token="other-token"
    )


@when('a "{class_name}" request without a ticket is sent')
def step_send(context: Context, class_name: str) -> None:
    context.resp = context.system.send(class_name=class_name)


@when("{count:d} requests of each class are sent at once")
def step_send_many(context: Context, count: int) -> None:
    futs = [
        context.system.send_later(class_name=name, timeout_ms=20_000)
        for name in ("quote", "render")
        for _ in range(count)
    ]
    context.outcomes = [get_outcome(fut.result()) for fut in futs]


@then('the outcome is "{outcome}" with code "{code}"')
def step_outcome_code(context: Context, outcome: str, code: str) -> None:
    found = (get_outcome(context.resp), get_code(context.resp))
    assert found == (outcome, code), found


@then('the outcome is "{outcome}" with the body "{body}"')
def step_outcome_body(context: Context, outcome: str, body: str) -> None:
    found = (get_outcome(context.resp), context.resp.data.decode())
    assert found == (outcome, body), found


@then('the first answer is "{outcome}"')
def step_first(context: Context, outcome: str) -> None:
    assert get_outcome(context.first.result()) == outcome


@then("the ticket ran {count:d} times")
def step_ran(context: Context, count: int) -> None:
    found = context.system.count_runs().get(context.ticket, 0)
    assert found == count, found


@then('the outcome query of "{token}" answers {status:d} and "{outcome}"')
def step_find(context: Context, token: str, status: int, outcome: str) -> None:
    resp = context.system.find(context.ticket, token)
    found = (resp.status, get_outcome(resp))
    assert found == (status, outcome), (found, resp.data)


@then("every request was answered by an endpoint")
def step_all_ran(context: Context) -> None:
    assert set(context.outcomes) == {"ran"}, context.outcomes


@then("no endpoint ran more than {slots:d} requests at once")
def step_most(context: Context, slots: int) -> None:
    for ep in context.system.endpoints:
        most = call("GET", ep.address, "/executions").json()["most"]
        assert most <= slots, most


@when("the platform goes down")
def step_platform_down(context: Context) -> None:
    call("POST", context.system.platform.address, "/faults", json={"mode": "down"})


@when("the platform is down for longer than a lease")
def step_platform_down_long(context: Context) -> None:
    step_platform_down(context)
    sleep(1.5 * MEMBER_LEASE_SECONDS)


@when("the platform comes back")
def step_platform_up(context: Context) -> None:
    call("POST", context.system.platform.address, "/faults", json={"mode": "up"})


@given("a daemon that starts while the platform is down")
def step_start_down(context: Context) -> None:
    context.system = System(context)
    context.system.add_endpoints(1)
    context.system.configure()
    step_platform_down(context)
    context.system.start(wait=False)


@then('the daemon is not ready because of "{code}"')
def step_not_ready(context: Context, code: str) -> None:
    resp = call("GET", context.system.daemons[0].address, "/readyz")
    assert (resp.status, get_code(resp)) == (503, code), resp.data


@then("the daemon becomes ready")
def step_ready(context: Context) -> None:
    daemon = context.system.daemons[0]
    wait_until(lambda: context.system.is_ready(daemon), "readiness")


@when("the daemon is killed while the ticket's request runs")
def step_kill(context: Context) -> None:
    system = context.system
    context.first = system.send_later(request_id=context.ticket, class_name="confirm")
    system.wait_for_run(context.ticket)
    system.daemons[0].kill()


@when("the daemon is started again")
def step_restart(context: Context) -> None:
    context.system.daemons.clear()
    context.system.start()
