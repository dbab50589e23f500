"""Steps for telling bad workers from bad jobs."""

from behave import given, then, when
from behave.runner import Context

from geraniumwell.commands.gangs.health import (
    list_due_probes,
    record_failure,
    record_probe,
    record_success,
)
from geraniumwell.model.gang_view import HealthState


@given("no failures of gang jobs are recorded")
def step_fresh(context: Context) -> None:
    context.health = HealthState()


@when('"{job_id}" fails on "{workers}"')
def step_fail(context: Context, job_id: str, workers: str) -> None:
    for worker in workers.split():
        context.health = record_failure(context.health, job_id, worker, 100.0)


@when('"{job_id}" succeeds on "{worker}"')
def step_succeed(context: Context, job_id: str, worker: str) -> None:
    context.health = record_success(context.health, job_id, worker, 100.0)


@when('a probe of "{worker}" is sent at {now:d}')
def step_probe(context: Context, worker: str, now: int) -> None:
    context.health = record_probe(context.health, worker, float(now))


@then('the quarantined workers are "{workers}"')
def step_quarantined(context: Context, workers: str) -> None:
    wanted = [] if workers == "none" else workers.split()
    assert sorted(context.health.quarantined) == wanted, context.health


@then('the bad jobs are "{job_ids}"')
def step_bad(context: Context, job_ids: str) -> None:
    wanted = [] if job_ids == "none" else job_ids.split()
    assert sorted(context.health.bad_jobs) == wanted, context.health


@then('the probes due at {now:d} are "{workers}"')
def step_due(context: Context, now: int, workers: str) -> None:
    wanted = () if workers == "none" else tuple(workers.split())
    assert list_due_probes(context.health, float(now)) == wanted, context.health
