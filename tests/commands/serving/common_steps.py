"""Steps shared by the scenarios of serving decisions."""

from behave import given, then, when
from behave.runner import Context

from geraniumwell.model.request import Outcome
from geraniumwell.model.serving import Lost, NotSent
from tests.commands.serving.world import make_answered, make_world


@given("a scheduler with {endpoints:d} endpoints of {slots:d} slots")
def step_daemon(context: Context, endpoints: int, slots: int) -> None:
    context.world = make_world(endpoints, slots)


@when('{count:d} "{class_name}" requests of "{org}" arrive')
@given('{count:d} "{class_name}" requests of "{org}" arrive')
def step_arrive(context: Context, count: int, class_name: str, org: str) -> None:
    world = context.world
    for _ in range(count):
        number = len(world.state.open_requests) + len(world.answers)
        world.submit(f"{class_name}-{org}-{number}", class_name, org)


@when('the "{class_name}" request "{request_id}" arrives')
@given('the "{class_name}" request "{request_id}" arrives')
def step_arrive_one(context: Context, class_name: str, request_id: str) -> None:
    context.world.submit(request_id, class_name)


@when("{seconds:g} s pass")
@given("{seconds:g} s pass")
def step_pass(context: Context, seconds: float) -> None:
    context.world.wait(seconds)


@when('the attempt of "{request_id}" is {result}')
@given('the attempt of "{request_id}" is {result}')
def step_result(context: Context, request_id: str, result: str) -> None:
    results = {
        "answered": make_answered(),
        "answered with an error": make_answered(500),
        "refused as not run": make_answered(503, not_run=True),
        "refused by a leaving endpoint": make_answered(503, not_run=True, leaving=True),
        "answered by a leaving endpoint": make_answered(leaving=True),
        "not sent": NotSent("connection refused"),
        "lost": Lost("connection reset"),
    }
    last = context.world.attempts_of(request_id)[-1]
    context.world.finish(last.attempt_id, results[result])


@when("all attempts in flight are answered")
@given("all attempts in flight are answered")
def step_answer_all(context: Context) -> None:
    for sent in context.world.in_flight():
        context.world.finish(sent.attempt_id, make_answered())


@then("{count:d} attempts are in flight")
def step_in_flight(context: Context, count: int) -> None:
    found = len(context.world.in_flight())
    assert found == count, found


@then('{count:d} attempts of "{request_id}" were sent')
def step_sent(context: Context, count: int, request_id: str) -> None:
    found = len(context.world.attempts_of(request_id))
    assert found == count, found


@then('"{request_id}" gets the outcome "{outcome}" with the code "{code}"')
def step_outcome(context: Context, request_id: str, outcome: str, code: str) -> None:
    answer = context.world.answers[request_id]
    assert answer.outcome == Outcome(outcome), answer
    assert (answer.code or "no code") == code, answer


@then('"{request_id}" is not answered')
def step_no_answer(context: Context, request_id: str) -> None:
    assert request_id not in context.world.answers, context.world.answers
