"""Steps for configuration changes with real processes."""

from typing import Any

from behave import given, then, when
from behave.runner import Context

from tests.support.operators import read_version, send, start_operator_daemon
from tests.support.pair import make_peer_settings
from tests.support.processes import call, make_settings, start_stand_in, wait_until

OPERATORS = {
    "ana": "operator-token",
    "rui": "second-token",
    "an unknown client": "none",
}


@given("a platform and {count:d} daemon")
@given("a platform and {count:d} daemons")
def step_start(context: Context, count: int) -> None:
    start_peers(context, ["dc-a"] * count)


@given('a platform and daemons in "{first}" and "{second}"')
def step_start_apart(context: Context, first: str, second: str) -> None:
    start_peers(context, [first, second])


def start_peers(context: Context, data_centres: list[str]) -> None:
    """Start daemons that are peers, one in each of the data centres."""
    context.platform = start_stand_in("platform")
    context.processes.append(context.platform)
    context.daemons = {}
    context.operators = []
    centres = {f"vm-{n + 1}": dc for n, dc in enumerate(data_centres)}
    platforms = dict.fromkeys(centres, context.platform.address)
    context.settings = make_peer_settings(platforms, centres)
    for cfg in context.settings.values():
        context.operators.append(start_operator_daemon(context, cfg))


@when("another daemon starts")
def step_another(context: Context) -> None:
    cfg = make_settings("vm-2", "dc-a", context.platform.address)
    context.operators.append(start_operator_daemon(context, cfg))


@when("daemon {number:d} is killed and starts again")
def step_restart(context: Context, number: int) -> None:
    vm = f"vm-{number}"
    context.daemons[vm].kill()
    start_operator_daemon(context, context.settings[vm])


@when("daemon {number:d} is paused")
def step_pause(context: Context, number: int) -> None:
    context.daemons[f"vm-{number}"].pause()


@then('the versions shown on daemon {number:d} are "{wanted}"')
def step_versions(context: Context, number: int, wanted: str) -> None:
    reply = send(context.operators[number - 1], "show config --where").json()
    rows = reply["results"][0]["table"]["rows"]
    found = ", ".join(f"{r['vm']} {r['version']} {r['state']}" for r in rows)
    assert found == wanted, found


@when('ana repeats a submission in "{dc}" on daemon {number:d} until a decider answers')
def step_submit(context: Context, dc: str, number: int) -> None:
    text = f"submit job for desks in {dc} members 1 accelerators 8 lasting 1h"

    def is_decided() -> bool:
        step_send(context, "ana", f"{text} because 'test'", number)
        return context.reply["error"]["code"] != "not_decider"

    wait_until(is_decided, "a decider answering")


def set_fault(context: Context, **fault: Any) -> None:
    """Set the fault mode of the platform."""
    assert call("POST", context.platform.address, "/faults", json=fault).status == 200


@given("the platform loses the answer to the next write")
def step_lose_response(context: Context) -> None:
    set_fault(context, mode="lose_answers", count=1)


@given("the platform loses the next write")
def step_lose_request(context: Context) -> None:
    set_fault(context, mode="lose_requests", count=1)


@given("the platform is {mode:w} and daemon 1 has detected it")
def step_down(context: Context, mode: str) -> None:
    set_fault(context, mode=mode)
    probe = "remove organisation unknown because 'probe'".replace("'", '"')

    def has_detected() -> bool:
        reply = send(context.operators[0], probe).json()
        return reply["error"]["code"] == "platform_unavailable"

    wait_until(has_detected, "the daemon detecting the outage")


@given("the platform is up again")
def step_up(context: Context) -> None:
    set_fault(context, mode="up")


@when('{author} sends "{text}" to daemon {number:d}')
def step_send(context: Context, author: str, text: str, number: int) -> None:
    step_send_as(context, author, text, number, "")


@when('{author} sends "{text}" to daemon {number:d} as "{command_id}"')
def step_send_as(
    context: Context, author: str, text: str, number: int, command_id: str
) -> None:
    address = context.operators[number - 1]
    text = text.replace("'", '"')
    context.response = send(address, text, OPERATORS[author], command_id)
    context.reply = context.response.json()


@when('ana repeats "{text}" on daemon {number:d} until it succeeds')
def step_repeat(context: Context, text: str, number: int) -> None:
    def is_done() -> bool:
        step_send(context, "ana", text, number)
        return context.response.status == 200

    wait_until(is_done, "the change being accepted again")


