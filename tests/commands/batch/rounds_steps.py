"""Steps of the timer of planning rounds."""

from heapq import heappop, heappush

from behave import given, then, when
from behave.runner import Context

from geraniumwell.commands.batch.rounds import RoundTimer


@given(
    "a planning round requested at second {now:g}, after the last one at second"
    " {last:g}"
)
def step_asked(context: Context, now: float, last: float) -> None:
    context.timer = RoundTimer(last_round_at=last)
    assert context.timer.request_round(now) is not None


@when("the planning timer fires at second {now:g}")
def step_fire(context: Context, now: float) -> None:
    context.has_begun = context.timer.begin_round(now)
    context.delay = context.timer.find_remaining(now)


@when("a planning round is requested at second {now:g}")
def step_request(context: Context, now: float) -> None:
    context.delay = context.timer.request_round(now)


@then("no round begins, and the timer is set again for {seconds:g} seconds")
def step_set_again(context: Context, seconds: float) -> None:
    assert not context.has_begun
    assert abs(context.delay - seconds) < 1e-6, context.delay


@then("a round begins")
def step_begun(context: Context) -> None:
    assert context.has_begun


@then("no further timer is set")
def step_none(context: Context) -> None:
    assert context.delay is None, context.delay


@then("no round begins, and no timer is set")
def step_not_begun(context: Context) -> None:
    assert not context.has_begun
    assert context.delay is None, context.delay


@when("planning rounds are requested {count:d} times, {gap:g} seconds apart")
def step_busy(context: Context, count: int, gap: float) -> None:
    """Request rounds while each timer fires at its time."""
    context.timer, timers = RoundTimer(), []
    context.fired = context.begun = 0
    context.max_pending = 0
    now = 10.0
    for _ in range(count):
        now += gap
        while timers and timers[0] <= now:
            at = heappop(timers)
            context.fired += 1
            if context.timer.begin_round(at):
                context.begun += 1
                wait = context.timer.schedule_idle_round(at)
            else:
                wait = context.timer.find_remaining(at)
            if wait is not None:
                heappush(timers, at + wait)
        wait = context.timer.request_round(now)
        if wait is not None:
            heappush(timers, now + wait)
        context.max_pending = max(context.max_pending, len(timers))


@then("at most {max_pending:d} timers are pending at the same time")
def step_most(context: Context, max_pending: int) -> None:
    assert context.max_pending <= max_pending, context.max_pending


@then("at least {begun:d} rounds begin with at most {fired:d} timer events")
def step_fired(context: Context, begun: int, fired: int) -> None:
    assert context.begun >= begun, context.begun
    assert context.fired <= fired, context.fired
