"""Steps for the queries of configuration and counters."""

from behave import then, when
from behave.runner import Context

from geraniumwell.queries.refusals import CounterSample, explain_refusals
from geraniumwell.queries.show import show_configured
from geraniumwell.queries.what_if import preview_change
from tests.commands.config.changes_steps import NOW, parse_change

IN_WINDOW = 1_796_468_400.0


def read_states(context: Context, kind: str, now: float) -> dict[str, str]:
    """Return the state of each target of a kind, by name."""
    table = show_configured(context.cfg, kind, now)
    return {row["name"]: row["state"] for row in table.rows}


@then('"{kind}" shows "{first}" as "{state}" and "{second}" as "{other}"')
def step_states(context: Context, kind: str, **wanted: str) -> None:
    found = read_states(context, kind, NOW)
    assert found == {
        wanted["first"]: wanted["state"],
        wanted["second"]: wanted["other"],
    }, found


@then('"{kind}" shows "{name}" as "{state}" now and "{later}" in the window')
def step_window(context: Context, kind: str, name: str, state: str, later: str) -> None:
    assert read_states(context, kind, NOW)[name] == state
    assert read_states(context, kind, IN_WINDOW)[name] == later


@then('the classes are shown as "{names}", the most urgent first')
def step_classes(context: Context, names: str) -> None:
    rows = show_configured(context.cfg, "classes", NOW).rows
    assert [row["name"] for row in rows] == names.split(", ")


@when('the effect of "{command}" is previewed')
def step_preview(context: Context, command: str) -> None:
    change = parse_change(command)
    context.preview = preview_change(context.cfg, change, NOW, frozenset())


@then('the preview contains "{text}"')
def step_preview_contains(context: Context, text: str) -> None:
    assert text in context.preview.lines, context.preview


@when('the counters show {few:d} refusals with "{first}" and {many:d} with "{second}"')
def step_counters(
    context: Context, few: int, first: str, many: int, second: str
) -> None:
    name = "geraniumwell_refusals_total"
    context.samples = (
        CounterSample(name, {"code": first}, float(few)),
        CounterSample(name, {"code": second}, float(many)),
        CounterSample("geraniumwell_requests_total", {}, 7.0),
    )


@then('the refusals are explained as "{codes}", each with its meaning')
def step_explained(context: Context, codes: str) -> None:
    rows = explain_refusals(context.samples).rows
    assert [row["code"] for row in rows] == codes.split(", "), rows
    assert all(row["meaning"] for row in rows), rows
