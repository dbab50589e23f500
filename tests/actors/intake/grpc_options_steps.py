"""Steps of the limits of gRPC servers, with the relay of the store as the server."""

from threading import Event
from typing import Any

from behave import given, then, when
from behave.runner import Context
from grpc import Future, RpcError, UnaryUnaryMultiCallable, insecure_channel

from geraniumwell.actors.batch.store_relay import StoreRelay
from geraniumwell.clients.table import RowRange
from geraniumwell.clients.table_relay import RELAY_SERVICE
from geraniumwell.codec.table_relay import METHOD_READ, ReadCall, encode_relayed
from tests.support.processes import find_free_port, wait_until

CALL_SECONDS = 20.0
READ = encode_relayed(ReadCall("t", "", 0, ""))


class CountingTable:
    """Table that counts reads, and may wait before it answers one."""

    __slots__ = ("calls", "may_answer")

    def __init__(self, waits: bool) -> None:
        self.calls = 0
        self.may_answer = Event()
        if not waits:
            self.may_answer.set()

    def read(self, *_: Any) -> RowRange:
        """Return no rows."""
        self.calls += 1
        self.may_answer.wait(CALL_SECONDS)
        return RowRange((), 1)


@given("a relay of the store")
def step_relay(context: Context) -> None:
    start_relay(context, waits=False)


@given("a relay of a store that does not answer")
def step_waiting_relay(context: Context) -> None:
    start_relay(context, waits=True)


def start_relay(context: Context, waits: bool) -> None:
    """Start a relay and connect to it."""
    context.relayed_table = CountingTable(waits)
    address = f"127.0.0.1:{find_free_port()}"
    relay = StoreRelay(address, lambda: context.relayed_table)
    relay.start()
    context.add_cleanup(relay.close)
    context.add_cleanup(context.relayed_table.may_answer.set)
    context.address = address
    context.call = connect(context)


def connect(context: Context) -> UnaryUnaryMultiCallable:
    """Return the method of the relay over a new connection."""
    options = (("grpc.use_local_subchannel_pool", 1),)
    channel = insecure_channel(context.address, options=options)
    context.add_cleanup(channel.close)
    return channel.unary_unary(f"/{RELAY_SERVICE}/{METHOD_READ}")


@when("a call with a message of {size:d} bytes is sent to it")
def step_large(context: Context, size: int) -> None:
    context.calls = [context.call.future(b" " * size, timeout=CALL_SECONDS)]


@when("{count:d} calls on each of {connections:d} connections are sent to it")
def step_many(context: Context, count: int, connections: int) -> None:
    methods = [connect(context) for _ in range(connections)]
    context.calls = [
        method.future(READ, timeout=CALL_SECONDS)
        for method in methods
        for _ in range(count)
    ]


def count_failures(calls: list[Future], code: str) -> int:
    """Return how many calls have failed with a code."""
    return sum(call.done() and call.code().name == code for call in calls)


@then('the call fails with "{code}"')
def step_fails(context: Context, code: str) -> None:
    step_failures(context, 1, code)


@then('at least {count:d} calls fail with "{code}"')
def step_failures(context: Context, count: int, code: str) -> None:
    wait_until(lambda: count_failures(context.calls, code) >= count, "refusals")


@then("the store was not called")
def step_no_call(context: Context) -> None:
    assert context.relayed_table.calls == 0


@then("a call with a small message is answered")
def step_answered(context: Context) -> None:
    try:
        context.call(READ, timeout=CALL_SECONDS)
    except RpcError as exc:
        raise AssertionError(exc) from exc
    assert context.relayed_table.calls == 1
