"""Steps of the bounded HTTP server, which runs in the test's process."""

from collections.abc import Iterable
from dataclasses import replace
from re import findall
from socket import SO_RCVBUF, SOL_SOCKET, create_connection, socket
from sys import getswitchinterval, setswitchinterval
from threading import Event, Thread
from time import sleep
from typing import Any

from behave import given, then, when
from behave.runner import Context

from geraniumwell.actors.intake.server import IntakeOptions, IntakeServer
from geraniumwell.model.intake import (
    BodyAccepted,
    BodyRefused,
    HeadVerdict,
    IntakeLimits,
    Phase,
    RefusalReason,
    RequestHead,
)
from tests.support.processes import wait_until

MEBIBYTE = 1_048_576
SOCKET_SECONDS = 30.0
DRAIN_SECONDS = 0.5
REFUSED_PATH = "/refused"
SMALL_PATH = "/small"
SMALL_BODY_BYTES = 100
PART = 65_536
LIMITS = IntakeLimits(
    MEBIBYTE, 20, 1.0, MEBIBYTE // 2, response_seconds=1.0, head_bytes=16_384
)
# Time in which the system passes on what clients send through loopback.
ARRIVAL_SECONDS = 0.5
BROKEN_HEAD = b"POST /broken HTTP/1.1\r\nContent-Length: 10\r\n\r\n"
MALFORMED = {
    "an invalid address": b"GET http://[ HTTP/1.1\r\n\r\n",
    "a length of 5000 digits": (
        b"POST / HTTP/1.1\r\nContent-Length: " + b"1" * 5000 + b"\r\n\r\n"
    ),
    "a head whose check fails": BROKEN_HEAD,
}


class EchoApp:
    """Answers with the path and the body of a call, or with a number of bytes."""

    __slots__ = ("paths",)

    def __init__(self) -> None:
        self.paths: list[str] = []

    def __call__(self, environ: dict[str, Any], start_response: Any) -> Iterable[bytes]:
        """Answer one call."""
        path = environ["PATH_INFO"]
        self.paths.append(path)
        body = path.encode() + environ["wsgi.input"].read()
        if path.startswith("/bytes/"):
            body = b"x" * int(path.rpartition("/")[2])
        start_response("200 OK", [("Content-Length", str(len(body)))])
        return [body]


class SwitchInterval:
    """Time after which the interpreter switches threads, until it is closed."""

    __slots__ = ("_before",)

    def __init__(self, seconds: float) -> None:
        self._before = getswitchinterval()
        setswitchinterval(seconds)

    def close(self) -> None:
        """Set the interval from before."""
        setswitchinterval(self._before)


class Running:
    """A server with its thread."""

    __slots__ = ("app", "server", "thread")

    def __init__(self, limits: IntakeLimits = LIMITS) -> None:
        self.app = EchoApp()
        options = IntakeOptions("test", limits, 2, check_head)
        self.server = IntakeServer(self.app, "127.0.0.1:0", options)
        self.thread = Thread(target=self.server.run, daemon=True)
        self.thread.start()

    def close(self) -> None:
        """End the server."""
        if self.thread.is_alive():
            self.server.request_drain()
            self.thread.join(DRAIN_SECONDS)
        if self.thread.is_alive():
            self.server.request_end_of_partial()
            self.thread.join(SOCKET_SECONDS)