@when("ana makes {count:d} changes on daemon {number:d}")
def step_many(context: Context, count: int, number: int) -> None:
    for index in range(count):
        text = f'set organisation "org {index % 9}" share {index + 1} because "test"'
        response = send(context.operators[number - 1], text)
        assert response.status == 200, response.data


@then("the statement succeeds")
def step_succeeds(context: Context) -> None:
    assert context.response.status == 200, context.reply
    assert context.reply["error"] is None, context.reply


@then('the statement is refused with "{code}"')
def step_refused(context: Context, code: str) -> None:
    assert context.response.status >= 400
    assert context.reply["error"]["code"] == code, context.reply


@then("daemon {number:d} applies version {version:d}")
def step_version(context: Context, number: int, version: int) -> None:
    address = context.operators[number - 1]
    wait_until(lambda: read_version(address) >= version, f"version {version}")
    assert read_version(address) == version, read_version(address)


@then('"{text}" on daemon {number:d} shows "{value}"')
def step_shows(context: Context, text: str, number: int, value: str) -> None:
    reply = send(context.operators[number - 1], text).json()
    rows = reply["results"][0]["table"]["rows"]
    assert any(value in row.values() for row in rows), reply


def read_history(context: Context, number: int) -> list[dict[str, Any]]:
    """Return the rows of the history on a daemon."""
    reply = send(context.operators[number - 1], "history").json()
    return reply["results"][0]["table"]["rows"]


@then("the history on daemon {number:d} has {count:d} change")
def step_history(context: Context, number: int, count: int) -> None:
    rows = read_history(context, number)
    assert len(rows) == count, rows


@then("the table has no log row of version 1")
def step_no_row(context: Context) -> None:
    path = "/table/rows?prefix=config/log/"
    rows = call("GET", context.platform.address, path).json()["rows"]
    assert rows
    assert all(int(row["key"].rpartition("/")[2]) > 1 for row in rows)


@then("both daemons show the same organisations")
def step_same(context: Context) -> None:
    shown = [send(a, "show organisations").json() for a in context.operators]
    tables = [reply["results"][0]["table"] for reply in shown]
    assert tables[0]["rows"]
    assert tables[0] == tables[1]


@when("ana and rui set the same organisation on both daemons until one is refused")
def step_race(context: Context) -> None:
    context.applied = []

    def is_one_refused() -> bool:
        for index, token in enumerate(("operator-token", "second-token")):
            share = len(context.applied) + 1
            text = f'set organisation desks share {share} because "race"'
            reply = send(context.operators[index], text, token).json()
            if reply["error"] is not None:
                context.reply = reply
                return True
            row = reply["results"][0]["table"]["rows"][0]
            context.applied.append((row["version"], share))
        return False

    wait_until(is_one_refused, "the refusal of one change")


@then('the refusal has the code "{code}" and names the author and the change')
def step_race_refused(context: Context, code: str) -> None:
    error = context.reply["error"]
    assert error["code"] == code, error
    share = float(context.applied[-1][1])
    assert f"did: set organisation desks share {share}" in error["message"], error
    author = "ana" if len(context.applied) % 2 else "rui"
    assert f"{author} did" in error["message"], error


@then("every change that was reported as applied appears once in the history")
def step_once(context: Context) -> None:
    rows = read_history(context, 1)
    found = sorted((row["version"], row["change"]) for row in rows)
    wanted = [
        (version, f"set organisation desks share {float(share)} quota none")
        for version, share in context.applied
    ]
    assert found == wanted, (found, wanted)


@when("a caller asks daemon {number:d} for a service that does not exist")
def step_caller(context: Context, number: int) -> None:
    address = context.daemons[f"vm-{number}"].address
    headers = {"Authorization": "Bearer desk-token", "Geraniumwell-Class": "quote"}

    def is_refused() -> bool:
        response = call("POST", address, "/v1/requests/none", headers=headers)
        return response.headers.get("Geraniumwell-Code") == "service_unknown"

    wait_until(is_refused, "the refusal of a service that does not exist")


@then("the metrics require a token too")
def step_metrics(context: Context) -> None:
    address = context.operators[0]
    assert call("GET", address, "/metrics").status == 401
    headers = {"Authorization": "Bearer operator-token"}
    response = call("GET", address, "/metrics", headers=headers)
    assert response.status == 200
    assert b"# TYPE" in response.data
