"""Steps of refusals by the server for clients of ``serve-platform``."""

from collections.abc import Iterable
from socket import create_connection
from threading import Thread
from typing import Any

from behave import given, then, when
from behave.runner import Context
from prometheus_client import REGISTRY

from geraniumwell.actors.intake.server import IntakeOptions
from geraniumwell.model.intake import IntakeLimits
from geraniumwell.platform.client_server import ClientServer, make_refusal
from geraniumwell.platform.head_check import HeadCheck
from tests.support.batch import make_test_catalog
from tests.support.processes import wait_until

MEMORY_BYTES = 1_048_576
BODY_BYTES = 5_000
SOCKET_SECONDS = 10.0
HEAD = (
    "POST /quotes/00000000000000aa HTTP/1.1\r\nHost: host\r\n"
    "Api-Key: key-desks\r\nContent-Length: {}\r\n\r\n"
)


def refuse_call(environ: dict[str, Any], start_response: Any) -> Iterable[bytes]:
    """Fail, because no request of these scenarios may reach the application."""
    raise AssertionError(environ["PATH_INFO"])


def count_calls() -> float:
    """Return how many submissions were refused because of their size."""
    labels = {"operation": "submit", "outcome": "413"}
    return REGISTRY.get_sample_value("geraniumwell_batch_calls_total", labels) or 0.0


@given("a server for clients with the test configuration, which allows 1000 bytes")
def step_server(context: Context) -> None:
    check = HeadCheck(BODY_BYTES)
    check.set_catalog(make_test_catalog())
    limits = IntakeLimits(MEMORY_BYTES, 20, 5.0, BODY_BYTES)
    options = IntakeOptions("clients", limits, 1, check.check, make_refusal)
    context.server = ClientServer(refuse_call, "127.0.0.1:0", options)
    thread = Thread(target=context.server.run, daemon=True)
    thread.start()
    context.add_cleanup(thread.join, SOCKET_SECONDS)
    context.add_cleanup(context.server.request_drain)


@when("a client sends the head of a job with a body of {size:d} bytes")
def step_head(context: Context, size: int) -> None:
    context.before = count_calls()
    address = ("127.0.0.1", int(context.server.effective_port))
    with create_connection(address, SOCKET_SECONDS) as sock:
        sock.sendall(HEAD.format(size).encode())
        context.data = sock.recv(4096)


@then("it gets status 413, and 1 more submission with that status is counted")
def step_counted(context: Context) -> None:
    assert context.data.startswith(b"HTTP/1.1 413 "), context.data
    wait_until(lambda: count_calls() == context.before + 1, "the count")
