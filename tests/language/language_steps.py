"""Steps for parsing and printing the operators' language."""

from pathlib import Path
from re import DOTALL, findall
from typing import Any, get_args

from behave import then, when
from behave.runner import Context
from hypothesis import HealthCheck, given, seed, settings
from hypothesis import strategies as st

from geraniumwell.exceptions import StatementSyntaxError
from geraniumwell.language.ast import (
    CancelGang,
    ChangeConfiguration,
    History,
    Query,
    Show,
    SubmitGang,
    WhatIf,
    WhyJob,
    WhyRefused,
)
from geraniumwell.language.parser import list_keywords, parse_statements
from geraniumwell.language.printer import print_statements
from geraniumwell.model.change import Change
from geraniumwell.model.config import Endpoint, PlannedStop

PAGE = Path(__file__).resolve().parents[2] / "docs" / "language.md"
NAMES = st.one_of(
    st.sampled_from(sorted(list_keywords())),
    st.text(st.characters(exclude_categories=["Cs"]), min_size=1, max_size=12),
)
ADDRESSES = st.integers(1, 65_535).map(lambda port: f"10.0.0.1:{port}")
COUNTS = st.integers(0, 10_000)
REASONS = NAMES.filter(str.strip)
SECONDS = st.floats(0.0, 1e7, allow_nan=False)
UNIX_SECONDS = st.integers(0, 4_000_000_000).map(float)
VALUES = {str: NAMES, int: COUNTS, bool: st.booleans()}


def register_strategies() -> None:
    """Register the strategies by which Hypothesis generates fields of each type."""
    st.register_type_strategy(str, NAMES)
    st.register_type_strategy(int, COUNTS)
    st.register_type_strategy(float, SECONDS)
    endpoint = st.builds(Endpoint, address=ADDRESSES)
    st.register_type_strategy(Endpoint, endpoint)
    stop = st.builds(PlannedStop, starts_at=UNIX_SECONDS, ends_at=UNIX_SECONDS)
    st.register_type_strategy(PlannedStop, stop)


def make_change(kind: Any) -> Any:
    """Return a strategy for one kind of change."""
    if kind.__name__ == "SetWorker":
        (field,) = kind.__annotations__.values()
        return st.builds(kind, worker=st.builds(field, address=ADDRESSES))
    return st.from_type(kind)


def make_statements() -> Any:
    """Return a strategy for lists of statements of every kind."""
    register_strategies()
    changes = st.one_of([make_change(kind) for kind in get_args(Change)])
    command = st.one_of(
        st.builds(ChangeConfiguration, change=changes, reason=REASONS),
        st.builds(SubmitGang, reason=REASONS),
        st.builds(CancelGang, reason=REASONS),
    )
    kinds = ["organisations", "workers", "jobs", "requests", "config"]
    query = st.one_of(
        st.builds(Show, kind=st.sampled_from(kinds), where=st.just(False)),
        st.just(Show("config", True)),
        st.from_type(WhyJob),
        st.just(WhyRefused()),
        st.from_type(History),
        st.builds(WhatIf, command=command),
    )
    return st.lists(st.one_of(command, query), max_size=4).map(tuple)


@when('the text "{text}" is parsed')
def step_parse(context: Context, text: str) -> None:
    # The scenarios write \n for a line break and single quotes for double quotes.
    text = text.replace("\\n", "\n").replace("'", '"')
    context.error = None
    try:
        context.statements = parse_statements(text)
    except StatementSyntaxError as exc:
        context.error = exc


@then('the syntax error is "{message}"')
def step_syntax_error(context: Context, message: str) -> None:
    assert str(context.error).replace('"', "'") == message, context.error


@then(
    "parsing the printed text returns the same statements in {count:d} generated cases"
)
def step_round_trip(context: Context, count: int) -> None:
    @seed(20261204)
    @settings(
        max_examples=count,
        database=None,
        deadline=None,
        suppress_health_check=list(HealthCheck),
    )
    @given(make_statements())
    def check(statements: Any) -> None:
        text = print_statements(statements)
        assert parse_statements(text) == statements, text

    check()


@then("the statements are printed as")
def step_printed(context: Context) -> None:
    assert print_statements(context.statements).strip() == context.text.strip()


def parse_examples() -> list[Any]:
    """Return the statements in the examples of the reference page."""
    texts = findall(r"```geraniumwell\n(.*?)```", PAGE.read_text(), DOTALL)
    return [item for text in texts for item in parse_statements(text)]


@then("every example of docs/language.md is parsed")
def step_examples(context: Context) -> None:
    context.examples = parse_examples()
    assert context.examples


@then("every kind of statement and change has an example there")
def step_complete(context: Context) -> None:
    commands = [ChangeConfiguration, SubmitGang, CancelGang]
    wanted = {*get_args(Query), *commands, *get_args(Change)}
    found = {type(item) for item in context.examples}
    found |= {type(getattr(item, "change", None)) for item in context.examples}
    assert wanted <= found, wanted - found
