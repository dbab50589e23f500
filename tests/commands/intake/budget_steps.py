"""Steps of the budget of connections."""

from random import Random

from behave import given, then, when
from behave.runner import Context

from geraniumwell.commands.intake.budget import (
    SMALL_BYTES,
    add_connection,
    find_expired,
    record_phase,
    record_read,
    record_response,
    remove_connection,
    reserve,
)
from geraniumwell.model.intake import (
    CONNECTION_BYTES,
    Exhausted,
    Granted,
    IntakeBudget,
    IntakeLimits,
    Phase,
)

NOW = 1000.0
ASKING = 900
IDLE = 901
READ = 8_192


@given(
    "a budget of {size:d} bytes for {count:d} connections, {seconds:g} s for a request"
)
def step_budget(context: Context, size: int, count: int, seconds: float) -> None:
    context.budget = IntakeBudget(IntakeLimits(size, count, seconds, size))
    context.now = NOW


@given("{count:d} requests of {size:d} bytes that {state}")
def step_requests(context: Context, count: int, size: int, state: str) -> None:
    begin = NOW - 3 if state == "stopped 3 s ago" else NOW
    budget = context.budget
    for id in range(count):
        add_connection(budget, id, begin)
        record_read(budget, id, size, size - CONNECTION_BYTES, begin)
        match state:
            case "are being answered":
                record_phase(budget, id, Phase.ANSWERING, NOW)
            case "have ended":
                record_phase(budget, id, Phase.IDLE, NOW)
            case "have been refused":
                record_phase(budget, id, Phase.CLOSING, NOW)
            case "have an unread response":
                record_response(budget, id, size, NOW)
            case "trickle for 9 s":
                context.now = NOW + 9
                for second in range(9):
                    record_read(budget, id, 2000, size, NOW + second)


@given("a connection that has been idle for {seconds:d} s")
def step_idle(context: Context, seconds: int) -> None:
    add_connection(context.budget, IDLE, NOW - seconds)


@given("the {which} of them receives {size:d} byte")
@given("the {which} of them receives {size:d} bytes")
def step_receives(context: Context, which: str, size: int) -> None:
    ids = sorted(context.budget.connections)
    conn = context.budget.connections[ids[0] if which == "first" else ids[-1]]
    record_read(context.budget, conn.id, size, conn.held - CONNECTION_BYTES, NOW)


@when("a new request needs {size:d} bytes")
def step_needs(context: Context, size: int) -> None:
    add_connection(context.budget, ASKING, NOW)
    context.result = reserve(context.budget, ASKING, size, NOW)
    if context.result == Exhausted():
        remove_connection(context.budget, ASKING)


@when("the idle connection needs {size:d} bytes")
def step_idle_needs(context: Context, size: int) -> None:
    context.result = reserve(context.budget, IDLE, size, NOW)


@then("it gets them and {count:d} request is evicted")
@then("it gets them and {count:d} requests are evicted")
def step_granted(context: Context, count: int) -> None:
    assert isinstance(context.result, Granted), context.result
    assert len(context.result.evicted) == count, context.result
    for id in context.result.evicted:
        remove_connection(context.budget, id)


@then("the first of them is not evicted")
def step_kept(context: Context) -> None:
    assert 0 not in context.result.evicted, context.result


@then("the intake refuses it")
def step_refused(context: Context) -> None:
    assert context.result == Exhausted(), context.result


@when("a client connects")
def step_open(context: Context) -> None:
    context.result = add_connection(context.budget, ASKING, NOW)
    if isinstance(context.result, Granted):
        for id in context.result.evicted:
            remove_connection(context.budget, id)
        remove_connection(context.budget, ASKING)
        add_connection(context.budget, 500 + len(context.budget.connections), NOW)


@then("the idle connection is closed for it")
def step_closed(context: Context) -> None:
    assert context.result == Granted((IDLE,)), context.result


@then("the idle connection is not closed for it")
def step_not_closed(context: Context) -> None:
    assert isinstance(context.result, Granted), context.result
    assert IDLE not in context.result.evicted, context.result


@when("it is looked at {seconds:g} s later")
def step_later(context: Context, seconds: float) -> None:
    context.found = find_expired(context.budget, context.now + seconds)


@then("the connection is expired with {reason}")
def step_expired(context: Context, reason: str) -> None:
    found = [item.reason.value if item.reason else None for item in context.found]
    expected = {"nothing": [], "no reason": [None]}.get(reason, [reason])
    assert found == expected, found


def check_sums(budget: IntakeBudget) -> None:
    """Compare the sums of a budget with its connections."""
    held = [conn.held for conn in budget.connections.values()]
    assert budget.held == sum(held), budget
    assert budget.held_large == sum(size for size in held if size > SMALL_BYTES)


@then("the budget adds up")
def step_sums(context: Context) -> None:
    check_sums(context.budget)


@then("the budget adds up after any {count:d} calls, and never exceeds its size")
def step_random(context: Context, count: int) -> None:
    for seed in range(20):
        budget = IntakeBudget(context.budget.limits)
        random = Random(seed)
        for number in range(count):
            make_random_call(budget, random, NOW + number * 0.1)
            check_sums(budget)
            assert budget.held <= budget.limits.memory_bytes, (seed, number)


def make_random_call(budget: IntakeBudget, random: Random, now: float) -> None:
    """Make a call for a connection that may make it."""
    id = random.randrange(60)
    conn = budget.connections.get(id)
    if conn is None:
        apply(budget, add_connection(budget, id, now), now)
        return
    match conn.phase, random.randrange(6):
        case Phase.IDLE | Phase.RECEIVING, 0 | 1 | 2 | 3:
            held = conn.held - CONNECTION_BYTES
            result = reserve(budget, id, READ * 4, now)
            if isinstance(result, Granted):
                apply(budget, result, now)
                record_read(budget, id, READ, held + READ * 4, now)
        case Phase.RECEIVING, 4:
            record_phase(budget, id, Phase.ANSWERING, now)
        case Phase.ANSWERING, _:
            record_phase(budget, id, Phase.IDLE, now)
        case _:
            remove_connection(budget, id)


def apply(budget: IntakeBudget, result: object, now: float) -> None:
    """Close the connections that a decision evicts."""
    if isinstance(result, Granted):
        for id in result.evicted:
            remove_connection(budget, id)
