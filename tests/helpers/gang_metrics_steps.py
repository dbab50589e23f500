"""Steps for the metrics of gang jobs, with a decider in this process."""

from behave import then, when
from behave.runner import Context
from prometheus_client import REGISTRY

from geraniumwell.actors.job_statements import JobStatements
from geraniumwell.exceptions import StatementRefusedError
from geraniumwell.language.parser import parse_statements
from geraniumwell.util.clock import wall_seconds
from tests.support.gangs import DATA_CENTRE
from tests.support.processes import wait_until

AT_RISK = "geraniumwell_guarantees_at_risk"
REFUSALS = "geraniumwell_job_refusals_total"


@then("the gauge of guarantees at risk becomes {count:d}")
def step_at_risk(context: Context, count: int) -> None:
    wait_until(lambda: REGISTRY.get_sample_value(AT_RISK) == count, "the gauge")


@when("an operator submits a job of {members:d} members by statement")
def step_submit_statement(context: Context, members: int) -> None:
    context.refused_before = count_refusals("shape_impossible")
    statements = JobStatements(DATA_CENTRE, context.decider.ref)
    text = (
        f"submit job for desks in {DATA_CENTRE} members {members} accelerators 8 "
        'cores 1 memory 1 lasting 1h because "test"'
    )
    (statement,) = parse_statements(text)
    try:
        statements.run_here(statement, "ana", wall_seconds())
    except StatementRefusedError as exc:
        context.refusal = exc.code


def count_refusals(code: str) -> float:
    """Return how many submissions were refused with a code."""
    return REGISTRY.get_sample_value(REFUSALS, {"code": code}) or 0.0


@then('the counter of job refusals for "{code}" has increased')
def step_counted(context: Context, code: str) -> None:
    assert context.refusal == code, context.refusal
    assert count_refusals(code) == context.refused_before + 1
