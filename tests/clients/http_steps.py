"""Steps of the connection pools of HTTP clients, with a server in a thread."""

from socket import AF_INET, SOCK_STREAM, socket
from threading import Event, Thread
from unittest.mock import patch

from behave import given, then, when
from behave.runner import Context

from geraniumwell.clients.http import make_pool

RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
CALL_TIMEOUT_SECONDS = 10.0


def serve(context: Context, is_closing: bool) -> None:
    """Start a server; ``is_closing`` makes it close connections after a response."""
    listener = socket(AF_INET, SOCK_STREAM)
    listener.bind(("127.0.0.1", 0))
    listener.listen()
    context.add_cleanup(listener.close)

    def run() -> None:
        while True:
            try:
                conn, _ = listener.accept()
            except OSError:
                return
            with conn:
                while conn.recv(65_536):
                    conn.sendall(RESPONSE)
                    if is_closing:
                        break

    Thread(target=run, daemon=True).start()
    address = f"127.0.0.1:{listener.getsockname()[1]}"
    context.pool = make_pool(address, CALL_TIMEOUT_SECONDS, CALL_TIMEOUT_SECONDS)
    context.add_cleanup(context.pool.close)


@given("a connection to a server that keeps it open")
def step_server(context: Context) -> None:
    serve(context, False)


@given("a connection to a server that closes it after each response")
def step_closing_server(context: Context) -> None:
    serve(context, True)


@when("{count:d} requests are sent one after the other")
def step_requests(context: Context, count: int) -> None:
    # Replaces the poll of urllib3 by one that finds no data.
    with patch("urllib3.connection.wait_for_read", return_value=False) as poll:
        for _ in range(count):
            assert context.pool.request("GET", "/").status == 200
    context.polls = poll.call_count


@when("{count:d} requests are sent {seconds:g} seconds apart")
def step_requests_apart(context: Context, count: int, seconds: float) -> None:
    context.statuses = []
    for _ in range(count):
        context.statuses.append(context.pool.request("GET", "/").status)
        Event().wait(seconds)


@then("the connection is polled at most once")
def step_polls(context: Context) -> None:
    assert context.polls <= 1, context.polls


@then("all requests succeed")
def step_all_succeed(context: Context) -> None:
    assert set(context.statuses) == {200}, context.statuses
