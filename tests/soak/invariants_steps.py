"""Steps for the invariants that the soak test checks."""

from behave import given, then, when
from behave.runner import Context

from soak.events import (
    Cancelled,
    JobShape,
    KeySeen,
    RunSeen,
    StateSeen,
    Submitted,
    WorkerEnded,
)
from soak.invariants import InvariantChecker


def checker_of(context: Context) -> InvariantChecker:
    """Return the invariant checker of the scenario."""
    if not hasattr(context, "checker"):
        context.checker = InvariantChecker()
    return context.checker


@given('a job "{job}" of {steps:d} step that was accepted')
@given('a job "{job}" of {steps:d} steps that was accepted')
def step_accepted(context: Context, job: str, steps: int) -> None:
    checker_of(context).apply(Submitted(JobShape(job, ((1, 8),) * steps), 200))


@given('a job "{job}" of 1 step whose submissions got {status:d}')
def step_tries(context: Context, job: str, status: int) -> None:
    checker_of(context).apply(Submitted(JobShape(job, ((1, 8),)), status))


@when('"{task}" starts as run {run:d} on "{worker}"')
def step_start(context: Context, task: str, run: int, worker: str) -> None:
    checker_of(context).apply(RunSeen(0.0, "start", task, run, worker))


@when('"{task}" starts as run {run:d} on "{worker}" {seconds:g} s {when} that')
def step_start_at(
    context: Context, task: str, run: int, worker: str, seconds: float, when: str
) -> None:
    at = 5.0 + (seconds if when == "after" else -seconds)
    checker_of(context).apply(RunSeen(at, "start", task, run, worker))


@when('"{task}" ends as "{what}" as run {run:d} on "{worker}"')
def step_end(context: Context, task: str, what: str, run: int, worker: str) -> None:
    checker_of(context).apply(RunSeen(0.0, what, task, run, worker))


@when('"{worker}" is killed')
def step_killed(context: Context, worker: str) -> None:
    checker_of(context).apply(WorkerEnded(worker, 0.0))


@when('a query shows "{state}" for "{job}"')
def step_shown(context: Context, state: str, job: str) -> None:
    checker_of(context).apply(StateSeen(job, 200, state, 0.0, 0.0))


@when('a query for "{job}" gets {status:d}')
def step_told(context: Context, status: int, job: str) -> None:
    checker_of(context).apply(StateSeen(job, status, "", 0.0, 0.0))


@when('a caller cancels "{job}" and gets {status:d}')
def step_cancel(context: Context, job: str, status: int) -> None:
    checker_of(context).apply(Cancelled(job, status, 5.0))


@when('process {process:d} of "{name}" answers {status:d} to key {key:d}')
def step_key(context: Context, process: int, name: str, status: int, key: int) -> None:
    checker_of(context).apply(KeySeen(name, process, key, status))


@when('a row of "{job}" is left after the retention time')
def step_row_left(context: Context, job: str) -> None:
    checker_of(context).check_rows([job])


@when("the soak test ends")
def step_close(context: Context) -> None:
    checker_of(context).check_at_end()


@then('a violation of "{name}" is reported')
def step_broken(context: Context, name: str) -> None:
    found = checker_of(context).violations
    assert len(found) == 1, found
    assert found[0].startswith(name), found


@then("{count:d} violations are reported")
def step_count(context: Context, count: int) -> None:
    found = checker_of(context).violations
    assert len(found) == count, found


@then("no violation is reported")
def step_kept(context: Context) -> None:
    assert not checker_of(context).violations, checker_of(context).violations
