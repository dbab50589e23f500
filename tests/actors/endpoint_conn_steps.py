"""Steps for failing connections to endpoints."""

from behave import given, then, when
from behave.runner import Context

from tests.support.processes import call
from tests.support.serving import System, get_outcome
from tests.support.tcp_proxy import TcpProxy


@given("a daemon whose endpoint is behind a proxy")
def step_proxy(context: Context) -> None:
    context.system = System(context)
    context.system.add_endpoints(1)
    context.proxy = context.system.keep(TcpProxy(context.system.endpoints[0].address))
    context.system.configure([context.proxy.address])
    context.system.start()
    assert context.system.send(body="first").data == b"first"


@given("enough requests were answered to allow retries")
def step_earn_retries(context: Context) -> None:
    for _ in range(60):
        assert get_outcome(context.system.send()) == "ran"


@when("the open connections stop responding")
def step_silence(context: Context) -> None:
    context.accepted = context.proxy.accepted
    context.proxy.silence_open()


@when('the proxy drops what goes "{direction}"')
def step_cut(context: Context, direction: str) -> None:
    context.accepted = context.proxy.accepted
    context.proxy.cut(direction)


@when("the proxy forwards all traffic again")
def step_heal(context: Context) -> None:
    context.proxy.heal()


@when("the endpoint that runs the ticket's request is killed")
def step_kill_endpoint(context: Context) -> None:
    system = context.system
    context.first = system.send_later(request_id=context.ticket, class_name="confirm")
    system.wait_for_run(context.ticket)
    for index, ep in enumerate(system.endpoints):
        system.set_fault(index, seconds=0)
        if context.ticket in call("GET", ep.address, "/executions").json()["runs"]:
            ep.kill()


@then("the next requests are answered")
def step_next(context: Context) -> None:
    for number in range(5):
        body = f"next {number}"
        resp = context.system.send(body=body, timeout_ms=5000)
        found = get_outcome(resp), resp.data.decode()
        assert found == ("ran", body), (found, dict(resp.headers))


@then("the next requests are answered over new connections")
def step_next_new(context: Context) -> None:
    step_next(context)
    assert context.proxy.accepted > context.accepted


@then('the first outcome "{outcome}" is final and the ticket never ran')
def step_final(context: Context, outcome: str) -> None:
    assert get_outcome(context.resp) == outcome
    context.system.set_fault(mode="up")
    again = context.system.send(context.ticket, "confirm")
    assert get_outcome(again) == outcome
    assert context.ticket not in context.system.count_runs()
