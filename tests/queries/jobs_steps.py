"""Steps for the explanation of a job beyond the scheduling plan."""

from behave import then
from behave.runner import Context

from geraniumwell.queries.jobs import explain_record


def explain(context: Context, job_id: str) -> tuple[str, ...]:
    """Return the lines that explain a job without an attempt in progress."""
    view = context.gangs.view()
    return explain_record(view.jobs[job_id], None, view, context.gangs.now).lines


@then('the explanation of "{job_id}" includes "{text}"')
def step_explained(context: Context, job_id: str, text: str) -> None:
    lines = explain(context, job_id)
    assert any(text in line for line in lines), lines


@then('the explanation of "{job_id}" names no worker whose loss breaks a guarantee')
def step_no_risk(context: Context, job_id: str) -> None:
    lines = explain(context, job_id)
    assert not any("the loss of worker" in line for line in lines), lines
