"""Steps of the access to queues."""

from behave import then, when
from behave.runner import Context

from geraniumwell.commands.batch.admission import Denied, Granted, decide_access
from tests.support.batch import make_test_catalog


@when('a caller with the key "{key}" requests host "{host}" and path "{path}"')
def step_ask(context: Context, key: str, host: str, path: str) -> None:
    context.access = decide_access(make_test_catalog(), host, path, key)


@when('a caller with the key "" requests host "{host}" and path "{path}"')
def step_ask_without(context: Context, host: str, path: str) -> None:
    step_ask(context, "", host, path)


@then('access is granted to "{queue}" for {rest}')
def step_granted(context: Context, queue: str, rest: str) -> None:
    assert isinstance(context.access, Granted), context.access
    assert context.access.queue.name == queue
    assert context.access.rest == rest


@then('access is granted to "{queue}" for')
def step_granted_all(context: Context, queue: str) -> None:
    step_granted(context, queue, "")


@then('access is denied as "{code}"')
def step_denied(context: Context, code: str) -> None:
    assert isinstance(context.access, Denied), context.access
    assert context.access.code.value == code
