"""Steps of changes of the configuration."""

from dataclasses import replace

from behave import given, then, when
from behave.runner import Context

from geraniumwell.commands.config.apply import apply_change, build_inverse_change
from geraniumwell.commands.config.validate import validate_change
from geraniumwell.exceptions import ChangeError
from geraniumwell.language.parser import parse_statements
from geraniumwell.model.change import Change
from geraniumwell.model.config import Configuration

# 2026-12-04, so the stops of the scenarios are still to come.
NOW = 1_796_342_400.0


def parse_change(text: str) -> Change:
    """Return the change in a command without a reason."""
    (statement,) = parse_statements(f'{text} because "test"')
    return statement.change


def build_configuration(cfg: Configuration, text: str) -> Configuration:
    """Return a configuration after the checked commands of a text."""
    for statement in parse_statements(text):
        validate_change(cfg, statement.change, NOW)
        cfg = apply_change(cfg, statement.change)
    return cfg


@given("the configuration")
def step_configuration(context: Context) -> None:
    context.cfg = build_configuration(Configuration(), context.text)


@given("the further configuration")
def step_further_configuration(context: Context) -> None:
    context.cfg = build_configuration(context.cfg, context.text)


@given("guarantees of 4 copies on 2 workers that were recorded unchecked")
def step_unchecked(context: Context) -> None:
    held = replace(context.cfg.guarantees["tours"], count=4)
    context.cfg = replace(context.cfg, guarantees={"tours": held})


@when('"{command}" is checked')
def step_check(context: Context, command: str) -> None:
    context.error = None
    try:
        validate_change(context.cfg, parse_change(command), NOW)
    except ChangeError as exc:
        context.error = exc


@then('it is refused as "{message}"')
def step_refused(context: Context, message: str) -> None:
    assert str(context.error) == message, context.error


@then('it is refused with the code "{code}" and a reason that names "{text}"')
def step_refused_code(context: Context, code: str, text: str) -> None:
    assert context.error is not None, "it was accepted"
    assert context.error.code == code, context.error
    assert text in str(context.error), context.error


@then("it is accepted")
def step_accepted(context: Context) -> None:
    assert context.error is None, context.error


@when('"{command}" is applied')
def step_apply(context: Context, command: str) -> None:
    context.before = context.cfg
    change = parse_change(command)
    context.replaced = build_inverse_change(context.cfg, change)
    context.cfg = apply_change(context.cfg, change)


@then("the version is one higher")
def step_version(context: Context) -> None:
    assert context.cfg.version == context.before.version + 1


@then("applying what it replaced gives the configuration from before")
def step_restored(context: Context) -> None:
    assert context.cfg != replace(context.before, version=context.cfg.version)
    restored = apply_change(context.cfg, context.replaced)
    assert replace(restored, version=context.before.version) == context.before


@then("nothing is drained and no stop is planned")
def step_no_drain(context: Context) -> None:
    assert context.cfg.drained == frozenset()
    assert context.cfg.stops == {}
