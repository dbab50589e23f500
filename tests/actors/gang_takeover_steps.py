"""Steps for gang jobs whose decider is killed or paused."""

from behave import given, step, then, when
from behave.runner import Context

from geraniumwell.codec.membership import make_assignment_key, make_member_key
from tests.support.gangs import (
    DATA_CENTRE,
    PROVISIONAL_SECONDS,
    GangCluster,
    check_accelerators_exclusive,
    check_attempts_sequential,
    check_gangs_complete,
)
from tests.support.processes import call, wait_until

OPERATIONS = ("reserve", "start", "renew")


@given("a gang cluster with {workers:d} workers where tasks run {seconds:g} seconds")
def step_cluster(context: Context, workers: int, seconds: float) -> None:
    context.cluster = GangCluster(context.processes, workers, seconds)


@step("a daemon is started")
@step("a second daemon is started")
def step_daemon(context: Context) -> None:
    context.cluster.start_daemon()


@step('worker {worker:d} does not answer "{operation}"')
def step_unresponsive(context: Context, worker: int, operation: str) -> None:
    context.cluster.fail_worker(worker, "silent", operation=operation)


@given("the third worker of three gangs does not answer reserve, start and renew")
def step_unresponsive_thirds(context: Context) -> None:
    for worker, operation in zip((2, 5, 8), OPERATIONS, strict=True):
        context.cluster.fail_worker(worker, "silent", operation=operation)


@when('"g-1", "g-2" and "g-3" have reached reserve, start and renew')
def step_gangs_reached(context: Context) -> None:
    cluster = context.cluster
    wait_until(
        lambda: all(map(cluster.calls, (0, 3, 6), OPERATIONS)),
        "the three gangs starting",
    )
    jobs = [run["job"] for run in cluster.runs()]
    assert [jobs.count(f"g-{i}") for i in (1, 2, 3)] == [0, 2, 3], jobs


@when("the unresponsive workers recover")
def step_recover(context: Context) -> None:
    for worker in (2, 5, 8):
        context.cluster.fail_worker(worker, "up")


@when('the gang job "{job_id}" of {members:d} members is accepted')
def step_accept(context: Context, job_id: str, members: int) -> None:
    context.cluster.accept(job_id, members)


@when('worker {worker:d} has received "{operation}"')
def step_received(context: Context, worker: int, operation: str) -> None:
    cluster = context.cluster
    wait_until(lambda: cluster.calls(worker, operation), f"a call of {operation}")


@when("the elected daemon is killed")
def step_kill(context: Context) -> None:
    context.cluster.daemons[0].kill()


@when("the elected daemon is paused")
def step_pause(context: Context) -> None:
    context.cluster.daemons[0].pause()


@when("the paused daemon resumes and adopts the current assignment")
def step_resume(context: Context) -> None:
    cluster = context.cluster
    cluster.daemons[0].resume()

    def is_adopted() -> bool:
        assignment = cluster.read(make_assignment_key(DATA_CENTRE))
        member = cluster.read(make_member_key(DATA_CENTRE, "vm-1"))
        present = assignment["version"]
        return "vm-1" in assignment["members"] and member["adopted_version"] == present

    wait_until(is_adopted, "the adoption of the assignment")


@step('the gang job "{job_id}" is recorded as "{state}"')
def step_state(context: Context, job_id: str, state: str) -> None:
    context.record = context.cluster.wait_state(job_id, state)


@then('the records of "{job_ids}" carry epoch {epoch:d}')
def step_epoch(context: Context, job_ids: str, epoch: int) -> None:
    records = [context.cluster.record(job_id) for job_id in job_ids.split()]
    assert all(record["epoch"] == epoch for record in records), records


@then('"{job_id}" ran once as a whole gang with {members:d} members')
def step_ran_once(context: Context, job_id: str, members: int) -> None:
    runs = [run for run in context.cluster.runs() if run["job"] == job_id]
    assert sorted(run["member"] for run in runs) == list(range(members)), runs
    assert {run["attempt"] for run in runs} == {1}, runs
    assert {run["state"] for run in runs} == {"finished"}, runs
    check_gangs_complete(runs, members, PROVISIONAL_SECONDS)


@then(
    'the gangs "{job_ids}" of {members:d} members ran without overlap and finished once'
)
def step_no_overlap(context: Context, job_ids: str, members: int) -> None:
    runs = context.cluster.runs()
    check_accelerators_exclusive(runs)
    check_attempts_sequential(runs)
    check_gangs_complete(runs, members, PROVISIONAL_SECONDS)
    for job_id in job_ids.split():
        mine = [run for run in runs if run["job"] == job_id]
        last = max(run["attempt"] for run in mine)
        finished = [r["attempt"] for r in mine if r["state"] == "finished"]
        assert finished == [last] * members, mine


@then("no call of epoch {epoch:d} took effect after the takeover")
def step_stale_epoch(context: Context, epoch: int) -> None:
    for worker in range(len(context.cluster.workers)):
        calls = context.cluster.log(worker)["calls"]
        taken = [c["at"] for c in calls if c["epoch"] > epoch]
        late = [c for c in calls if c["epoch"] == epoch and c["at"] > min(taken)]
        assert all(call["refused"] for call in late), late


@then('the workers hold no task of "{job_id}"')
def step_acknowledged(context: Context, job_id: str) -> None:
    cluster = context.cluster

    def is_held() -> bool:
        answers = [
            call("POST", w.address, "/tasks/inventory", json={"epoch": 1}).json()
            for w in cluster.workers
        ]
        return any(t["lease"]["job_id"] == job_id for a in answers for t in a["tasks"])

    wait_until(lambda: not is_held(), "the workers dropping the tasks")


@when("a task of a job without a record runs on worker {worker:d}")
def step_orphaned_task(context: Context, worker: int) -> None:
    lease = {
        "lease_id": "gone/1/0",
        "job_id": "gone",
        "attempt": 1,
        "member": 0,
        "worker": f"w-{worker}",
        "first_accelerator": 0,
        "accelerators": 8,
        "cores": 1,
        "memory_gb": 1,
    }
    address = context.cluster.workers[worker].address
    body = {"epoch": 0, "lease": lease, "ttl_seconds": 600.0}
    call("POST", address, "/tasks/reserve", json=body)
    body = {"epoch": 0, "lease_id": "gone/1/0"}
    assert call("POST", address, "/tasks/start", json=body).status == 200


@then("nothing runs on worker {worker:d}")
def step_idle(context: Context, worker: int) -> None:
    cluster = context.cluster
    wait_until(
        lambda: all(r["ended"] is not None for r in cluster.log(worker)["runs"]),
        f"worker {worker} being idle",
    )
