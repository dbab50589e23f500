"""Steps for the link to one worker and for probes over it."""

from queue import SimpleQueue
from typing import Any

from behave import given, then, when
from behave.runner import Context

from geraniumwell.actors.gang_runner import GangRunner
from geraniumwell.actors.worker_link import WorkerLink
from geraniumwell.actors.worker_pool import WorkerPool
from geraniumwell.clients.worker import HttpWorkerClient
from geraniumwell.messages.workers import CallWorker, WorkerCallFailed
from geraniumwell.model.gang_run import ReserveTask
from geraniumwell.model.worker import Worker
from geraniumwell.util.clock import monotonic_seconds
from tests.clients.worker_steps import LEASE, read_inventory
from tests.support.processes import WAIT_SECONDS, call


class Inbox:
    """Takes the place of the decider and queues the messages to it."""

    def __init__(self) -> None:
        self.queue: SimpleQueue[Any] = SimpleQueue()

    def tell(self, message: Any) -> None:
        """Queue a message."""
        self.queue.put(message)

    def get(self) -> Any:
        """Return the next message."""
        return self.queue.get(timeout=WAIT_SECONDS)


@given("a link to the worker")
def step_link(context: Context) -> None:
    context.inbox = Inbox()
    worker = Worker("w-0", "dc-a", "r", context.worker.address, 8, 8, 8)
    context.pool = WorkerPool(context.inbox, HttpWorkerClient)
    context.pool.set_workers({"w-0": worker}, lambda name: False)
    context.processes.append(context.pool)
    context.pool.begin(9)
    context.pool.valid_until = float("inf")
    context.runner = GangRunner(context.pool, 9)


@when("a reservation is requested after its send deadline")
def step_late(context: Context) -> None:
    client = HttpWorkerClient(context.pool.workers["w-0"])
    link = WorkerLink.start("w-0", client, context.inbox)
    link.tell(CallWorker(ReserveTask(LEASE), 9, monotonic_seconds()))
    context.answer = context.inbox.get()
    link.stop()


@then("the link answers that it was not sent")
def step_not_sent(context: Context) -> None:
    assert isinstance(context.answer, WorkerCallFailed), context.answer
    assert not context.answer.was_sent, context.answer


@then("the worker has received no call")
def step_no_call(context: Context) -> None:
    assert call("GET", context.worker.address, "/log").json()["calls"] == []


@given("the worker's tasks end as {result}")
def step_result(context: Context, result: str) -> None:
    mode = "up" if result == "healthy" else "failing"
    call("POST", context.worker.address, "/faults", json={"mode": mode})
    call("POST", context.worker.address, "/work", json={"seconds": 0.0})


@when("the worker is probed")
def step_probe(context: Context) -> None:
    now = monotonic_seconds()
    context.runner.probes.begin("w-0", now)
    while not context.runner.probes.results:
        context.runner.handle(context.inbox.get(), now)
        context.runner.renew(now)


@then("the probe's result is {result}")
def step_probed(context: Context, result: str) -> None:
    assert context.runner.probes.results == [("w-0", result == "healthy")]


@then("the worker holds nothing and no lease is counted")
def step_held(context: Context) -> None:
    assert not len(context.runner.leases)
    # The acknowledgement may be under way behind this call's connection.
    while read_inventory(context):
        context.inbox.get()
