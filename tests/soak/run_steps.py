"""Steps for short runs of the soak test."""

import tempfile
from pathlib import Path

from behave import given, then
from behave.runner import Context

from soak.run import SoakConfig, run_soak


@given("the soak test ran with seed {seed:d} for {seconds:g} seconds")
def step_soak(context: Context, seed: int, seconds: float) -> None:
    folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
    context.checker = run_soak(SoakConfig(seed, seconds), folder)


@given(
    "the soak test ran with seed {seed:d} for {seconds:g} seconds, and results kept for"
    " {kept:g} seconds"
)
def step_soak_with_removals(
    context: Context, seed: int, seconds: float, kept: float
) -> None:
    folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
    cfg = SoakConfig(seed, seconds, result_seconds=kept)
    context.checker = run_soak(cfg, folder)


@then("jobs were accepted and tasks ran")
def step_worked(context: Context) -> None:
    accepted = [
        job for job in context.checker.jobs.values() if job.submit_statuses[200]
    ]
    assert accepted
    assert context.checker.done_runs


@then("no invariant was violated during the soak test")
def step_kept(context: Context) -> None:
    assert not context.checker.violations, context.checker.violations
