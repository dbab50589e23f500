"""Steps of cancellations of job ids."""

from behave import given, then, when
from behave.runner import Context

from geraniumwell.commands.batch.cancellation import (
    apply_cancellation,
    extend_cancellation,
)
from geraniumwell.commands.batch.lifecycle import add_job
from geraniumwell.model.batch.cancellation import Cancellation
from tests.support.batch import WALL, make_cluster, make_job, make_step

JOB = "00000000000000a1"
NOW = 5.0


@given('the id of a job of the queue "renders" that is stored {time} its cancellation')
def step_job(context: Context, time: str) -> None:
    context.cluster = make_cluster("r1")
    context.is_early = time == "after"


def cancel(context: Context, *queues: str) -> None:
    """Store the cancellation and the job in the order of the scenario."""
    cluster = context.cluster
    if not context.is_early:
        add_job(cluster, make_job(JOB, make_step()), WALL, 2)
    cancellation = Cancellation(queues, WALL, 3)
    assert apply_cancellation(cluster, JOB, cancellation, NOW, WALL + NOW) == []
    if context.is_early:
        add_job(cluster, make_job(JOB, make_step()), WALL, 4)


@when('it is cancelled through the queue "{queue}"')
def step_one_queue(context: Context, queue: str) -> None:
    cancel(context, queue)


@when('it is cancelled through the queues "{first}" and "{second}"')
def step_two_queues(context: Context, first: str, second: str) -> None:
    cancel(context, first, second)


@when("it is cancelled through a daemon of an earlier version")
def step_earlier_version(context: Context) -> None:
    cancel(context)


@then('the job is "{state}"')
def step_state(context: Context, state: str) -> None:
    assert context.cluster.jobs[JOB].state.value == state
    is_pending = JOB in context.cluster.pending_jobs
    assert is_pending == (state == "queued"), context.cluster.pending_jobs


@when('the queue "{queue}" cancels an id that was cancelled {before}')
def step_extend(context: Context, queue: str, before: str) -> None:
    known = {
        "never": None,
        'through the queue "quotes"': Cancellation(("quotes",), WALL, 3),
        'through the queue "renders"': Cancellation(("renders",), WALL, 3),
        "by a daemon of an earlier version": Cancellation(version=3),
    }[before]
    context.found = extend_cancellation(known, queue, WALL + NOW)


@then('the stored cancellation has the queues "{queues}"')
def step_queues(context: Context, queues: str) -> None:
    assert context.found == Cancellation(tuple(queues.split()), WALL + NOW)


@then('the stored cancellation has the queues ""')
def step_all_queues(context: Context) -> None:
    step_queues(context, "")


@given('an id that was cancelled through the queue "{queue}"')
def step_cancelled(context: Context, queue: str) -> None:
    context.cluster = make_cluster("r1")
    context.newest = Cancellation((queue,), WALL + NOW, 3)
    apply_cancellation(context.cluster, JOB, context.newest, NOW, WALL + NOW)


@when('the feed repeats an older cancellation through the queue "{queue}"')
def step_repeated(context: Context, queue: str) -> None:
    older = Cancellation((queue,), WALL, 2)
    apply_cancellation(context.cluster, JOB, older, NOW, WALL + NOW)


@then('the cancellation through the queue "{queue}" is still known')
def step_still_known(context: Context, queue: str) -> None:
    found = context.cluster.cancellations[JOB]
    assert found == context.newest, found
    assert found.applies_to(queue)
