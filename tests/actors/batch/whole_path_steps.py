"""Steps of the path from client to worker, with real processes."""

from base64 import b64decode
from collections import Counter
from concurrent.futures import ThreadPoolExecutor
from itertools import count as count_up
from signal import SIGHUP
from typing import Any

from behave import given, then, when
from behave.runner import Context
from msgspec import Raw
from msgspec.json import decode, encode
from urllib3.exceptions import HTTPError

from geraniumwell.codec.batch import find_job_partition
from geraniumwell.const import (
    JOB_PARTITIONS,
    PARTITION_SCHEDULE,
    TABLE_JOBS,
    TABLE_PROGRESS,
)
from tests.support.batch_processes import (
    Installation,
    set_fault,
    start_installation,
)
from tests.support.processes import wait_until
from tests.support.tcp_proxy import TO_CLIENT, TO_SERVER

EVACUATED = "geraniumwell_batch_evacuated_data_centres"
WAITING = "geraniumwell_batch_jobs_waiting"
ROUNDS = "geraniumwell_batch_plan_seconds_count"
REFUSED = 'geraniumwell_store_calls_total{operation="commit",result="503"}'
UNREADABLE = 'geraniumwell_batch_rows_unreadable_total{kind="worker"}'


@given(
    "{daemons:d} daemons and {workers:d} workers whose tasks take {seconds:g} seconds"
)
def step_installation(
    context: Context, daemons: int, workers: int, seconds: float
) -> None:
    found = start_installation(daemons, workers, seconds)
    context.processes.append(found)
    context.installation = found
    context.job = ""
    context.stopped_daemon = ""


@given(
    "{daemons:d} daemons and {workers:d} workers whose tasks take {seconds:g}"
    " seconds, and results kept for {kept:d} seconds"
)
def step_short_retention(
    context: Context, daemons: int, workers: int, seconds: float, kept: int
) -> None:
    settings = {"result_seconds": kept}
    found = start_installation(daemons, workers, seconds, settings=settings)
    context.processes.append(found)
    context.installation = found
    context.job = ""


def get_installation(context: Context) -> Installation:
    """Return the scenario's installation."""
    return context.installation


@when('the job "{job}" is submitted to "{name}"')
def step_submit(context: Context, job: str, name: str) -> None:
    context.job = job
    status = get_installation(context).submit(name, job)
    assert status == 200, status


@when('the job "{job}" of {tasks:d} small tasks is submitted to "{name}"')
def step_submit_small(context: Context, job: str, tasks: int, name: str) -> None:
    context.job = job
    step = {"Count": tasks, "Cpu": 20, "MemMb": 1, "Gpu": 0}
    assert get_installation(context).submit(name, job, **step) == 200


@when("its {tasks:d} tasks have started")
def step_all_started(context: Context, tasks: int) -> None:
    wait_until(lambda: count(context, "start") == tasks, "the start of the tasks")


@when(
    "its {tasks:d} tasks have ended, over {waiting:d} of them without acknowledgement"
)
def step_ended_unnoted(context: Context, tasks: int, waiting: int) -> None:
    wait_until(lambda: count(context, "done") == tasks, "the end of the tasks")
    assert count(context, "done") - count(context, "noted") > waiting


@when("its tasks have started")
def step_started(context: Context) -> None:
    def is_started() -> bool:
        return count(context, "start") >= 2

    wait_until(is_started, "the start of the tasks")


@then('the job "{job}" reaches the state "{state}" on "{name}"')
def step_becomes(context: Context, job: str, state: str, name: str) -> None:
    def has_state() -> bool:
        try:
            return get_installation(context).find_state(name, job) == state
        except HTTPError:
            return False

    wait_until(has_state, f"{job} being {state}")


@then('the job "{job}" reaches the state "{state}" on the other daemon')
def step_becomes_other(context: Context, job: str, state: str) -> None:
    step_becomes(context, job, state, other_daemon(context))


