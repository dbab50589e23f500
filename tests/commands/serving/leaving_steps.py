"""Steps for leaving endpoints."""

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


@when('"{endpoint}" is reported as leaving by {source}')
def step_leaving(context: Context, endpoint: str, source: str) -> None:
    world = context.world
    context.sent_before = len(world.sent)
    match source:
        case "the platform":
            world.apply_effects(set_leaving(world.state, [endpoint], world.now))
        case "a drain":
            cfg = replace(world.state.cfg, drained=frozenset([endpoint]))
            world.apply_effects(configure(world.state, cfg, world.now))
        case "its own answer":
            for sent in world.in_flight():
                if sent.endpoint.name == endpoint:
                    world.finish(sent.attempt_id, make_answered(leaving=True))


@when('"{endpoint}" is found to accept work again')
def step_returned(context: Context, endpoint: str) -> None:
    world = context.world
    world.apply_effects(clear_leaving_report(world.state, endpoint, world.now))


@then('"{endpoint}" got no new attempts')
def step_none_new(context: Context, endpoint: str) -> None:
    new = context.world.sent[context.sent_before :]
    assert new, "nothing was sent at all"
    assert endpoint not in {sent.endpoint.name for sent in new}, new


@then('sending to "{endpoint}" {seconds:g} s later violates the invariant "{name}"')
def step_breaks(context: Context, endpoint: str, seconds: float, name: str) -> None:
    world = context.world
    ep = world.state.services["booking"].endpoints[endpoint]
    broken = ""
    try:
        check_not_leaving(ep, world.now + seconds)
    except InvariantError as exc:
        broken = exc.name
    assert broken == name, broken
