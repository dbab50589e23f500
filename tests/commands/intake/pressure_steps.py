"""Steps of the changes between refusing and calm."""

from behave import then, when
from behave.runner import Context

from geraniumwell.commands.intake.pressure import find_calm, record_refusal
from geraniumwell.model.intake import Pressure, PressureEnded, RefusalReason


@when('{count:d} requests are refused for "{reason}" over {seconds:d} s')
def step_refuse(context: Context, count: int, reason: str, seconds: int) -> None:
    context.pressure = Pressure()
    context.began = []
    for number in range(count):
        context.now = seconds * number / count
        change = record_refusal(context.pressure, RefusalReason(reason), context.now)
        context.began += [] if change is None else [change]


@then("{count:d} change says that refusals began")
def step_began(context: Context, count: int) -> None:
    assert len(context.began) == count, context.began


@when("{seconds:d} s pass without refusals")
@when("{seconds:d} s passes without refusals")
def step_pass(context: Context, seconds: int) -> None:
    context.now += seconds


@then("no change is reported")
def step_no_change(context: Context) -> None:
    assert find_calm(context.pressure, context.now) is None


@then('a change reports {count:d} refusals for "{reason}"')
def step_ended(context: Context, count: int, reason: str) -> None:
    found = find_calm(context.pressure, context.now)
    assert found == PressureEnded({reason: count}), found


@then("a later look reports no change")
def step_later(context: Context) -> None:
    assert find_calm(context.pressure, context.now + 100) is None