def other_daemon(context: Context) -> str:
    """Return the daemon that was not stopped."""
    return next(
        n for n in get_installation(context).daemons if n != context.stopped_daemon
    )


@when("the scheduling daemon is killed")
def step_kill(context: Context) -> None:
    installation = get_installation(context)
    context.stopped_daemon = installation.find_scheduler()
    installation.daemons[context.stopped_daemon].kill()


@when("the scheduling daemon is paused until another one takes over")
def step_pause(context: Context) -> None:
    installation = get_installation(context)
    context.stopped_daemon = installation.find_scheduler()
    process = installation.daemons[context.stopped_daemon]
    process.pause()
    other = other_daemon(context)
    wait_until(
        lambda: installation.find_scheduler_among((other,)) == other, "a takeover"
    )
    process.resume()


@when("the scheduling daemon is stopped with SIGTERM")
def step_terminate(context: Context) -> None:
    installation = get_installation(context)
    context.stopped_daemon = installation.find_scheduler()
    installation.daemons[context.stopped_daemon].terminate()


@then("the stopped daemon exits successfully")
def step_daemon_exits(context: Context) -> None:
    process = get_installation(context).daemons[context.stopped_daemon]
    wait_until(lambda: process.exit_status is not None, "the exit of the daemon")
    assert process.exit_status == 0, process.exit_status


@when("another writer adds {entries:d} entries with {field} {value}")
def step_odd_entries(context: Context, entries: int, field: str, value: str) -> None:
    installation = get_installation(context)
    valid = installation.list_rows("servers")[0]
    # The value is written as it stands, because not every decoder accepts it.
    text = b64decode(valid["Value"]).decode()
    fields: dict[str, Any] = decode(text, type=dict[str, Raw])
    fields[field] = Raw(value.encode())
    for number in range(entries):
        installation.put_bytes("servers", f"odd-{number}", encode(fields))


@then("{rows:d} rows of the registry are counted as unreadable")
def step_unreadable_rows(context: Context, rows: int) -> None:
    installation = get_installation(context)
    wait_until(
        lambda: installation.read_metric("d1", UNREADABLE) >= rows, "unreadable rows"
    )


@when("the store refuses all calls")
def step_store_refuses(context: Context) -> None:
    get_installation(context).set_store_fault(mode="busy")


@when("the store refuses the partitions of the job table")
def step_partitions_refused(context: Context) -> None:
    get_installation(context).set_store_fault(mode="busy", parts=JOB_PARTITIONS)


@when("the scheduling daemon was refused a transaction")
def step_transaction_refused(context: Context) -> None:
    installation = get_installation(context)
    wait_until(
        lambda: installation.read_metric(installation.find_scheduler(), REFUSED) >= 1,
        "a refused transaction",
    )


@when("the responses to all writes are lost")
def step_responses_lost(context: Context) -> None:
    get_installation(context).set_store_fault(mode="lose_answers")


@when(
    'the writes of the job "{job}" get no response and take effect {late:d}'
    " seconds later"
)
def step_late_writes(context: Context, job: str, late: int) -> None:
    get_installation(context).set_store_fault(mode="lose_answers", key=job, late=late)


@when("the store recovers")
def step_store_recovers(context: Context) -> None:
    installation = get_installation(context)
    installation.set_store_fault(mode="up")
    for name in installation.daemons:
        wait_until(lambda name=name: installation.is_ready(name), f"{name} being ready")


@when("the store compacts its change history")
def step_compact(context: Context) -> None:
    installation = get_installation(context)
    installation.put("op", "other", {})
    installation.compact()


@then('submitting the job "{job}" to "{name}" fails with status {status:d}')
def step_refused(context: Context, job: str, name: str, status: int) -> None:
    found = get_installation(context).submit(name, job)
    assert found == status, found


@then('the job "{job}" is unknown to "{name}"')
def step_unknown(context: Context, job: str, name: str) -> None:
    answers = read_states(context, job, name)
    assert answers <= {"410", "503"}, answers


