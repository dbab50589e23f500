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
from soak.promises import Ledger


def ledger_of(context: Context) -> Ledger:
    """Return the scenario's ledger."""
    if not hasattr(context, "ledger"):
        context.ledger = Ledger()
    return context.ledger


@given('a job "{job}" of {steps:d} step that was accepted')
@given('a job "{job}" of {steps:d} steps that was accepted')
def step_accepted(context: Context, job: str, steps: int) -> None:
    ledger_of(context).take(Submitted(JobShape(job, ((1, 8),) * steps), 200))


@given('a job "{job}" of 1 step whose submissions got {status:d}')
def step_tries(context: Context, job: str, status: int) -> None:
    ledger_of(context).take(Submitted(JobShape(job, ((1, 8),)), status))


@when('"{task}" starts as run {run:d} on "{worker}"')
def step_start(context: Context, task: str, run: int, worker: str) -> None:
    ledger_of(context).take(RunSeen(0.0, "start", task, run, worker))


@when('"{task}" ends as "{what}" as run {run:d} on "{worker}"')
def step_end(context: Context, task: str, what: str, run: int, worker: str) -> None:
    ledger_of(context).take(RunSeen(0.0, what, task, run, worker))


@when('"{worker}" is killed')
def step_killed(context: Context, worker: str) -> None:
    ledger_of(context).take(WorkerEnded(worker, 0.0))


@when('a query shows "{state}" for "{job}"')
def step_shown(context: Context, state: str, job: str) -> None:
    ledger_of(context).take(StateSeen(job, 200, state, 0.0, 0.0))


@when('a query for "{job}" gets {status:d}')
def step_told(context: Context, status: int, job: str) -> None:
    ledger_of(context).take(StateSeen(job, status, "", 0.0, 0.0))


@when('a caller cancels "{job}" and gets {status:d}')
def step_cancel(context: Context, job: str, status: int) -> None:
    ledger_of(context).take(Cancelled(job, status))


@when('process {process:d} of "{name}" answers {status:d} to key {key:d}')
def step_key(context: Context, process: int, name: str, status: int, key: int) -> None:
    ledger_of(context).take(KeySeen(name, process, key, status))


@when("the soak test ends")
def step_close(context: Context) -> None:
    ledger_of(context).close()


@then('a violation of "{name}" is reported')
def step_broken(context: Context, name: str) -> None:
    found = ledger_of(context).broken
    assert len(found) == 1, found
    assert found[0].startswith(name), found


@then("{count:d} violations are reported")
def step_count(context: Context, count: int) -> None:
    found = ledger_of(context).broken
    assert len(found) == count, found


@then("no violation is reported")
def step_kept(context: Context) -> None:
    assert not ledger_of(context).broken, ledger_of(context).broken
