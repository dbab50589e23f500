"""Steps of the callers' HTTP interface."""

from socket import create_connection
from typing import Any

from behave import then, when
from behave.runner import Context
from urllib3.exceptions import HTTPError

from tests.support.processes import call, wait_until
from tests.support.serving import get_code, get_outcome

REQUEST_PATH = "/v1/requests/booking"
HEADERS = {
    "Authorization": "Bearer desk-token",
    "Geraniumwell-Class": "quote",
    "Geraniumwell-Request-Id": "r-1",
}
FAULTS: dict[str, tuple[str, str, dict[str, str | None], bytes]] = {
    "no token": ("POST", REQUEST_PATH, {"Authorization": None}, b""),
    "a wrong token": ("POST", REQUEST_PATH, {"Authorization": "Bearer x"}, b""),
    "no class": ("POST", REQUEST_PATH, {"Geraniumwell-Class": None}, b""),
    "an unknown class": ("POST", REQUEST_PATH, {"Geraniumwell-Class": "x"}, b""),
    "a timeout in words": (
        "POST",
        REQUEST_PATH,
        {"Geraniumwell-Timeout-Ms": "soon"},
        b"",
    ),
    "a timeout of 0": ("POST", REQUEST_PATH, {"Geraniumwell-Timeout-Ms": "0"}, b""),
    "a long request id": (
        "POST",
        REQUEST_PATH,
        {"Geraniumwell-Request-Id": "x" * 201},
        b"",
    ),
    "an unknown service": ("POST", "/v1/requests/x", {}, b""),
    "an unknown path": ("GET", "/v2", {}, b""),
    "another method": ("GET", REQUEST_PATH, {}, b""),
    "a body of 2 MiB": ("POST", REQUEST_PATH, {}, b"x" * 2_097_152),
    "a bad ticket count": ("POST", "/v1/tickets", {}, b'{"count": 0}'),
}


@when("a caller sends a request with {fault}")
def step_fault(context: Context, fault: str) -> None:
    address = context.system.daemons[0].address
    if fault == "a malformed head":
        context.found = send_malformed(address)
        return
    method, path, changes, body = FAULTS[fault]
    merged = {**HEADERS, **changes}
    headers = {name: value for name, value in merged.items() if value is not None}
    resp = call(method, address, path, headers=headers, body=body)
    context.found = resp.status, dict(resp.headers)


def send_malformed(address: str) -> tuple[int, dict[str, str]]:
    """Send a malformed request; return the status and headers of the response."""
    host, _, port = address.rpartition(":")
    with create_connection((host, int(port)), timeout=30) as sock:
        sock.sendall(b"POST / HTTP/1.1\r\nBad Header: 1\r\n\r\n")
        text = b""
        while chunk := sock.recv(4096):
            text += chunk
    first, *lines = text.decode().partition("\r\n\r\n")[0].split("\r\n")
    headers = dict(line.split(": ", 1) for line in lines)
    return int(first.split()[1]), headers


@then('the status is {status:d} and the code "{code}"')
def step_status(context: Context, status: int, code: str) -> None:
    found = (context.found[0], context.found[1].get("Geraniumwell-Code"))
    assert found == (status, code), context.found


@then('the response has the outcome "{outcome}" and echoes or assigns a request id')
def step_outcome(context: Context, outcome: str) -> None:
    headers: dict[str, Any] = context.found[1]
    assert headers["Geraniumwell-Outcome"] == outcome, headers
    assert 0 < len(headers["Geraniumwell-Request-Id"]) <= 200, headers


@when("the only slot is busy and a quote request with a timeout of 30 s is sent")
def step_window(context: Context) -> None:
    context.first = context.system.send_later(request_id="running", timeout_ms=30_000)
    context.system.wait_for_run("running")
    context.resp = context.system.send("queued", timeout_ms=30_000)


@then("the quote request is refused as not run before the slot is free")
def step_refused(context: Context) -> None:
    assert not context.first.done()
    assert get_outcome(context.resp) == "not_run"
    assert get_code(context.resp) in ("overloaded", "deadline_expired")
    if get_code(context.resp) == "overloaded":
        assert int(context.resp.headers["Retry-After"]) >= 1
    assert "queued" not in context.system.count_runs()


@when("the daemon is asked to stop while the ticket's request runs")
def step_stop(context: Context) -> None:
    system = context.system
    context.first = system.send_later(request_id=context.ticket, class_name="confirm")
    system.wait_for_run(context.ticket)
    system.daemons[0].terminate()


@then("it reports that it is not ready and still answers")
def step_notice(context: Context) -> None:
    daemon = context.system.daemons[0]
    wait_until(lambda: not context.system.is_ready(daemon), "reporting not ready")
    assert call("GET", daemon.address, "/healthz").status == 200


@then("it accepts no connections after the notice period")
def step_closed(context: Context) -> None:
    host, _, port = context.system.daemons[0].address.rpartition(":")

    def is_closed() -> bool:
        try:
            create_connection((host, int(port)), timeout=30).close()
        except OSError:
            return True
        return False

    wait_until(is_closed, "the listening socket closing")
    assert not context.first.done(), "the request ended before the socket closed"


@then("the daemon exits with status {status:d}")
def step_end(context: Context, status: int) -> None:
    daemon = context.system.daemons[0]
    wait_until(lambda: daemon.exit_status is not None, "the daemon's end")
    assert daemon.exit_status == status
    try:
        call("GET", daemon.address, "/healthz")
    except HTTPError:
        return
    raise AssertionError("the daemon still answers")
