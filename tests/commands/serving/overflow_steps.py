"""Steps for overflow to peers."""

from behave import given, then, when
from behave.runner import Context

from geraniumwell.commands.serving.scheduler import set_peers
from geraniumwell.model.request import Answer, Outcome, RefusalCode
from geraniumwell.model.serving import (
    ForwardAnswered,
    ForwardNotSent,
    PeerLoad,
    ServiceLoad,
)


def make_peer(vm: str, free: int) -> PeerLoad:
    """Return a peer of another data centre with free slots."""
    return PeerLoad(vm, "dc-b", {"booking": ServiceLoad(free, free)})


@given('a peer "{vm}" with {free:d} free slots')
def step_peer(context: Context, vm: str, free: int) -> None:
    world = context.world
    world.apply_effects(set_peers(world.state, [make_peer(vm, free)], world.now))


@given("{count:d} peers with {free:d} free slots each")
def step_peers(context: Context, count: int, free: int) -> None:
    world = context.world
    peers = [make_peer(f"peer-{i}", free) for i in range(count)]
    world.apply_effects(set_peers(world.state, peers, world.now))


@when('a forwarded "{class_name}" request "{request_id}" arrives')
def step_forwarded(context: Context, class_name: str, request_id: str) -> None:
    context.world.submit(request_id, class_name, forwarded=True)


@when('the "{class_name}" request "{request_id}" arrives with {seconds:g} s remaining')
def step_short_time(
    context: Context, class_name: str, request_id: str, seconds: float
) -> None:
    context.world.submit(request_id, class_name, seconds=seconds)


@when("the forward does not reach the peer")
def step_not_reached(context: Context) -> None:
    attempt_id = context.world.forwarded[-1].attempt_id
    context.world.finish(attempt_id, ForwardNotSent("peer unreachable"))


@when("the peer refuses the forward as not run")
def step_refused(context: Context) -> None:
    sent = context.world.forwarded[-1]
    code = RefusalCode.OVERLOADED
    answer = Answer(sent.req.request_id, Outcome.NOT_RUN, 503, code=code)
    context.world.state.retry_tokens = 0.0
    context.world.finish(sent.attempt_id, ForwardAnswered(answer))


@then("{count:d} requests were forwarded")
def step_count(context: Context, count: int) -> None:
    found = len(context.world.forwarded)
    assert found == count, found
