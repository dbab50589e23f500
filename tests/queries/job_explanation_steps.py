"""Steps for the explanation of a gang job's state."""

from behave import then
from behave.runner import Context

from geraniumwell.queries.job_explanation import explain_job


@then('the reasons of "{job_id}" include "{text}"')
def step_reasons(context: Context, job_id: str, text: str) -> None:
    lines = explain_job(context.gangs.view(), job_id, context.gangs.now)
    assert any(text in line for line in lines), lines
