"""Steps of the encoding of calls to the platform's workers."""

import json

from behave import then, when
from behave.runner import Context

from geraniumwell.actors.batch.call_results import make_result
from geraniumwell.actors.batch.worker_connection import InFlightCall
from geraniumwell.clients.http_conn import HttpAnswer
from geraniumwell.messages.batch import PaceUnanswered
from geraniumwell.model.batch.cluster import PaceTask
from geraniumwell.platform.decode import parse_task
from geraniumwell.platform.workers import PlatformWorkerCodec


@when(
    'an order to run the task "{name}" of run {run:d} at {percent:d} percent is encoded'
    " for epoch {epoch:d}"
)
def step_encode(
    context: Context, name: str, run: int, percent: int, epoch: int
) -> None:
    order = PaceTask("w1", parse_task(name), run, percent)
    context.req = PlatformWorkerCodec().encode("w1", epoch, order).req


@then('the call to "{path}" is {body}')
def step_encoded(context: Context, path: str, body: str) -> None:
    assert context.req.path == path, context.req
    assert json.loads(context.req.body) == json.loads(body), context.req


@when("a worker answers a pace order with status {status:d}")
def step_answer(context: Context, status: int) -> None:
    order = PaceTask("w1", parse_task("00aa.0.1.17"), 3, 40)
    in_flight = InFlightCall(order, 0.0, 0.0, sent_at=0.0)
    answer = HttpAnswer(status, b"")
    context.result = make_result(PlatformWorkerCodec(), "w1", in_flight, answer)


@then('the order is reported as unanswered with the code "{code}"')
def step_unanswered(context: Context, code: str) -> None:
    assert isinstance(context.result, PaceUnanswered), context.result
    assert context.result.code == code, context.result
