"""Steps of the check of settings."""

from behave import then, when
from behave.runner import Context
from msgspec.json import encode

from geraniumwell.codec.settings import parse_settings
from geraniumwell.exceptions import SettingsError
from tests.support.processes import make_settings


@when('settings with the limit "{key}" of {value:d} are read')
def step_read(context: Context, key: str, value: int) -> None:
    settings = make_settings("vm-1", "dc-a", "127.0.0.1:1")
    settings["limits"] = {key: value}
    context.error = ""
    try:
        parse_settings(encode(settings))
    except SettingsError as exc:
        context.error = str(exc)


@then('the limits are refused for "{path}"')
def step_refused_for(context: Context, path: str) -> None:
    assert path in context.error, context.error


@then("the limits are accepted")
def step_accepted(context: Context) -> None:
    assert not context.error, context.error
