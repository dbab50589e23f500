"""Steps of the worker client against the worker stand-in."""

from collections.abc import Callable
from typing import Any

from behave import given, then, when
from behave.runner import Context

from geraniumwell.clients.worker import HttpWorkerClient
from geraniumwell.exceptions import (
    LeaseUnknownError,
    StaleEpochError,
    WorkerNotReachedError,
    WorkerUnavailableError,
)
from geraniumwell.model.worker import TaskLease, TaskReport, TaskState, Worker
from tests.support.processes import call, start_stand_in, wait_until

LEASE = TaskLease("g/1/0", "g", 1, 0, "w-0", 0, 8, 1, 1)
OTHER = TaskLease("h/1/0", "h", 1, 0, "w-0", 0, 8, 1, 1)


def raises_exactly(
    kind: type[Exception], action: Callable[..., Any], *args: Any
) -> bool:
    """Return whether an action raises exactly this kind of error."""
    try:
        action(*args)
    except Exception as exc:
        return type(exc) is kind
    return False


def read_inventory(context: Context) -> dict[str, TaskReport]:
    """Return the reports in the worker's inventory, by lease id."""
    tasks = context.client.inventory(9).tasks
    return {report.lease.lease_id: report for report in tasks}


@given("a worker stand-in and a client of it")
def step_worker(context: Context) -> None:
    context.worker = start_stand_in("worker")
    context.processes.append(context.worker)
    address = context.worker.address
    context.client = HttpWorkerClient(Worker("w-0", "dc-a", "r", address, 8, 8, 8))


@given("the worker has seen epoch {epoch:d}")
def step_epoch(context: Context, epoch: int) -> None:
    context.client.inventory(epoch)


@then("each call with epoch {epoch:d} is refused as stale")
def step_stale(context: Context, epoch: int) -> None:
    client, lease_id = context.client, LEASE.lease_id
    assert raises_exactly(StaleEpochError, client.reserve, epoch, LEASE, 5.0)
    assert raises_exactly(StaleEpochError, client.renew, epoch, (lease_id,), 5.0)
    assert raises_exactly(StaleEpochError, client.acknowledge, epoch, (lease_id,))
    assert raises_exactly(StaleEpochError, client.throttle, epoch, lease_id, 0.5)
    assert raises_exactly(StaleEpochError, client.inventory, epoch)
    for action in (client.start, client.checkpoint, client.stop):
        assert raises_exactly(StaleEpochError, action, epoch, lease_id)


@then("the worker has no leases")
def step_no_leases(context: Context) -> None:
    assert not read_inventory(context)


@when("a lease is reserved twice and started twice")
def step_twice(context: Context) -> None:
    for _ in range(2):
        context.client.reserve(9, LEASE, 5.0)
    for _ in range(2):
        assert context.client.start(9, LEASE.lease_id).state is TaskState.RUNNING


@then("the worker's log shows one run")
def step_one_run(context: Context) -> None:
    assert len(call("GET", context.worker.address, "/log").json()["runs"]) == 1


@then("stopping it twice leaves it stopped")
def step_stop_twice(context: Context) -> None:
    for _ in range(2):
        assert context.client.stop(9, LEASE.lease_id).state is TaskState.STOPPED


@when("a lease of {seconds:g} seconds is started and expires")
def step_expiry(context: Context, seconds: float) -> None:
    context.client.reserve(9, LEASE, seconds)
    context.client.start(9, LEASE.lease_id)
    wait_until(
        lambda: read_inventory(context)[LEASE.lease_id].state is TaskState.STOPPED,
        "the expiry of the lease",
    )


@then("its renewal reports the task as ended")
def step_renewal(context: Context) -> None:
    renewal = context.client.renew(9, (LEASE.lease_id,), 30.0)
    assert [report.state for report in renewal.ended] == [TaskState.STOPPED]
    assert renewal.unknown == ()


@then("starting or reserving it again does not change its state")
def step_stays_ended(context: Context) -> None:
    assert context.client.reserve(9, LEASE, 5.0).state is TaskState.STOPPED
    assert context.client.start(9, LEASE.lease_id).state is TaskState.STOPPED


@when("a task has finished")
def step_finished(context: Context) -> None:
    call("POST", context.worker.address, "/work", json={"seconds": 0.1})
    context.client.reserve(9, LEASE, 5.0)
    context.client.start(9, LEASE.lease_id)
    wait_until(
        lambda: read_inventory(context)[LEASE.lease_id].state is TaskState.FINISHED,
        "the end of the task",
    )


@then("it is in the inventory until it is acknowledged")
def step_acknowledged(context: Context) -> None:
    assert LEASE.lease_id in read_inventory(context)
    context.client.acknowledge(9, (LEASE.lease_id,))
    assert not read_inventory(context)


@then("a late reservation of it is refused")
@then("the late reservation is refused and the worker has no leases")
def step_late(context: Context) -> None:
    assert raises_exactly(LeaseUnknownError, context.client.reserve, 9, LEASE, 5.0)
    assert not read_inventory(context)


@when("a lease is stopped before its reservation arrives")
def step_stop_first(context: Context) -> None:
    assert context.client.stop(9, LEASE.lease_id) is None


@when("two leases for the same accelerators are reserved")
def step_same_accelerators(context: Context) -> None:
    for lease in (LEASE, OTHER):
        context.client.reserve(9, lease, 5.0)


@then("the worker has both leases")
def step_both(context: Context) -> None:
    assert set(read_inventory(context)) == {LEASE.lease_id, OTHER.lease_id}


@given("the worker does not answer")
def step_unresponsive(context: Context) -> None:
    call("POST", context.worker.address, "/faults", json={"mode": "silent"})


@then("a call fails with an unknown outcome")
def step_outcome_unknown(context: Context) -> None:
    assert raises_exactly(WorkerUnavailableError, context.client.inventory, 9)


@when("the worker is killed")
def step_killed(context: Context) -> None:
    context.worker.kill()


@then("a call fails as not sent")
def step_not_sent(context: Context) -> None:
    assert raises_exactly(WorkerNotReachedError, context.client.inventory, 9)
