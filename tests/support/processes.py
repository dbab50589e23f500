"""Real processes that tests start, pause and end."""

import json
import os
import subprocess
import sys
import tempfile
from pathlib import Path
from signal import SIGCONT, SIGKILL, SIGSTOP, SIGTERM
from socket import AF_INET, SO_REUSEADDR, SOCK_STREAM, SOL_SOCKET, socket
from time import monotonic, sleep
from typing import Any

from urllib3 import PoolManager, Retry, Timeout
from urllib3.exceptions import HTTPError

ROOT = Path(__file__).resolve().parent.parent.parent
WAIT_SECONDS = 60.0
POLL_SECONDS = 0.05
# Bound sockets that reserve the ports in use.
RESERVED: list[socket] = []
HTTP = PoolManager(
    maxsize=64, retries=Retry(total=False, redirect=False), timeout=Timeout(30.0)
)


def find_free_port() -> int:
    """Return a free port and reserve it.

    The socket stays bound without listening: a server that sets SO_REUSEADDR can
    still bind the port, but the system assigns it to no other process.
    """
    sock = socket(AF_INET, SOCK_STREAM)
    sock.setsockopt(SOL_SOCKET, SO_REUSEADDR, 1)
    sock.bind(("127.0.0.1", 0))
    RESERVED.append(sock)
    return sock.getsockname()[1]


def wait_until(condition: Any, what: str, seconds: float = WAIT_SECONDS) -> None:
    """Wait until a condition holds; fail after a time limit."""
    deadline = monotonic() + seconds
    while not condition():
        if monotonic() > deadline:
            raise AssertionError(f"{what} did not happen within {seconds} s")
        sleep(POLL_SECONDS)


def call(method: str, address: str, path: str, **kwargs: Any) -> Any:
    """Make one HTTP call and return the response."""
    return HTTP.request(method, f"http://{address}{path}", **kwargs)


class Process:
    """A Python child process that serves at an address.

    Without an address, the process has to print its port as the first line.
    """

    __slots__ = ("_popen", "address")

    def __init__(
        self, args: list[str], address: str = "", log: Path | None = None
    ) -> None:
        stdout = None if address else subprocess.PIPE
        with open(log or os.devnull, "a") as file:
            self._popen = subprocess.Popen(
                [sys.executable, *args],
                cwd=ROOT,
                stdout=file if log else stdout,
                text=True,
            )
        self.address = address or self._read_address()

    def _read_address(self) -> str:
        return f"127.0.0.1:{self.read_line()}"

    def read_line(self) -> str:
        """Return the next line that the process prints."""
        assert self._popen.stdout is not None
        return self._popen.stdout.readline().strip()

    @property
    def pid(self) -> int:
        """Process id."""
        return self._popen.pid

    @property
    def exit_status(self) -> int | None:
        """Exit status, or None while the process runs."""
        return self._popen.poll()

    def pause(self) -> None:
        """Suspend the process."""
        self._popen.send_signal(SIGSTOP)

    def resume(self) -> None:
        """Resume a suspended process."""
        self._popen.send_signal(SIGCONT)

    def kill(self) -> None:
        """Kill the process."""
        self._popen.send_signal(SIGKILL)
        self._popen.wait()

    def send(self, number: int) -> None:
        """Send a signal."""
        self._popen.send_signal(number)

    def terminate(self) -> None:
        """Ask the process to exit."""
        self._popen.send_signal(SIGTERM)

    def close(self) -> None:
        """Kill the process if it still runs, and release its output."""
        if self._popen.poll() is None:
            self.kill()
        if self._popen.stdout is not None:
            self._popen.stdout.close()


def start_stand_in(name: str) -> Process:
    """Start a stand-in on a port that the system chooses."""
    return Process(["-m", f"stand_ins.{name}"])


def start_daemon(settings: dict[str, Any]) -> Process:
    """Start an entry daemon and wait until it answers health checks."""
    with tempfile.NamedTemporaryFile("w", suffix=".json", delete=False) as file:
        json.dump(settings, file)
    address = settings["listen"]["callers"]
    process = Process(["-m", "geraniumwell", "serve", file.name], address)
    try:
        wait_until(
            lambda: is_healthy(process), f"a response of the daemon at {address}"
        )
    except AssertionError:
        process.close()
        raise
    finally:
        Path(file.name).unlink()
    return process


def is_healthy(process: Process) -> bool:
    """Return whether a daemon answers its health check; fail if it has exited."""
    if process.exit_status is not None:
        raise RuntimeError(f"the daemon exited with status {process.exit_status}")
    try:
        return call("GET", process.address, "/healthz").status == 200
    except HTTPError:
        return False


def make_settings(vm: str, data_centre: str, platform: str) -> dict[str, Any]:
    """Return settings of a daemon with free ports."""
    return {
        "vm": vm,
        "data_centre": data_centre,
        "region": "test",
        "listen": {
            kind: f"127.0.0.1:{find_free_port()}"
            for kind in ("callers", "operators", "peers")
        },
        "platform": platform,
        "caller_tokens": [{"token": "desk-token", "organisation": "desks"}],
        "operator_tokens": [{"token": "operator-token", "author": "ana"}],
    }
