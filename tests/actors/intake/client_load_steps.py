"""Steps of a client load on a real daemon."""

from os import listdir
from pathlib import Path
from re import search
from typing import Any

from behave import given, then, when
from behave.runner import Context
from urllib3.exceptions import HTTPError

from tests.support.batch_processes import Installation, start_installation
from tests.support.client_load import ClientLoad, make_request
from tests.support.processes import Process, wait_until

SEND_SECONDS = 60.0
DAEMON = "d1"


def start(context: Context, **settings: Any) -> None:
    """Start a daemon with settings, and a worker."""
    context.installation = start_installation(1, 1, 0.1, settings=settings)
    context.processes.append(context.installation)
    context.daemon = context.installation.daemons[DAEMON]


@given("a daemon with {memory_mb:d} MB and {seconds:g} seconds for a request")
def step_daemon_memory(context: Context, memory_mb: int, seconds: float) -> None:
    start(context, memory_mb=memory_mb, request_seconds=seconds)


@given("a daemon with {descriptors:d} descriptors")
def step_daemon_descriptors(context: Context, descriptors: int) -> None:
    start(context, descriptors=descriptors)


def start_load(context: Context, server: str, count: int, data: bytes) -> None:
    """Open connections to a server of the daemon and send the data on each."""
    address = context.installation.settings[DAEMON][server]
    load = ClientLoad(address, count, data)
    context.processes.append(load)
    # A scenario may start several loads; all of them are checked.
    context.loads = [*getattr(context, "loads", ()), load]
    load.send(SEND_SECONDS)


def are_closed(context: Context) -> bool:
    """Return whether the server has refused or closed all connections of all loads."""
    return all(load.is_closed() for load in context.loads)


@when("{count:d} connections send {kind} without the end")
def step_load(context: Context, count: int, kind: str) -> None:
    start_load(context, "callers", count, make_request(kind))


@when("{count:d} monitoring connections send {kind} without the end")
def step_monitoring_load(context: Context, count: int, kind: str) -> None:
    start_load(context, "readiness", count, make_request(kind))


@when("{count:d} more connections send a byte at a time")
def step_drip(context: Context, count: int) -> None:
    start_load(context, "callers", count, b"POST /desk/00000000000000ff HTTP/1.1\r\nX:")

    def is_closed() -> bool:
        context.loads[-1].drip()
        return context.loads[-1].is_closed()

    wait_until(is_closed, "the end of the connections")


@then("the daemon is alive and its peak memory is under {limit:d} MB")
def step_peak(context: Context, limit: int) -> None:
    check_peak(context.installation.daemons[DAEMON], limit)


def check_peak(daemon: Process, limit: int) -> None:
    """Check that a process runs and its memory never reached a limit."""
    assert daemon.exit_status is None, daemon.exit_status
    status = Path(f"/proc/{daemon.pid}/status").read_text()
    found = search(r"VmHWM:\s*(\d+) kB", status)
    assert found is not None
    assert int(found[1]) < limit * 1024, f"{int(found[1]) // 1024} MB"


@then("the daemon is alive and has under {limit:d} descriptors open")
def step_descriptors(context: Context, limit: int) -> None:
    daemon = context.installation.daemons[DAEMON]
    assert daemon.exit_status is None, daemon.exit_status
    count = len(listdir(f"/proc/{daemon.pid}/fd"))
    assert count < limit, count


@then(
    "its peak memory stays under {limit:d} MB "
    "until it refuses or closes all connections"
)
def step_peak_until_closed(context: Context, limit: int) -> None:
    def is_closed() -> bool:
        check_peak(context.daemon, limit)
        return are_closed(context)

    wait_until(is_closed, "the end of the connections")


@then("it refuses or closes all connections of the load")
def step_closed(context: Context) -> None:
    wait_until(lambda: are_closed(context), "the end of the connections")


def run_job(installation: Installation, job: str) -> None:
    """Submit a job and wait until it is done."""

    def is_accepted() -> bool:
        try:
            return installation.submit(DAEMON, job) == 200
        except HTTPError:
            return False

    wait_until(is_accepted, "the acceptance of a job")
    wait_until(lambda: installation.find_state(DAEMON, job) == "done", "the job's end")


@then("a job is accepted and done beside the load")
def step_job_beside(context: Context) -> None:
    run_job(context.installation, "00000000000000a1")


@then("a job is accepted and done after the load")
def step_job_after(context: Context) -> None:
    for load in context.loads:
        load.close()
    run_job(context.installation, "00000000000000a2")


@then("the daemon reports that it is ready")
def step_ready(context: Context) -> None:
    wait_until(lambda: context.installation.is_ready(DAEMON), "readiness")
