"""Steps of the reader of requests to the TLS server."""

from socket import socketpair

from behave import given, then, when
from behave.runner import Context

from geraniumwell.actors.tls_server import RequestReader
from geraniumwell.model.intake import IntakeLimits
from geraniumwell.util.clock import monotonic_seconds

BODY_BYTES = 1_000


@given(
    "a request with {request:d} second to arrive "
    "and {response:d} seconds for its response"
)
def step_request(context: Context, request: int, response: int) -> None:
    context.conn, context.client = socketpair()
    context.processes += [context.conn, context.client]
    limits = IntakeLimits(0, 1, request, BODY_BYTES, response_seconds=response)
    context.reader = RequestReader(context.conn, limits, monotonic_seconds())


@when("a part of it is read")
def step_read(context: Context) -> None:
    context.client.sendall(b"POST")
    assert context.reader.read(BODY_BYTES) == b"POST"


@when("nothing more arrives before its time is over")
def step_timeout(context: Context) -> None:
    try:
        context.reader.read(BODY_BYTES)
    except TimeoutError:
        return
    raise AssertionError("the read did not end with its time")


@then("the socket has a timeout of {seconds:d} seconds")
def step_socket(context: Context, seconds: int) -> None:
    assert context.conn.gettimeout() == seconds, context.conn.gettimeout()
