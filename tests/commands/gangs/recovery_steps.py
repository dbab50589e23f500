"""Steps of what a new decider does with the gangs that it finds."""

from behave import given, then, when
from behave.runner import Context

from geraniumwell.commands.gangs.recovery import list_orphaned_tasks, recover_job
from geraniumwell.model.job import Job, JobRecord, JobState, Shape, Stoppable
from geraniumwell.model.worker import Inventory, TaskLease, TaskReport, TaskState


def make_lease(attempt: int, member: int) -> TaskLease:
    """Return the lease of one member, each on a worker of its own."""
    lease_id = f"g/{attempt}/{member}"
    return TaskLease(lease_id, "g", attempt, member, f"w-{member}", 0, 8, 1, 1)


@when('a gang recorded as "{state}" is found with the members "{found}"')
@when('a gang recorded as "{state}" is found with the members ""')
def step_recover(context: Context, state: str, found: str = "") -> None:
    states = found.split()
    leases = tuple(make_lease(1, member) for member in range(len(states)))
    inventories = {}
    for lease, name in zip(leases, states, strict=True):
        if name == "unreachable":
            continue
        held = () if name == "missing" else (TaskReport(lease, TaskState(name), 1.0),)
        inventories[lease.worker] = Inventory(lease.worker, 1, held)
    job = Job("g", "desks", "dc-a", Shape(2, 8), 60.0, Stoppable(), 0.0)
    record = JobRecord(job, JobState(state), attempt=1)
    context.choice = recover_job(record, leases, inventories)


@then('the new decider chooses "{choice}"')
def step_choice(context: Context, choice: str) -> None:
    assert type(context.choice).__name__ == choice, context.choice


@given("a worker that holds leases of the attempts 1 and 2 of a job")
def step_attempts(context: Context) -> None:
    leases = (make_lease(1, 0), make_lease(2, 0))
    reports = tuple(TaskReport(lease, TaskState.RUNNING, 1.0) for lease in leases)
    context.inventory = Inventory("w-0", 1, reports)


@when("the gang of the attempt {attempt:d} is held")
def step_held(context: Context, attempt: int) -> None:
    context.strays = list_orphaned_tasks(context.inventory, [make_lease(attempt, 0)])


@then("the stray leases are those of the attempt {attempt:d}")
def step_strays(context: Context, attempt: int) -> None:
    assert [report.lease for report in context.strays] == [make_lease(attempt, 0)]