def read_states(context: Context, job: str, name: str) -> set[str]:
    """Query a job until the daemon knows about it; return all states and statuses."""
    answers = set()

    def is_answered() -> bool:
        # 503 only means that the daemon does not reach the store yet.
        answers.add(get_installation(context).find_state(name, job))
        return bool(answers - {"503"})

    wait_until(is_answered, "an answer about the job")
    return answers


@then('the job "{job}" becomes unknown to "{name}"')
def step_becomes_unknown(context: Context, job: str, name: str) -> None:
    wait_until(
        lambda: get_installation(context).find_state(name, job) == "410",
        "the job being unknown",
    )


@when('the row of the job "{job}" is stored')
def step_row_stored(context: Context, job: str) -> None:
    installation = get_installation(context)
    part = find_job_partition(job)

    def is_stored() -> bool:
        return job in [row["Key"] for row in installation.list_rows(TABLE_JOBS, part)]

    wait_until(is_stored, "the row of the job")


@then('the rows of the job "{job}" are removed from the store')
def step_rows_removed(context: Context, job: str) -> None:
    installation = get_installation(context)
    tables = [(TABLE_JOBS, find_job_partition(job))]
    tables.append((TABLE_PROGRESS, PARTITION_SCHEDULE))
    for table, part in tables:
        keys = [row["Key"] for row in installation.list_rows(table, part)]
        assert job not in keys, (table, keys)


@then('each task of the job "{job}" was started once')
def step_started_once(context: Context, job: str) -> None:
    starts = Counter(
        item["task"]
        for item in get_installation(context).read_record()
        if item["what"] == "start" and item["task"].startswith(job)
    )
    assert len(starts) == 2, starts
    assert set(starts.values()) == {1}, starts


@when('the job "{job}" is cancelled through "{name}"')
def step_cancel(context: Context, job: str, name: str) -> None:
    assert get_installation(context).ask(name, "DELETE", job).status == 200


@then('cancelling the job "{job}" through "{name}" is answered with status {status:d}')
def step_cancel_status(context: Context, job: str, name: str, status: int) -> None:
    found = get_installation(context).ask(name, "DELETE", job).status
    assert found == status, found


@then('the job "{job}" reaches the state "{state}" on one of the daemons')
def step_becomes_any(context: Context, job: str, state: str) -> None:
    step_becomes(context, job, state, other_daemon(context))


@then("no task has started")
def step_none_started(context: Context) -> None:
    assert count(context, "start") == 0


@then('all its runs end as "{how}"')
def step_all_end(context: Context, how: str) -> None:
    wait_until(lambda: count(context, how) >= 2, f"the runs being {how}")
    assert count(context, "start") == count(context, how)


@when('the worker "{name}" executes starts late and does not answer them')
def step_late_starts(context: Context, name: str) -> None:
    set_fault(get_installation(context).workers[name], mode="late")


@when("the operator revokes the API key")
def step_revoke_key(context: Context) -> None:
    get_installation(context).write_config(("key-2",))


@then("all daemons reject the API key")
def step_key_rejected(context: Context) -> None:
    installation = get_installation(context)
    for name in installation.daemons:
        wait_until(
            lambda name=name: installation.ask(name, "GET").status == 401,
            "rejection of the API key",
        )


@when('the operator evacuates the data centre "{data_centre}"')
def step_evacuate(context: Context, data_centre: str) -> None:
    installation = get_installation(context)
    installation.put("op", f"evacuate/{data_centre}", {})
    for name in installation.daemons:
        wait_until(
            lambda name=name: installation.read_metric(name, EVACUATED) == 1,
            "the evacuation",
        )


@when('the operator ends the evacuation of the data centre "{data_centre}"')
def step_end_evacuation(context: Context, data_centre: str) -> None:
    get_installation(context).remove("op", f"evacuate/{data_centre}")


@when('the job "{job}" is submitted to the other daemon')
def step_submit_other(context: Context, job: str) -> None:
    step_submit(context, job, other_daemon(context))


