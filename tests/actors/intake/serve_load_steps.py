"""Steps of a client load on a real daemon of ``serve``."""

from ssl import create_default_context
from typing import Any

from behave import given, then, when
from behave.runner import Context
from urllib3 import PoolManager
from urllib3.exceptions import HTTPError

from tests.actors.intake.client_load_steps import SEND_SECONDS
from tests.support.client_load import ClientLoad, make_serve_request
from tests.support.processes import (
    ROOT,
    call,
    make_settings,
    start_daemon,
    start_stand_in,
    wait_until,
)

CERTIFICATE = ROOT / "tests" / "support" / "tls" / "certificate.pem"
CALLER = {"Authorization": "Bearer desk-token"}
STATEMENT = b"show organisations"
OPERATOR = {"Authorization": "Bearer operator-token"}


def start(context: Context, **more: Any) -> None:
    """Start a daemon with the memory of a small VM."""
    platform = start_stand_in("platform")
    context.processes.append(platform)
    settings = make_settings("vm-1", "dc-a", platform.address)
    settings["limits"] = {"memory_mb": 160, "request_seconds": 2}
    context.serve_settings = settings | more
    context.daemon = start_daemon(context.serve_settings)
    context.processes.append(context.daemon)


@given("a daemon of serve with 160 MB")
def step_serve(context: Context) -> None:
    start(context)


@given("a daemon of serve with 160 MB, and TLS")
def step_serve_tls(context: Context) -> None:
    key = str(CERTIFICATE.with_name("key.pem"))
    certificate = str(CERTIFICATE)
    start(
        context,
        tls={
            "certificate": certificate,
            "private_key": key,
            "authority": certificate,
        },
    )


@when("{count:d} connections to its {server} send {kind} without the end")
def step_serve_load(context: Context, count: int, server: str, kind: str) -> None:
    address = context.serve_settings["listen"][server]
    load = ClientLoad(address, count, make_serve_request(server, kind))
    context.processes.append(load)
    context.loads = [load]
    load.send(SEND_SECONDS)


@then("it answers a readiness check and an operator")
def step_answers(context: Context) -> None:
    listen = context.serve_settings["listen"]
    wait_until(lambda: is_answered(listen["callers"]), "a readiness check")
    wait_until(lambda: is_operator_answered(context), "an operator")


def is_answered(address: str) -> bool:
    """Return whether callers get an answer."""
    try:
        return call("GET", address, "/healthz").status == 200
    except HTTPError:
        return False


def is_operator_answered(context: Context) -> bool:
    """Return whether operators get the metrics."""
    try:
        return call_operators(context, "GET", "/metrics", b"").status == 200
    except HTTPError:
        return False


def call_operators(context: Context, method: str, path: str, body: bytes) -> Any:
    """Make a call to the operators' server, over TLS if the daemon uses it."""
    address = context.serve_settings["listen"]["operators"]
    if "tls" not in context.serve_settings:
        return call(method, address, path, headers=OPERATOR, body=body)
    trust = create_default_context(cafile=str(CERTIFICATE))
    with PoolManager(ssl_context=trust) as pool:
        url = f"https://{address}{path}"
        return pool.request(method, url, headers=OPERATOR, body=body, retries=False)


@then("it answers a caller and an operator that send a token and a body")
def step_bodies(context: Context) -> None:
    address = context.serve_settings["listen"]["callers"]
    resp = call("POST", address, "/v1/tickets", headers=CALLER, body=b'{"count": 1}')
    assert resp.status == 200, (resp.status, resp.data)
    resp = call_operators(context, "POST", "/v1/statements", STATEMENT)
    assert resp.status == 200, (resp.status, resp.data)
