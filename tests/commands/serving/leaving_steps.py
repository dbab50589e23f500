"""Steps of leaving endpoints."""

from dataclasses import replace

from behave import then, when
from behave.runner import Context

from geraniumwell.commands.serving.leaving import check_not_leaving
from geraniumwell.commands.serving.scheduler import (
    clear_leaving_report,
    configure,
    set_leaving,
)
from geraniumwell.exceptions import InvariantError
from tests.commands.serving.world import make_answered


@when('"{endpoint}" is leaving by {source}')
def step_leaving(context: Context, endpoint: str, source: str) -> None:
    world = context.world
    context.sent_before = len(world.sent)
    match source:
        case "the list":
            world.take(set_leaving(world.state, [endpoint], world.now))
        case "a drain":
            cfg = replace(world.state.cfg, drained=frozenset([endpoint]))
            world.take(configure(world.state, cfg, world.now))
        case "its own answer":
            for sent in world.in_flight():
                if sent.endpoint.name == endpoint:
                    world.finish(sent.attempt_id, make_answered(leaving=True))


@when('"{endpoint}" is seen to serve again')
def step_returned(context: Context, endpoint: str) -> None:
    world = context.world
    world.take(clear_leaving_report(world.state, endpoint, world.now))


@then('"{endpoint}" got no new attempts')
def step_none_new(context: Context, endpoint: str) -> None:
    new = context.world.sent[context.sent_before :]
    assert new, "nothing was sent at all"
    assert endpoint not in {sent.endpoint.name for sent in new}, new


@then('a send to "{endpoint}" {seconds:g} s later breaks the invariant "{name}"')
def step_breaks(context: Context, endpoint: str, seconds: float, name: str) -> None:
    world = context.world
    ep = world.state.services["booking"].endpoints[endpoint]
    broken = ""
    try:
        check_not_leaving(ep, world.now + seconds)
    except InvariantError as exc:
        broken = exc.name
    assert broken == name, broken
