"""Steps of the decoding of bodies of the platform's protocol."""

from collections.abc import Callable
from typing import Any

from behave import then, when
from behave.runner import Context
from msgspec.json import encode

from geraniumwell.codec.json import CodecError
from geraniumwell.platform.decode import (
    decode_entry,
    decode_job,
    decode_report,
    parse_evacuation,
)
from tests.support.batch import make_test_catalog


def decode_body(context: Context, decode: Callable[..., Any], *args: Any) -> None:
    """Decode a body and record the value or the error."""
    context.value = context.error = None
    try:
        context.value = decode(*args)
    except CodecError as exc:
        context.error = exc


@when("the body {body} is decoded as a job")
def step_decode_job(context: Context, body: str) -> None:
    queue = make_test_catalog().queues[0]
    decode_body(context, decode_job, body.encode(), "00aa", queue, "desks", 5.0)


@when("the registry entry {body} is decoded")
def step_decode_entry(context: Context, body: str) -> None:
    decode_body(context, decode_entry, "i-1", body.encode())


@when("the worker report {body} is decoded")
def step_decode_report(context: Context, body: str) -> None:
    decode_body(context, decode_report, body.encode())


@when("a worker report with {count:d} ends is decoded")
def step_decode_ends(context: Context, count: int) -> None:
    ended = [[n, f"00aa.0.0.{n}", 1, "done", ""] for n in range(1, count + 1)]
    body = encode({"ClockMs": 9, "Running": [], "Ended": ended})
    decode_body(context, decode_report, body)


@then("there {may} be more ends than the report contains")
def step_more_ends(context: Context, may: str) -> None:
    assert context.value.may_have_more_ends == (may == "may")


@then("the body is rejected")
def step_rejected(context: Context) -> None:
    assert context.error is not None, context.value


@then(
    "step {number:d} has {count:d} tasks of {cpu:d} millicores with affinity to the"
    ' rack "{rack}"'
)
def step_step(context: Context, number: int, count: int, cpu: int, rack: str) -> None:
    step = context.value.steps[number]
    found = (step.count, step.needs.cpu_millis, step.rack, step.needs.accelerators)
    assert found == (count, cpu, rack, 0), step


@then("step {number:d} is a gang that depends on step {before:d}")
def step_gang(context: Context, number: int, before: int) -> None:
    step = context.value.steps[number]
    assert step.is_gang
    assert step.after == (before,)


@then("the job runs once")
def step_once(context: Context) -> None:
    assert (context.value.occurrences, context.value.is_timed) == (1, False)


@then(
    "the job runs {count:d} times, first at {first:g} and then every {period:g} seconds"
)
def step_times(context: Context, count: int, first: float, period: float) -> None:
    job = context.value
    found = (job.occurrences, job.first_due, job.period_seconds)
    assert found == (count, first, period), found


@then('the worker in the rack "{rack}" is draining for {seconds:g} seconds')
def step_entry(context: Context, rack: str, seconds: float) -> None:
    entry = context.value
    assert entry.is_draining
    assert (entry.rack, entry.remaining_seconds) == (rack, seconds)


@then(
    "task {index:d} of step {step:d} is in run {run:d} at {percent:d} percent with"
    ' checkpoint "{saved}"'
)
def step_running(
    context: Context, index: int, step: int, run: int, percent: int, saved: str
) -> None:
    (item,) = context.value.running
    found = (item.id.index, item.id.step, item.run, item.percent, item.checkpoint)
    assert found == (index, step, run, percent, saved), item


@then("the usage of the run is {usage}")
def step_usage(context: Context, usage: str) -> None:
    (item,) = context.value.running
    assert str(item.usage) == usage, item


@then('step {number:d} has the image "{image}" and may miss {count:d} tasks')
@then('step {number:d} has the image "" and may miss {count:d} tasks')
def step_image(context: Context, number: int, count: int, image: str = "") -> None:
    step = context.value.steps[number]
    assert (step.image, step.may_miss) == (image, count), step


@then('end {number:d} reports that task {index:d} of step {step:d} ended as "{how}"')
def step_ended(context: Context, number: int, index: int, step: int, how: str) -> None:
    (item,) = context.value.ended
    found = (item.number, item.id.index, item.id.step, item.kind.value)
    assert found == (number, index, step, how), item


@then('the operator row "{key}" requests the evacuation of "{data_centre}"')
@then('the operator row "{key}" requests the evacuation of ""')
def step_evacuation(context: Context, key: str, data_centre: str = "") -> None:
    assert (parse_evacuation(key) or "") == data_centre
