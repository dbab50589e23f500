"""Steps of the settings of a daemon on the platform."""

from behave import given, then, when
from behave.runner import Context

from geraniumwell.platform.settings import PlatformSettings, list_changed_settings


def make_settings(name: str, value: str) -> PlatformSettings:
    """Return settings in which one value is set."""
    names = ("vm", "data_centre", "callers", "readiness", "metrics", "relay", "store")
    return PlatformSettings(**dict.fromkeys(names, "x") | {name: value})


@given('settings whose "{name}" is "{value}"')
def step_settings(context: Context, name: str, value: str) -> None:
    context.cfg = make_settings(name, value)


@when('they are compared with settings whose "{name}" is "{value}"')
def step_compare(context: Context, name: str, value: str) -> None:
    context.changes = list_changed_settings(context.cfg, make_settings(name, value))


@then('the settings that differ are "{names}"')
@then('the settings that differ are ""')
def step_changes(context: Context, names: str = "") -> None:
    assert list(context.changes) == names.split(), context.changes
