"""Helpers that send statements to daemons, by HTTP and by the command line."""

import os
import subprocess
import sys
from typing import Any

from tests.support.processes import ROOT, call, start_daemon

TOKENS = [
    {"token": "operator-token", "author": "ana"},
    {"token": "second-token", "author": "rui"},
]


def send(
    address: str, text: str, token: str = "operator-token", command_id: str = ""
) -> Any:
    """Send statements and return the HTTP response."""
    headers = {"Authorization": f"Bearer {token}"}
    if command_id:
        headers["Geraniumwell-Command-Id"] = command_id
    return call("POST", address, "/v1/statements", headers=headers, body=text)


def read_version(address: str) -> int:
    """Return the version of the configuration that a daemon uses."""
    return send(address, "show config").json()["results"][0]["table"]["rows"][0][
        "version"
    ]


def run_cli(*args: str, token: str = "operator-token") -> Any:
    """Run the command line until it exits and return the completed process."""
    return subprocess.run(
        [sys.executable, "-m", "geraniumwell", *args],
        cwd=ROOT,
        env=os.environ | {"GERANIUMWELL_TOKEN": token},
        capture_output=True,
        text=True,
        timeout=120,
        check=False,
    )


def start_operator_daemon(context: Any, settings: dict[str, Any]) -> str:
    """Start a daemon with the tokens of two operators; return its operator address."""
    process = start_daemon(settings | {"operator_tokens": TOKENS})
    context.processes.append(process)
    context.daemons[settings["vm"]] = process
    return settings["listen"]["operators"]
