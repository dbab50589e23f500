"""Steps for the log of faults."""

import json
from contextlib import redirect_stderr
from io import StringIO

from behave import given, then, when
from behave.runner import Context
from loguru import logger

from geraniumwell.helpers.logging import FaultLog, set_up_log
from geraniumwell.model.settings import Log


@given("the log is written as {form}")
def step_form(context: Context, form: str) -> None:
    context.form = form
    context.log = StringIO()
    with redirect_stderr(context.log):
        set_up_log(Log(form))  # type: ignore[arg-type]
    context.faults = FaultLog()


@when('a fault of job "{job_id}" is reported {count:d} times and then ends')
def step_report(context: Context, job_id: str, count: int) -> None:
    context.job_id = job_id
    for _ in range(count):
        context.faults.report("worker_silent", "no answer", job_id=job_id)
    context.faults.clear("worker_silent", job_id=job_id)


@when("the same fault begins again")
def step_again(context: Context) -> None:
    context.faults.report("worker_silent", "no answer", job_id=context.job_id)
    logger.remove()


@then("the log has {count:d} lines, each with the id of the job")
def step_lines(context: Context, count: int) -> None:
    context.lines = context.log.getvalue().splitlines()
    assert len(context.lines) == count, context.lines
    for line in context.lines:
        if context.form == "json":
            assert json.loads(line)["record"]["extra"]["job_id"] == context.job_id
        else:
            assert f"job_id={context.job_id}" in line, line


@then("its second line says that the fault occurred {count:d} times")
def step_count(context: Context, count: int) -> None:
    assert f"ended after {count} occurrences" in context.lines[1], context.lines
