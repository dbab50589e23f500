"""Steps for two daemons that share the endpoints of one data centre."""

import json
from time import sleep
from typing import Any

from behave import given, then, when
from behave.runner import Context
from grpc import StatusCode, insecure_channel

from geraniumwell.actors.peer_server import METHOD_NAME, SERVICE_NAME
from geraniumwell.codec.peer import encode_peer_message
from geraniumwell.messages.peer import ReadConfiguration
from tests.support.pair import make_peer_settings, start_pair
from tests.support.processes import ROOT, Process, call, start_daemon, wait_until
from tests.support.serving import System, get_outcome
from tests.support.tcp_proxy import TO_CLIENT, TO_SERVER

REQUEST_RUN_SECONDS = 1.0
TLS_FOLDER = ROOT / "tests" / "support" / "tls"


@given("two daemons with 1 endpoint of {slots:d} slots")
def step_pair(context: Context, slots: int) -> None:
    context.system = System(context)
    context.system.add_endpoints(1)
    context.system.configure(slots=slots)
    context.settings = start_pair(context.system)


@given("two daemons with certificates and 1 endpoint of {slots:d} slots")
def step_tls_pair(context: Context, slots: int) -> None:
    context.system = System(context)
    context.system.add_endpoints(1)
    context.system.configure(slots=slots)
    tls = {
        "certificate": str(TLS_FOLDER / "certificate.pem"),
        "private_key": str(TLS_FOLDER / "key.pem"),
        "authority": str(TLS_FOLDER / "certificate.pem"),
    }
    context.settings = start_pair(context.system, tls=tls)


@then("a peer without a certificate is refused")
def step_no_certificate(context: Context) -> None:
    address = context.settings["vm-1"]["listen"]["peers"]
    with insecure_channel(address) as channel:
        method = channel.unary_unary(f"/{SERVICE_NAME}/{METHOD_NAME}")
        body = encode_peer_message(ReadConfiguration(0))
        fut = method.future(body, timeout=10.0)
        assert fut.exception() is not None, "the daemon answered an unencrypted call"
        assert fut.code() is StatusCode.UNAVAILABLE, fut.code()


def send_many(system: System, count: int, daemons: tuple[int, ...]) -> list[object]:
    """Send requests to daemons at once and return the futures."""
    return [
        system.send_later(class_name="render", timeout_ms=20_000, daemon=daemon)
        for _ in range(count)
        for daemon in daemons
    ]


@when("{count:d} requests are sent to each daemon at once")
def step_send_each(context: Context, count: int) -> None:
    futs = send_many(context.system, count, (0, 1))
    context.outcomes = [get_outcome(fut.result()) for fut in futs]


@then("every request ran")
def step_all_ran(context: Context) -> None:
    assert set(context.outcomes) == {"ran"}, context.outcomes


@when("the first daemon is killed")
def step_kill_first(context: Context) -> None:
    context.system.daemons[0].kill()


def find_most(system: System) -> int:
    """Return the highest number of requests that the endpoint ran at once."""
    address = system.endpoints[0].address
    return call("GET", address, "/executions").json()["most"]


def uses_all(system: System, slots: int) -> bool:
    """Send a burst to the second daemon and return whether it filled the slots."""
    system.set_fault(mode="up", seconds=REQUEST_RUN_SECONDS)
    for fut in send_many(system, slots, (1,)):
        fut.result()
    return find_most(system) >= slots


@then("the second daemon eventually uses {slots:d} slots at once")
def step_uses_all(context: Context, slots: int) -> None:
    wait_until(lambda: uses_all(context.system, slots), "the return of the share")


@when("the first daemon is paused until the second uses {slots:d} slots at once")
def step_pause_first(context: Context, slots: int) -> None:
    context.system.daemons[0].pause()
    step_uses_all(context, slots)


@when("the first daemon resumes while {count:d} requests are sent to each daemon")
def step_resume_first(context: Context, count: int) -> None:
    system = context.system
    system.set_fault(mode="up", seconds=0.2)
    futs = send_many(system, count, (0, 1))
    system.daemons[0].resume()
    for fut in futs:
        fut.result()


