"""Steps for the whole serving path with real processes."""

import json

from behave import given, then, when
from behave.runner import Context

from tests.support.processes import (
    call,
    make_settings,
    start_daemon,
    start_stand_in,
    wait_until,
)

HEADERS = {"Authorization": "Bearer desk-token", "Geraniumwell-Class": "quote"}


def write_configuration(platform: str, endpoint: str) -> None:
    """Write a first configuration with one service and one endpoint."""
    cfg = {
        "version": 1,
        "classes": {
            "quote": {
                "name": "quote",
                "rank": 0,
                "window_ms": 5000,
                "expected_ms": 100,
            }
        },
        "services": {
            "booking": {
                "name": "booking",
                "endpoints": [
                    {
                        "name": "runner-1",
                        "data_centre": "dc-a",
                        "address": endpoint,
                        "slots": 8,
                        "connections": 64,
                    }
                ],
            }
        },
    }
    puts = [{"key": "config/snapshot", "value": json.dumps(cfg)}]
    transaction = {"conditions": [], "puts": puts, "deletes": []}
    resp = call("POST", platform, "/table/transactions", json=transaction)
    assert resp.status == 200


@given("a platform, an endpoint and an entry daemon")
def step_start(context: Context) -> None:
    context.platform = start_stand_in("platform")
    context.processes.append(context.platform)
    context.endpoint = start_stand_in("endpoint")
    context.processes.append(context.endpoint)
    write_configuration(context.platform.address, context.endpoint.address)
    cfg = make_settings("vm-1", "dc-a", context.platform.address)
    context.daemon = start_daemon(cfg)
    context.processes.append(context.daemon)
    wait_until(lambda: submit(context, "ready", "x").status == 200, "readiness")


def submit(context: Context, request_id: str, body: str) -> object:
    """Send one request of a caller."""
    headers = HEADERS | {"Geraniumwell-Request-Id": request_id}
    path = "/v1/requests/booking"
    return call("POST", context.daemon.address, path, headers=headers, body=body)


@when('a caller sends the request "{request_id}" with the body "{body}"')
def step_submit(context: Context, request_id: str, body: str) -> None:
    context.answer = submit(context, request_id, body)


@then('the answer is "{outcome}" with the body "{body}"')
def step_answer(context: Context, outcome: str, body: str) -> None:
    assert context.answer.headers["Geraniumwell-Outcome"] == outcome
    assert context.answer.data == body.encode(), context.answer.data


@then('the endpoint ran "{request_id}" once')
def step_ran_once(context: Context, request_id: str) -> None:
    runs = call("GET", context.endpoint.address, "/executions").json()["runs"]
    assert runs[request_id] == 1, runs
