"""Steps for the configuration manager, with links that record messages."""

from typing import Any
from unittest.mock import patch

from behave import given, then, when
from behave.runner import Context
from pykka import ThreadingFuture

from geraniumwell.actors.config_manager import ConfigManager, Tag
from geraniumwell.clients.platform import Row
from geraniumwell.codec.json import encode_json
from geraniumwell.language.parser import parse_statements
from geraniumwell.messages.operators import (
    ManagerState,
    PeerVersionReported,
    ReadState,
    SubmitChange,
)
from geraniumwell.messages.peer import (
    CallPeer,
    ConfigurationRead,
    PeerAnswered,
    PeerRequestReceived,
    PeersChanged,
    ReadConfiguration,
)
from geraniumwell.messages.platform import (
    PlatformFailed,
    ReadRows,
    RowsRead,
    Transact,
)
from geraniumwell.messages.serving import ConfigurationChanged, Tick
from geraniumwell.model.config import Configuration

REPLY_SECONDS = 30.0


class Recorder:
    """Takes the place of an actor and records the messages to it."""

    def __init__(self) -> None:
        self.messages: list[Any] = []

    def tell(self, message: Any) -> None:
        """Record a message."""
        self.messages.append(message)

    def tick_at(self, due: float, receiver: Any, name: str) -> None:
        """Send no ticks, because the scenarios send them."""

    def close(self) -> None:
        """Do nothing; scenarios close all their actors by this method."""


class ActorHandle:
    """Stops an actor at the end of its scenario."""

    def __init__(self, ref: Any) -> None:
        self._ref = ref

    def close(self) -> None:
        """Stop the actor."""
        self._ref.stop()


@given('a configuration manager with links to peers "{first}" and "{second}"')
def step_start(context: Context, first: str, second: str) -> None:
    context.link, context.subscriber = Recorder(), Recorder()
    context.peers = {first: Recorder(), second: Recorder()}
    args: Any = (context.link, Recorder(), (context.subscriber,), "vm-1")
    context.manager = ConfigManager.start(*args)
    context.processes.append(ActorHandle(context.manager))
    centres = dict.fromkeys(context.peers, "dc-a")
    links: Any = context.peers
    context.manager.tell(PeersChanged(links, centres))
    read_state(context)


def read_state(context: Context) -> ManagerState:
    """Return the state after all messages so far."""
    reply: ThreadingFuture[ManagerState] = ThreadingFuture()
    context.manager.tell(ReadState(reply))
    return reply.get(timeout=REPLY_SECONDS)


@when("the platform fails")
def step_fail(context: Context) -> None:
    context.manager.tell(PlatformFailed(Tag.ALL, "test"))


@then("each peer is queried for a version above 0")
def step_asked(context: Context) -> None:
    read_state(context)
    for peer in context.peers.values():
        assert [call.body for call in peer.messages] == [ReadConfiguration(0)], (
            peer.messages
        )


@when('"{vm}" answers with version {version:d}')
def step_answer(context: Context, vm: str, version: int) -> None:
    body = ConfigurationRead(Configuration(version))
    context.manager.tell(PeerAnswered(Tag.PEER, vm, body))


@when('"{vm}" reports version {version:d}')
def step_report(context: Context, vm: str, version: int) -> None:
    context.manager.tell(PeerVersionReported(vm, version))


@when("the platform returns the head {version:d}")
def step_head(context: Context, version: int) -> None:
    row = Row("config/head", version, f'{{"version":{version}}}')
    context.manager.tell(RowsRead(Tag.HEAD, (row,)))


@given("the platform returned an empty table")
def step_empty(context: Context) -> None:
    context.manager.tell(RowsRead(Tag.ALL, ()))


@when("the platform returns rows that hold no configuration")
def step_unreadable(context: Context) -> None:
    context.manager.tell(RowsRead(Tag.ALL, (Row("config/head", 1, "nonsense"),)))


@then("version {version:d} is in force and the subscriber was notified of {versions}")
def step_in_force(context: Context, version: int, versions: str) -> None:
    assert read_state(context).cfg.version == version
    assert all(isinstance(m, ConfigurationChanged) for m in context.subscriber.messages)
    found = [message.cfg.version for message in context.subscriber.messages]
    assert found == [int(item) for item in versions.split(" and ")], found


@then('only "{vm}" is queried for a version above {version:d}, once')
def step_asked_once(context: Context, vm: str, version: int) -> None:
    read_state(context)
    for name, peer in context.peers.items():
        bodies = [call.body for call in peer.messages if isinstance(call, CallPeer)]
        wanted = 1 if name == vm else 0
        assert bodies.count(ReadConfiguration(version)) == wanted, (name, bodies)


@then("the platform is queried for the head once and no peer is queried")
def step_head_asked(context: Context) -> None:
    read_state(context)
    assert all(peer.messages == [] for peer in context.peers.values())
    reads = [m.prefix for m in context.link.messages if isinstance(m, ReadRows)]
    assert reads.count("config/head") == 1, reads


def ask_as_peer(context: Context, above_version: int) -> Any:
    """Return the configuration that a peer receives."""
    reply: ThreadingFuture[Any] = ThreadingFuture()
    context.manager.tell(PeerRequestReceived(ReadConfiguration(above_version), reply))
    return reply.get(timeout=REPLY_SECONDS).cfg


@then("a peer that asks for a version above {above:d} receives version {version:d}")
def step_peer_gets(context: Context, above: int, version: int) -> None:
    assert ask_as_peer(context, above).version == version


@then("a peer that asks for a version above {above:d} receives none")
def step_peer_gets_none(context: Context, above: int) -> None:
    assert ask_as_peer(context, above) is None


@when('"{text}" is submitted')
def step_submit(context: Context, text: str) -> None:
    (statement,) = parse_statements(text.replace("'", '"'))
    context.result = ThreadingFuture()
    args = (statement.change, "ana", statement.reason, "id-1", context.result)
    with patch("geraniumwell.actors.change_writer.CONFIG_SUBMIT_SECONDS", 0.0):
        context.manager.tell(SubmitChange(*args))
        read_state(context)


@when("the write fails and its time limit passes")
def step_write_fails(context: Context) -> None:
    (transact,) = [m for m in context.link.messages if isinstance(m, Transact)]
    assert b"id-1" in encode_json(transact.transaction)
    context.manager.tell(PlatformFailed(Tag.WRITE, "test"))
    context.manager.tell(PlatformFailed(Tag.ALL, "test"))
    context.manager.tell(Tick("config"))


@then("the author receives {kind:w}")
def step_author_receives(context: Context, kind: str) -> None:
    result = context.result.get(timeout=REPLY_SECONDS)
    assert type(result).__name__ == kind, result


@then('the author receives {kind:w} with "{code}"')
def step_author_receives_code(context: Context, kind: str, code: str) -> None:
    step_author_receives(context, kind)
    assert context.result.get().code == code, context.result.get()