@then("the job stays queued and no task has started")
def step_waits(context: Context) -> None:
    installation, name = get_installation(context), other_daemon(context)
    wait_until(lambda: installation.read_metric(name, WAITING) == 1, "the waiting job")
    # Planning rounds follow each other within a quarter of a second.
    rounds = installation.read_metric(name, ROUNDS)
    wait_until(
        lambda: installation.read_metric(name, ROUNDS) >= rounds + 4, "planning rounds"
    )
    states = read_states(context, context.job, name)
    assert states <= {"queued", "503"}, states
    assert count(context, "start") == 0


@when("all daemons are killed and restarted")
def step_kill_all(context: Context) -> None:
    installation = get_installation(context)
    for process in installation.daemons.values():
        process.kill()
    for name in list(installation.daemons):
        installation.start_daemon(name)
    for name in installation.daemons:
        wait_until(lambda name=name: installation.is_ready(name), f"{name} being ready")


@then("each task completed exactly once")
def step_once(context: Context) -> None:
    ends = Counter(
        item["task"]
        for item in get_installation(context).read_record()
        if item["what"] == "done"
    )
    assert len(ends) == 2, ends
    assert set(ends.values()) == {1}, ends


@then("no task was started twice")
def step_not_twice(context: Context) -> None:
    assert count(context, "start") == 2


@then("its {tasks:d} tasks were started once each")
def step_once_each(context: Context, tasks: int) -> None:
    assert count(context, "start") == tasks, count(context, "start")


def count(context: Context, what: str) -> int:
    """Return how often the workers recorded an event."""
    return sum(item["what"] == what for item in get_installation(context).read_record())


@given(
    "{daemons:d} daemons and {workers:d} workers whose tasks take {seconds:g}"
    ' seconds, where "{name}" reaches the store through a TCP proxy'
)
def step_proxied_installation(
    context: Context, daemons: int, workers: int, seconds: float, name: str
) -> None:
    found = start_installation(daemons, workers, seconds, proxied=(name,))
    context.processes.append(found)
    context.installation = found


@when('the TCP proxy of "{name}" drops all traffic')
def step_cut_proxy(context: Context, name: str) -> None:
    get_installation(context).proxies[name].cut(TO_SERVER, TO_CLIENT)


@then('the daemon "{name}" stays ready')
def step_ready(context: Context, name: str) -> None:
    assert get_installation(context).is_ready(name)


@when("each store transaction takes {seconds:g} seconds")
def step_slow(context: Context, seconds: float) -> None:
    get_installation(context).set_store_fault(mode="slow", seconds=seconds)


@when("{count:d} jobs are submitted concurrently")
def step_submit_many(context: Context, count: int) -> None:
    installation = get_installation(context)
    names = list(installation.daemons)

    def submit(number: int) -> int:
        return installation.submit(names[number % len(names)], f"{number:016x}")

    with ThreadPoolExecutor(count) as pool:
        context.statuses = list(pool.map(submit, range(count)))


@then("all submitted jobs are accepted")
def step_all_accepted(context: Context) -> None:
    assert set(context.statuses) == {200}, context.statuses


@when("the store stops answering")
def step_silent(context: Context) -> None:
    get_installation(context).set_store_fault(mode="silent")


@then('submissions to "{name}" eventually fail with status {status:d}')
def step_refused_later(context: Context, name: str, status: int) -> None:
    numbers = count_up(0xB0)

    def is_refused() -> bool:
        return get_installation(context).submit(name, f"{next(numbers):016x}") == status

    wait_until(is_refused, f"a refusal with {status}")


@then('the job "{job}" is eventually accepted by "{name}"')
def step_accepted_later(context: Context, job: str, name: str) -> None:
    wait_until(
        lambda: get_installation(context).submit(name, job) == 200, "an acceptance"
    )


@when('the settings file of "{name}" becomes invalid and the daemon receives SIGHUP')
def step_damaged_settings(context: Context, name: str) -> None:
    installation = get_installation(context)
    (installation.folder / f"{name}.json").write_text("{")
    installation.daemons[name].send(SIGHUP)
