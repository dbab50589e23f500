"""Steps of the scheduler's inbox."""

from behave import given, then, when
from behave.runner import Context
from pykka._envelope import Envelope

from geraniumwell.actors.batch.scheduler import Scheduler
from geraniumwell.clients.table import Committed
from geraniumwell.messages.batch import PollFailed, RowsCommitted


def put(context: Context, message: object) -> None:
    """Put a message into the inbox, as the actor library does."""
    context.inbox.put(Envelope(message))


@given("a scheduler's inbox with {count:d} reports of workers")
def step_inbox(context: Context, count: int) -> None:
    context.inbox = Scheduler._create_actor_inbox()
    context.count = count
    for number in range(count):
        put(context, PollFailed(f"w{number}", "silent"))


@when("the store confirms a renewal")
def step_confirm(context: Context) -> None:
    put(context, RowsCommitted(1, Committed(2)))


@when("a report comes after it")
def step_report(context: Context) -> None:
    put(context, PollFailed(f"w{context.count}", "silent"))


@then("the confirmation is taken first")
def step_first(context: Context) -> None:
    message = context.inbox.get_nowait().message
    assert isinstance(message, RowsCommitted), message


@then("the reports follow in their order")
def step_order(context: Context) -> None:
    names = [context.inbox.get_nowait().message.worker for _ in range(context.count)]
    last = context.inbox.get_nowait().message.worker
    assert [*names, last] == [f"w{n}" for n in range(context.count + 1)], names
    assert context.inbox.empty()
