"""Steps of the check of request heads against the configuration."""

from behave import given, then, when
from behave.runner import Context

from geraniumwell.messages.batch import CatalogChanged
from geraniumwell.model.intake import BodyAccepted, RequestHead
from geraniumwell.platform.head_check import CatalogForwarder, HeadCheck
from tests.support.batch import make_test_catalog

BODY_BYTES = 5_000


@given("no configuration")
def step_none(context: Context) -> None:
    context.check = HeadCheck(BODY_BYTES)


@given("the test configuration, which allows bodies of 1000 bytes")
def step_configuration(context: Context) -> None:
    context.check = HeadCheck(BODY_BYTES)
    context.check.set_catalog(make_test_catalog())


@given("a check that follows a configuration manager")
def step_follows(context: Context) -> None:
    context.check = HeadCheck(BODY_BYTES)
    context.forwarder = CatalogForwarder.start(context.check.set_catalog)
    context.add_cleanup(context.forwarder.stop)


@when("the manager publishes the test configuration")
def step_publish(context: Context) -> None:
    context.forwarder.ask(CatalogChanged(make_test_catalog()))


@when('a request for host "{host}", path "{path}" and key "{key}" is checked')
@when('a request for host "{host}", path "{path}" and key "" is checked')
def step_check(context: Context, host: str, path: str, key: str = "") -> None:
    headers = {"HOST": host} | ({"API_KEY": key} if key else {})
    context.verdict = context.check.check(RequestHead("POST", path, headers))


@then('the verdict is "{expected}"')
def step_verdict(context: Context, expected: str) -> None:
    match context.verdict:
        case BodyAccepted(size):
            found = f"{size} bytes"
        case refused:
            found = str(refused.status)
    assert found == expected, found