@when("the platform is down for {seconds:d} s")
def step_platform_down_for(context: Context, seconds: int) -> None:
    fault = {"mode": "down"}
    call("POST", context.system.platform.address, "/faults", json=fault)
    # The scenario's outage outlasts the lease, so only the peers can keep it alive.
    statuses = []

    def is_over() -> bool:
        statuses.append(call("GET", context.system.platform.address, "/vms").status)
        # wait_until sleeps for 0.05 s after each poll.
        return len(statuses) * 0.05 > seconds

    wait_until(is_over, "the outage lasting")


@then("both daemons are ready")
def step_both_ready(context: Context) -> None:
    for daemon in context.system.daemons:
        assert context.system.is_ready(daemon)


@when("the second daemon is killed and started again")
def step_restart_second(context: Context) -> None:
    system = context.system
    system.daemons[1].kill()
    system.daemons[1] = system.keep(start_daemon(context.settings["vm-2"]))


@given("two daemons in one data centre and one in another")
def step_three(context: Context) -> None:
    context.system = System(context)
    context.system.add_endpoints(1)
    context.system.configure(slots=4)
    centres = {"vm-1": "dc-a", "vm-2": "dc-a", "vm-3": "dc-b"}
    platforms = dict.fromkeys(centres, context.system.platform.address)
    context.settings = make_peer_settings(platforms, centres)
    for cfg in context.settings.values():
        daemon = context.system.keep(start_daemon(cfg))
        context.system.daemons.append(daemon)
        wait_until(lambda d=daemon: has_configuration(d), "the configuration")


@when("both daemons of the first data centre are killed and started again")
def step_replace_both(context: Context) -> None:
    system = context.system
    for daemon in system.daemons[:2]:
        daemon.kill()
    for index in range(2):
        cfg = context.settings[f"vm-{index + 1}"]
        system.daemons[index] = system.keep(start_daemon(cfg))


@then("all daemons have the configuration")
def step_all_have_configuration(context: Context) -> None:
    for daemon in context.system.daemons:
        wait_until(lambda d=daemon: has_configuration(d), "the configuration")


def has_configuration(daemon: Process) -> bool:
    """Return whether a daemon has a configuration in force."""
    text = call("GET", daemon.address, "/readyz").data.decode()
    return "no configuration" not in text


@then("the second daemon shows the configuration of the first")
def step_has_configuration(context: Context) -> None:
    daemon = context.system.daemons[1]
    wait_until(lambda: has_configuration(daemon), "the configuration from the peer")


@given("two daemons with 1 endpoint of {slots:d} slots that can't reach each other")
def step_disconnected_pair(context: Context, slots: int) -> None:
    context.system = System(context)
    context.system.add_endpoints(1)
    context.system.configure(slots=slots)
    proxies = context.system.start_group(2, through_proxies=True)
    for proxy in proxies:
        proxy.cut(TO_SERVER, TO_CLIENT)


def read_assignment(system: System) -> dict[str, Any]:
    """Return the assignment of the data centre from the platform's table."""
    path = "/table/rows?prefix=dc/dc-a/assignment"
    rows = call("GET", system.platform.address, path).json()["rows"]
    return json.loads(rows[0]["value"])


@when("the first daemon is paused for longer than a lease and resumes")
def step_pause_and_resume(context: Context) -> None:
    system = context.system
    system.daemons[0].pause()
    wait_until(
        lambda: read_assignment(system)["members"] == ["vm-2"], "the removal of vm-1"
    )
    system.daemons[0].resume()
    wait_until(
        lambda: read_assignment(system)["members"] == ["vm-2", "vm-1"],
        "the return of vm-1",
    )


@then("both daemons become ready")
def step_become_ready(context: Context) -> None:
    for daemon in context.system.daemons:
        wait_until(lambda d=daemon: context.system.is_ready(d), "readiness")


@then("the assignment does not change for {seconds:d} s")
def step_assignment_stays(context: Context, seconds: int) -> None:
    before = read_assignment(context.system)
    sleep(seconds)
    assert read_assignment(context.system) == before, before
