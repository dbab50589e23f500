"""Steps for gang jobs while workers or the platform fail."""

from behave import given, step, then, when
from behave.runner import Context

from tests.support.gangs import (
    DATA_CENTRE,
    PROVISIONAL_SECONDS,
    check_accelerators_exclusive,
    check_attempts_sequential,
    check_gangs_complete,
    make_job,
)
from tests.support.processes import wait_until


@given('worker {worker:d} delays "{operation}" by {seconds:g} seconds')
def step_slow(context: Context, worker: int, operation: str, seconds: float) -> None:
    fault = {"operation": operation, "seconds": seconds}
    context.cluster.fail_worker(worker, "slow", **fault)


@given("worker {worker:d} fails all tasks")
def step_failing(context: Context, worker: int) -> None:
    context.cluster.fail_worker(worker, "failing")


@given('every worker fails the gang job "{job_id}"')
def step_failing_job(context: Context, job_id: str) -> None:
    for worker in range(len(context.cluster.workers)):
        context.cluster.fail_worker(worker, "failing_job", job=job_id)


@when("worker {worker:d} is killed")
def step_kill_worker(context: Context, worker: int) -> None:
    context.cluster.workers[worker].kill()


@when("new tasks run for {seconds:g} seconds")
def step_task_seconds(context: Context, seconds: float) -> None:
    context.cluster.run_for(seconds)


@when('the gang jobs "{job_ids}" of {members:d} members are accepted')
def step_accept_all(context: Context, job_ids: str, members: int) -> None:
    for job_id in job_ids.split():
        context.cluster.accept(job_id, members)


@step('the platform is in the mode "{mode}"')
def step_platform(context: Context, mode: str) -> None:
    context.cluster.fail_platform(mode)


@then('each worker receives another renewal of "{job_id}"')
def step_renewed(context: Context, job_id: str) -> None:
    cluster = context.cluster

    def count(worker: int) -> int:
        calls = cluster.calls(worker, "renew")
        return sum(any(i.startswith(job_id) for i in c["leases"]) for c in calls)

    workers = range(len(cluster.workers))
    before = [count(worker) for worker in workers]
    wait_until(lambda: all(count(w) > before[w] for w in workers), "renewals")


@when('all tasks of "{job_id}" have ended on the workers')
def step_tasks_ended(context: Context, job_id: str) -> None:
    def is_ended() -> bool:
        runs = [run for run in context.cluster.runs() if run["job"] == job_id]
        return bool(runs) and all(run["ended"] is not None for run in runs)

    wait_until(is_ended, f"the end of the tasks of {job_id}")


@given('the organisation "{name}" is guaranteed {workers:d} workers')
def step_guarantee(context: Context, name: str, workers: int) -> None:
    names = ("desks", name)
    guarantee = {
        "name": "all",
        "organisation": name,
        "data_centre": DATA_CENTRE,
        "shape": make_job("", workers)["shape"],
    }
    context.cluster.configure(
        organisations={n: {"name": n} for n in names}, guarantees={"all": guarantee}
    )


@when(
    'the gang job "{job_id}" of {members:d} members '
    "that checkpoints in {seconds:g} seconds is accepted"
)
def step_accept_checkpointing(
    context: Context, job_id: str, members: int, seconds: float
) -> None:
    interruption = {"type": "Checkpointable", "checkpoint_seconds": seconds}
    context.cluster.accept(job_id, members, interruption=interruption)


@when('tasks of "{job_id}" have run for {seconds:g} seconds')
def step_have_run(context: Context, job_id: str, seconds: float) -> None:
    def has_run() -> bool:
        now = context.cluster.log(0)["now"]
        runs = [run for run in context.cluster.runs() if run["job"] == job_id]
        return bool(runs) and all(now - r["started"] >= seconds for r in runs)

    wait_until(has_run, f"progress of {job_id}")


@when(
    'the gang job "{job_id}" of {members:d} members '
    'is accepted under the guarantee of "{name}"'
)
def step_claim(context: Context, job_id: str, members: int, name: str) -> None:
    context.cluster.accept(job_id, members, organisation=name, guaranteed=True)


@then('the record of "{job_id}" holds saved progress')
def step_saved(context: Context, job_id: str) -> None:
    record = context.cluster.record(job_id)
    assert record["saved_progress_seconds"] >= 1.0, record


@then("no accelerator was used by two tasks at once")
def step_used_once(context: Context) -> None:
    check_accelerators_exclusive(context.cluster.runs())


@then('no task of "{job_id}" has started')
def step_none_started(context: Context, job_id: str) -> None:
    assert not [run for run in context.cluster.runs() if run["job"] == job_id]


@then('the gang jobs "{job_ids}" are recorded as "{state}"')
def step_states(context: Context, job_ids: str, state: str) -> None:
    for job_id in job_ids.split():
        context.cluster.wait_state(job_id, state)
    check_accelerators_exclusive(context.cluster.runs())


@then("worker {worker:d} ran at most {limit:d} of their tasks")
def step_drained(context: Context, worker: int, limit: int) -> None:
    runs = [r for r in context.cluster.log(worker)["runs"] if r["job"].startswith("g-")]
    assert len(runs) <= limit, runs


@then("its recorded reason names {number:d} workers")
def step_reason(context: Context, number: int) -> None:
    reason = context.record["reason"]
    named = [w for w in range(len(context.cluster.workers)) if f"w-{w}" in reason]
    assert len(named) == number, reason


@then(
    'the attempts of "{job_id}" ran whole except the first, '
    "which had {members:d} members"
)
def step_second_attempt(context: Context, job_id: str, members: int) -> None:
    runs = [run for run in context.cluster.runs() if run["job"] == job_id]
    check_accelerators_exclusive(runs)
    check_attempts_sequential(runs)
    first = [run for run in runs if run["attempt"] == 1]
    assert len(first) == members, first
    assert {run["state"] for run in first} == {"stopped"}, first
    later = [run for run in runs if run["attempt"] > 1]
    assert later, "there was no second attempt"
    check_gangs_complete(later, 3, PROVISIONAL_SECONDS)
    assert {run["state"] for run in later} == {"finished"}, later