def check_head(head: RequestHead) -> HeadVerdict:
    """Return whether a body may be read."""
    if head.path == REFUSED_PATH:
        return BodyRefused(404, RefusalReason.ACCESS)
    if head.path == "/broken":
        raise RuntimeError("the check failed")
    if head.path == SMALL_PATH:
        return BodyAccepted(SMALL_BODY_BYTES)
    return BodyAccepted(MEBIBYTE // 2)


def connect(context: Context) -> socket:
    """Return a new connection to the server."""
    port = context.intake.server.effective_port
    context.client = create_connection(("127.0.0.1", int(port)), SOCKET_SECONDS)
    context.processes.append(context.client)
    return context.client


def make_head(path: str, length: int, more: str = "") -> bytes:
    """Return the head of a request."""
    lines = f"POST {path} HTTP/1.1\r\nHost: x\r\nContent-Length: {length}\r\n{more}\r\n"
    return lines.encode()


def read_responses(context: Context, count: int) -> bytes:
    """Read until a number of responses has begun or the connection ends."""
    data = b""
    while data.count(b"HTTP/1.1 ") < count or not data.endswith((b"}", b"done")):
        part = context.client.recv(PART)
        if not part:
            break
        data += part
    return data


def read_until_closed(context: Context) -> bytes:
    """Read until the connection ends."""
    return b"".join(iter(lambda: context.client.recv(PART), b""))


@given("a server with these limits")
def step_server(context: Context) -> None:
    context.intake = Running()
    context.processes.append(context.intake)


@given("a server for {count:d} connections that closes those idle for {idle:d} seconds")
def step_idle_server(context: Context, count: int, idle: int) -> None:
    limits = replace(
        LIMITS, memory_bytes=8 * MEBIBYTE, connections=count, idle_seconds=idle
    )
    context.intake = Running(limits)
    context.processes.append(context.intake)


@given("{count:d} idle connections")
def step_idle_connections(context: Context, count: int) -> None:
    context.clients = [connect(context) for _ in range(count)]
    server = context.intake.server
    wait_until(lambda: len(server.active_channels) == count, "the connections")


@given("threads that take turns after each instruction")
def step_switch(context: Context) -> None:
    context.processes.append(SwitchInterval(1e-6))


@given("a client with an idle connection")
def step_idle(context: Context) -> None:
    connect(context).sendall(make_head("/done", 0))
    read_responses(context, 1)


@when("a client sends {count:d} requests on one connection, byte by byte")
def step_bytewise(context: Context, count: int) -> None:
    client = connect(context)
    context.data = b""
    for _ in range(count):
        for byte in make_head("/a", 4) + b"done":
            client.sendall(bytes((byte,)))
        context.data += read_responses(context, 1)


@when("a client sends {count:d} requests at once on one connection")
def step_pipelined(context: Context, count: int) -> None:
    client = connect(context)
    requests = [make_head(f"/{number}", 4) + b"done" for number in range(count)]
    client.sendall(b"".join(requests))
    context.data = read_responses(context, count)


@when("{clients:d} clients send {times:d} times {count:d} requests at once")
def step_many_pipelined(context: Context, clients: int, times: int, count: int) -> None:
    context.counts = [0] * times
    context.client_count, context.expected = clients, clients * count
    sockets = [connect(context) for _ in range(clients)]
    for index in range(times):
        for client in sockets:
            client.sendall((make_head("/a", 4) + b"done") * count)
        for context.client in sockets:
            data = read_responses(context, count)
            context.counts[index] += data.count(b"HTTP/1.1 200 OK")


@when("the connections are idle for {seconds:g} seconds")
def step_wait_idle(context: Context, seconds: float) -> None:
    sleep(seconds)


@when("all of them send a request while the loop is blocked for {seconds:g} seconds")
def step_blocked(context: Context, seconds: float) -> None:
    context.intake.server.request_call(lambda: sleep(seconds))
    sleep(ARRIVAL_SECONDS)
    for client in context.clients:
        client.sendall(make_head("/done", 0))


@when("all of them send a request after a new client connects in a blocked loop")
def step_blocked_at_limit(context: Context) -> None:
    blocked, proceed = Event(), Event()
    context.intake.server.request_call(lambda: (blocked.set(), proceed.wait()))
    assert blocked.wait(SOCKET_SECONDS)
    connect(context)
    for client in context.clients:
        client.sendall(make_head("/done", 0))
    sleep(ARRIVAL_SECONDS)
    proceed.set()


@when("it sends empty lines, and a request after the time for requests")
def step_empty_lines(context: Context) -> None:
    context.client.sendall(b"\r\n\r")
    # Time limits are checked after a turn of the loop, which lasts a second at most.
    sleep(LIMITS.request_seconds + 1.5)
    context.client.sendall(b"\n" + make_head("/done", 0))
    context.data = read_responses(context, 1)


@when("a client sends only the head of a request {what}")
def step_head(context: Context, what: str) -> None:
    heads = {
        "to a refused path": make_head(REFUSED_PATH, 1000),
        "with a body over the limit": make_head("/a", MEBIBYTE),
        "with a body over its limit": make_head(SMALL_PATH, SMALL_BODY_BYTES + 1),
        "with a body": make_head("/a", 1000),
    }
    connect(context).sendall(heads[what])
    context.data = read_responses(context, 1)


@when("a client sends {what} alone")
def step_malformed(context: Context, what: str) -> None:
    connect(context).sendall(MALFORMED[what])
    context.data = read_until_closed(context)


@when("a client sends {what} after another request")
def step_malformed_pipelined(context: Context, what: str) -> None:
    connect(context).sendall(make_head("/done", 0) + MALFORMED[what])
    context.data = read_until_closed(context)


@when("a client sends {size:d} bytes to a refused path")
def step_send_refused(context: Context, size: int) -> None:
    client = connect(context)
    client.sendall(make_head(REFUSED_PATH, size))
    for _ in range(size // PART):
        client.sendall(b"x" * PART)
        sleep(0.01)
    context.data = read_responses(context, 1)


@when("a client asks for permission to send a body of {size:d} bytes")
def step_expect(context: Context, size: int) -> None:
    client = connect(context)
    client.sendall(make_head("/a", size, "Expect: 100-continue\r\n"))
    context.permission = client.recv(PART)
    client.sendall(b"x" * (size - 4) + b"done")
    context.data = read_responses(context, 1)


@when("a client reads nothing of a response of {size:d} bytes")
def step_unread(context: Context, size: int) -> None:
    client = connect(context)
    client.setsockopt(SOL_SOCKET, SO_RCVBUF, 4096)
    client.sendall(make_head(f"/bytes/{size}", 0))
    wait_until(lambda: context.intake.app.paths, "the call of the application")


@when("the server is asked to drain")
def step_drain(context: Context) -> None:
    context.intake.server.request_drain()


@then("it is told to continue, and its request is answered with status {status:d}")
def step_continued(context: Context, status: int) -> None:
    assert context.permission.startswith(b"HTTP/1.1 100 "), context.permission
    step_responses(context, 1, status)


@then("it gets {count:d} response with status {status:d}")
@then("it gets {count:d} responses with status {status:d}")
def step_responses(context: Context, count: int, status: int) -> None:
    found = findall(rb"HTTP/1.1 (\d+)", context.data)
    assert found == [str(status).encode()] * count, found


@then("all of them get all their responses")
def step_all_answered(context: Context) -> None:
    assert set(context.counts) == {context.expected}, context.counts


@then("all connections are idle")
def step_all_idle(context: Context) -> None:
    conns = context.intake.server.budget.connections.values()
    # A connection left in another phase is closed in the end, so all are counted.
    wait_until(
        lambda: (
            [conn.phase for conn in list(conns)] == [Phase.IDLE] * context.client_count
        ),
        "the end of all requests",
    )


@then("all of them get a response")
def step_all_get_response(context: Context) -> None:
    count = 0
    for client in context.clients:
        context.client = client
        count += read_responses(context, 1).startswith(b"HTTP/1.1 200 OK")
    assert count == len(context.clients), count


@then("its last response has status {status:d}")
def step_last_response(context: Context, status: int) -> None:
    found = findall(rb"HTTP/1.1 (\d+)", context.data)
    assert found[-1:] == [str(status).encode()], found


@then("a further client gets {count:d} response with status {status:d}")
def step_further_client(context: Context, count: int, status: int) -> None:
    connect(context).sendall(make_head("/done", 0))
    context.data = read_responses(context, count)
    step_responses(context, count, status)


@then("the responses come in the order of the requests")
def step_order(context: Context) -> None:
    found = findall(rb"/(\d+)done", context.data)
    assert found == [str(number).encode() for number in range(len(found))], found


@then("its connection is closed after that")
def step_closed(context: Context) -> None:
    assert context.client.recv(PART) == b""


@then("its connection is closed by the server")
def step_closed_by_server(context: Context) -> None:
    server = context.intake.server
    wait_until(lambda: not server.active_channels, "the end of the connection")
    assert server.budget.held == 0, server.budget


@then("the application was not called")
def step_not_called(context: Context) -> None:
    assert context.intake.app.paths == [], context.intake.app.paths


@then("the loop of the server ends")
def step_loop_ends(context: Context) -> None:
    context.intake.thread.join(SOCKET_SECONDS)
    assert not context.intake.thread.is_alive()
