"""Steps for the rows of the batch service."""

from dataclasses import asdict
from functools import partial
from zlib import compress

from behave import given, then, when
from behave.runner import Context
from msgspec.msgpack import encode

from geraniumwell.codec.batch import (
    decode_cancellation,
    decode_leader,
    decode_peer,
    decode_progress,
    decode_spec,
    decode_state,
    encode_progress,
    encode_spec,
)
from geraniumwell.codec.interference import decode_interference
from geraniumwell.exceptions import GeraniumwellError
from geraniumwell.model.batch.cancellation import Cancellation
from geraniumwell.model.batch.job import Job, JobState, Phase, open_occurrence
from tests.support.batch import make_job, make_step

READERS = {
    "spec": decode_spec,
    "leader": decode_leader,
    "progress": decode_state,
    "peer": decode_peer,
    "cancellation": partial(decode_cancellation, version=1),
    "table": partial(decode_interference, now=0.0, wall_now=0.0),
}


@given("a job with two steps, a failure and a finished occurrence")
def step_job(context: Context) -> None:
    spec = make_job(
        "j", make_step(2), make_step(after=(0,)), is_timed=True, occurrences=3
    )
    job = Job(spec, opened_occurrences=2, finished_occurrences={0}, has_begun=True)
    for occurrence in range(2):
        open_occurrence(job, occurrence)
    for step in (job.steps[0, 0], job.steps[0, 1]):
        for task in step.tasks:
            task.phase = Phase.DONE
    task = job.steps[1, 0].tasks[1]
    task.phase, task.run, task.failures, task.worker = Phase.RUNNING, 4, 1, "w1"
    task.checkpoint = "c-4"
    context.job = job


@given("a job that was cancelled")
def step_cancelled(context: Context) -> None:
    context.job = Job(make_job("j", make_step()), JobState.CANCELLED, ended_at=5.0)


@given("the cancellation that an earlier version stored")
def step_earlier_cancellation(context: Context) -> None:
    context.data = b"x"


@then("it is read as a cancellation of any queue")
def step_any_queue(context: Context) -> None:
    assert decode_cancellation(context.data, 7) == Cancellation((), 0.0, 7)


@when("its progress is encoded and decoded")
def step_round_trip(context: Context) -> None:
    context.data = encode_progress(context.job)
    spec = decode_spec(encode_spec(context.job.spec))
    context.found = decode_progress(context.data, spec)


@then("both are equal")
def step_equal(context: Context) -> None:
    assert context.found == context.job, context.found


@then('the state shown to its caller is "{state}"')
def step_shown(context: Context, state: str) -> None:
    assert decode_state(context.data)[0].value == state


@given('a stored job without the fields "{names}"')
def step_earlier_row(context: Context, names: str) -> None:
    context.job = make_job("j", make_step(2), make_step(after=(0,)))
    value = asdict(context.job)
    for step in value["steps"]:
        for name in names.split():
            del step[name]
    context.data = compress(encode(value))


@then("it is read with the default values of these fields")
def step_default(context: Context) -> None:
    assert decode_spec(context.data) == context.job


@when('the bytes "{data}" are read as a {kind}')
def step_read(context: Context, data: str, kind: str) -> None:
    context.error = None
    try:
        READERS[kind](data.encode())
    except GeraniumwellError as exc:
        context.error = exc


@when('the bytes "" are read as a {kind}')
def step_read_none(context: Context, kind: str) -> None:
    step_read(context, "", kind)


@then('the error is "{code}"')
def step_error(context: Context, code: str) -> None:
    assert context.error is not None
    assert context.error.code == code
