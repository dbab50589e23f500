"""Steps of settings on the platform."""

from behave import given, then, when
from behave.runner import Context

from geraniumwell.platform.settings import PlatformSettings, list_changes


def make(name: str, value: str) -> PlatformSettings:
    """Return settings with one value given."""
    names = ("vm", "data_centre", "callers", "readiness", "metrics", "relay", "store")
    return PlatformSettings(**dict.fromkeys(names, "x") | {name: value})


@given('settings whose "{name}" is "{value}"')
def step_settings(context: Context, name: str, value: str) -> None:
    context.cfg = make(name, value)


@when('they are compared with settings whose "{name}" is "{value}"')
def step_compare(context: Context, name: str, value: str) -> None:
    context.changes = list_changes(context.cfg, make(name, value))


@then('the settings that differ are "{names}"')
@then('the settings that differ are ""')
def step_changes(context: Context, names: str = "") -> None:
    assert list(context.changes) == names.split(), context.changes
