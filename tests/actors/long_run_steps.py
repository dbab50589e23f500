"""Steps for the randomised run."""

from behave import then, when
from behave.runner import Context

from bench.long_run import LongRun, describe, find_broken
from tests.support.serving import System, get_code, get_outcome


@when("{count:d} random requests are sent to 2 daemons under faults with seed {seed:d}")
def step_run(context: Context, count: int, seed: int) -> None:
    context.run = LongRun(System(context), seed).run(count)


@then("every invariant of the run holds")
def step_invariants(context: Context) -> None:
    broken = find_broken(context.run)
    assert not broken, f"{broken[:20]}\n{describe(context.run)}"


@then("at least {count:d} requests ran")
def step_ran(context: Context, count: int) -> None:
    ran = [
        resp
        for _, _, resp in context.run.answers
        if get_outcome(resp) == "ran" and not get_code(resp)
    ]
    assert len(ran) >= count, describe(context.run)
