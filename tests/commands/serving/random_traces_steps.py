"""Steps for the random traces of serving decisions."""

from behave import given, then, when
from behave.runner import Context

from geraniumwell.commands.serving.scheduler import is_idle
from geraniumwell.model.request import Outcome
from tests.commands.serving.random_world import FAULTS, SLOTS, make_random_world


@given("a random trace of {count:d} requests with seed {seed:d}")
def step_trace(context: Context, count: int, seed: int) -> None:
    context.count = count
    context.world = make_random_world(seed)


@when("the trace is run against endpoints that crash, hang, fail and leave")
def step_run(context: Context) -> None:
    context.world.run(context.count)


@then("every request got exactly one answer with its own id")
def step_one_answer(context: Context) -> None:
    world = context.world
    assert len(world.submitted) == context.count
    assert is_idle(world.state), world.state.open_requests
    for request_id in world.submitted:
        answers = world.answers.get(request_id, [])
        assert len(answers) == 1, (request_id, answers)
        assert answers[0].request_id == request_id
        assert answers[0].body in (b"", request_id.encode()), answers


@then('no request with the outcome "not_run" was executed')
def step_not_run(context: Context) -> None:
    world = context.world
    for request_id, (answer,) in world.answers.items():
        if answer.outcome is Outcome.NOT_RUN:
            assert world.executed[request_id] == 0, request_id


@then("no non-idempotent request ran twice")
def step_once(context: Context) -> None:
    world = context.world
    for request_id, runs in world.executed.items():
        assert world.submitted[request_id].idempotent or runs <= 1, request_id


@then("no endpoint ran more attempts than its slots")
def step_slots(context: Context) -> None:
    assert 0 < context.world.max_running <= SLOTS, context.world.max_running


@then("no leaving endpoint got new work")
def step_leaving(context: Context) -> None:
    assert not context.world.sent_to_leaving


@then("every kind of fault and every outcome occurred")
def step_all_occurred(context: Context) -> None:
    world = context.world
    missing = {*FAULTS, "", "forwarded"} - set(world.occurrences)
    assert not missing, missing
    outcomes = {answer.outcome for (answer,) in world.answers.values()}
    assert outcomes == set(Outcome), outcomes
