"""Run a demonstration on one machine, with stand-ins for all external services."""

import os
import subprocess
import sys

from tests.support.pair import make_peer_settings
from tests.support.processes import (
    Process,
    call,
    start_daemon,
    start_stand_in,
    wait_until,
)

SETUP = """
set organisation desks share 3 because "demo";
set organisation others because "demo";
set class quote rank 0 window 5s expected 50ms because "demo";
set class confirm rank 1 window 5s expected 50ms not idempotent because "demo";
set service booking
    endpoint runner-1 in dc-a at {endpoint_1} slots 8 connections 64,
    endpoint runner-2 in dc-a at {endpoint_2} slots 8 connections 64
    because "demo";
set worker w-1 in dc-a rack a-1 at {worker_1} accelerators 8 cores 32 memory 128
    because "demo";
set worker w-2 in dc-a rack a-1 at {worker_2} accelerators 8 cores 32 memory 128
    because "demo";
set guarantee rush for desks in dc-a members 1 accelerators 8 because "demo"
"""
JOB = """
submit job for desks in dc-a members 2 accelerators 4 same-rack lasting 5s
    stoppable because "demo"
"""


class Demo:
    """The processes of the demonstration."""

    __slots__ = ("_daemons", "_operators_address", "_processes")

    def __init__(self) -> None:
        self._processes: list[Process] = []
        self._daemons: list[Process] = []
        self._operators_address = ""

    def start(self) -> dict[str, str]:
        """Start all processes and return the addresses of the stand-ins."""
        platform = self._register(start_stand_in("platform"))
        names = ("endpoint_1", "endpoint_2", "worker_1", "worker_2")
        addresses = {
            name: self._register(start_stand_in(name.partition("_")[0])).address
            for name in names
        }
        for name in ("worker_1", "worker_2"):
            call("POST", addresses[name], "/work", json={"seconds": 3.0})
        data_centres = {"vm-1": "dc-a", "vm-2": "dc-a"}
        platforms = dict.fromkeys(data_centres, platform.address)
        settings = make_peer_settings(platforms, data_centres)
        self._operators_address = settings["vm-1"]["listen"]["operators"]
        for cfg in settings.values():
            self._daemons.append(self._register(start_daemon(cfg)))
        return addresses

    def run_statement(self, verb: str, text: str) -> str:
        """Run a statement on the command line; print it and its output."""
        print(f"$ geraniumwell {verb} '{' '.join(text.split())}'", flush=True)
        args = [sys.executable, "-m", "geraniumwell", verb, text]
        process = subprocess.run(
            [*args, "--server", self._operators_address],
            env=os.environ | {"GERANIUMWELL_TOKEN": "operator-token"},
            stdout=subprocess.PIPE,
            text=True,
            check=True,
        )
        print(process.stdout, flush=True)
        return process.stdout

    def wait_ready(self) -> None:
        """Wait until both daemons are ready."""
        for daemon in self._daemons:
            wait_until(
                lambda d=daemon: call("GET", d.address, "/readyz").status == 200,
                "readiness",
            )

    def serve(self) -> None:
        """Send a ticketed request through both daemons; it runs only once."""
        headers = {"Authorization": "Bearer desk-token"}
        first, second = self._daemons
        resp = call(
            "POST", first.address, "/v1/tickets", headers=headers, json={"count": 1}
        )
        ticket = resp.json()["tickets"][0]
        headers |= {
            "Geraniumwell-Class": "confirm",
            "Geraniumwell-Request-Id": ticket,
        }
        for daemon in (second, first):
            path = "/v1/requests/booking"
            resp = call("POST", daemon.address, path, headers=headers, body=b"2 passes")
            result_headers = {
                k: v for k, v in resp.headers.items() if k.startswith("Geranium")
            }
            print(
                f"POST {path}: {resp.status} {result_headers} {resp.data!r}", flush=True
            )

    def run_job(self) -> None:
        """Submit a gang job and wait until it has finished."""
        self.run_statement("do", JOB)
        self.run_statement("ask", "show jobs")
        wait_until(lambda: "finished" in self._query("show jobs"), "the job's end")
        self.run_statement("ask", "show jobs")

    def close(self) -> None:
        """End all processes."""
        for process in reversed(self._processes):
            process.close()

    def _query(self, text: str) -> str:
        args = [sys.executable, "-m", "geraniumwell", "ask", text]
        return subprocess.run(
            [*args, "--server", self._operators_address],
            env=os.environ | {"GERANIUMWELL_TOKEN": "operator-token"},
            stdout=subprocess.PIPE,
            text=True,
            check=True,
        ).stdout

    def _register(self, process: Process) -> Process:
        self._processes.append(process)
        return process


def main() -> None:
    """Run the demonstration."""
    demo = Demo()
    try:
        addresses = demo.start()
        demo.run_statement("do", SETUP.format(**addresses))
        demo.wait_ready()
        demo.run_statement("ask", "show config --where")
        demo.serve()
        demo.run_job()
    finally:
        demo.close()


if __name__ == "__main__":
    main()
