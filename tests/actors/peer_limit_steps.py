"""Steps of calls to a peer server at its limit of concurrent calls."""

from queue import SimpleQueue
from typing import Any

from behave import given, then, when
from behave.runner import Context
from loguru import logger
from msgspec.json import encode
from pykka import ThreadingActor

from geraniumwell.actors.peer_link import PeerLink
from geraniumwell.actors.peer_server import (
    CONCURRENT_CALLS,
    METHOD_NAME,
    SERVICE_NAME,
    PeerReceivers,
    PeerServer,
)
from geraniumwell.codec.peer import encode_peer_message
from geraniumwell.codec.settings import parse_settings
from geraniumwell.messages.peer import CallPeer, PeerCallFailed, ReadConfiguration
from geraniumwell.model.settings import PeerAddress
from tests.support.grpc_load import fill_server
from tests.support.processes import make_settings

CALL_SECONDS = 10.0
CALL = ReadConfiguration(0)


class SilentActor(ThreadingActor):
    """Records the messages that it receives and answers none."""

    use_daemon_thread = True

    def __init__(self, received: SimpleQueue[Any]) -> None:
        super().__init__()
        self._received = received

    def on_receive(self, message: Any) -> None:
        """Record a message."""
        self._received.put(message)


@given("a peer server whose actors do not answer, with as many calls as it accepts")
def step_full(context: Context) -> None:
    silent = SilentActor.start(SimpleQueue())
    context.add_cleanup(silent.stop)
    settings = make_settings("vm-1", "dc-a", "127.0.0.1:9")
    server = PeerServer(
        parse_settings(encode(settings)), PeerReceivers(silent, silent, silent, None)
    )
    server.start()
    context.add_cleanup(server.close)
    context.address = settings["listen"]["peers"]
    path = f"/{SERVICE_NAME}/{METHOD_NAME}"
    data = encode_peer_message(CALL)
    fill_server(context, context.address, path, data, CONCURRENT_CALLS)


@when("a peer link calls it")
def step_call(context: Context) -> None:
    received: SimpleQueue[Any] = SimpleQueue()
    receiver = SilentActor.start(received)
    link = PeerLink.start(PeerAddress("vm-1", "dc-a", context.address), None)
    context.add_cleanup(receiver.stop)
    context.add_cleanup(link.stop)
    context.warnings = []
    sink = logger.add(context.warnings.append, level="WARNING")
    context.add_cleanup(logger.remove, sink)
    link.tell(CallPeer("a", CALL, CALL_SECONDS, receiver))
    context.found = received.get(timeout=CALL_SECONDS + 1)
    # The link records whether the peer is reachable before it takes the next message.
    link.ask(None)


@then("the call failed, was not run, and the peer counts as reachable")
def step_not_run(context: Context) -> None:
    match context.found:
        case PeerCallFailed("a", "vm-1", is_sent, reason):
            assert not is_sent, reason
        case other:
            raise AssertionError(other)
    assert not any("not reachable" in text for text in context.warnings)
