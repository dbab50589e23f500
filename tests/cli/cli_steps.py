"""Steps for the command line, run as real processes."""

import json
from pathlib import Path
from shlex import split
from tempfile import NamedTemporaryFile

from behave import given, then, when
from behave.runner import Context

from tests.support.operators import run_cli, start_operator_daemon
from tests.support.processes import ROOT, make_settings, start_stand_in

TLS_FOLDER = ROOT / "tests" / "support" / "tls"


def run_with_file(context: Context, content: str, *args: str) -> None:
    """Run the command line with a temporary file as its last argument."""
    with NamedTemporaryFile("w", suffix=".txt", delete=False) as file:
        file.write(content)
    context.completed = run_cli(*args, file.name)
    Path(file.name).unlink()


def find_server(context: Context) -> list[str]:
    """Return the arguments that name the daemon of the scenario."""
    operators = getattr(context, "operators", None)
    return ["--server", operators[0]] if operators else []


@when("the settings are checked with {key} set to {value}")
def step_check(context: Context, key: str, value: str) -> None:
    settings = make_settings("vm-1", "dc-a", "127.0.0.1:1")
    settings[key] = json.loads(value)
    run_with_file(context, json.dumps(settings), "check")


@when("the command line runs {arguments}")
def step_run(context: Context, arguments: str) -> None:
    args = split(arguments)
    server = [] if "--server" in args or "--help" in args else find_server(context)
    context.completed = run_cli(*args, *server)


@when('the command line asks with an unknown token "{text}"')
def step_stranger(context: Context, text: str) -> None:
    context.completed = run_cli("ask", text, *find_server(context), token="none")


@when("a command file is run with")
def step_file(context: Context) -> None:
    run_with_file(context, context.text, "do", *find_server(context), "--file")


@given("a platform and a daemon with certificates")
def step_tls(context: Context) -> None:
    context.platform = start_stand_in("platform")
    context.processes.append(context.platform)
    context.daemons = {}
    settings = make_settings("vm-1", "dc-a", context.platform.address)
    settings["tls"] = {
        "certificate": str(TLS_FOLDER / "certificate.pem"),
        "private_key": str(TLS_FOLDER / "key.pem"),
        "authority": str(TLS_FOLDER / "certificate.pem"),
    }
    context.operators = [start_operator_daemon(context, settings)]


@when('the command line asks "{text}" with the authority')
def step_ask_tls(context: Context, text: str) -> None:
    authority = str(TLS_FOLDER / "certificate.pem")
    args = ["ask", text, "--authority", authority, *find_server(context)]
    context.completed = run_cli(*args)


@then('the command line ends with status {status:d} and says "{message}"')
def step_status(context: Context, status: int, message: str) -> None:
    assert context.completed.returncode == status, context.completed
    step_says(context, message)


@then('it says "{message}"')
def step_says(context: Context, message: str) -> None:
    assert message in context.completed.stderr, context.completed.stderr
    assert "Traceback" not in context.completed.stderr, context.completed.stderr


@then('the output shows "{text}"')
def step_output_shows(context: Context, text: str) -> None:
    assert context.completed.returncode == 0, context.completed
    assert text in context.completed.stdout, context.completed.stdout


@then("the output is")
def step_output(context: Context) -> None:
    assert context.completed.stdout.strip() == context.text.strip(), context.completed


@then('the output is JSON with the organisation "{name}"')
def step_json(context: Context, name: str) -> None:
    table = json.loads(context.completed.stdout)["results"][0]["table"]
    assert [row["name"] for row in table["rows"]] == [name]
