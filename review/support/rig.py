"""Starts a small deployment on loopback addresses and writes what happened.

The daemons are started with the command of ``deploy/system.toml`` and the settings of
its template; the store is the project's stand-in, the runners are those of
``review/support/runner.py``.
"""

import json
import os
import subprocess
import sys
import tempfile
import time
from base64 import b64encode
from collections.abc import Callable
from http.client import HTTPConnection, HTTPException
from pathlib import Path
from shutil import rmtree
from signal import SIGKILL
from socket import AF_INET, SO_REUSEADDR, SOCK_STREAM, SOL_SOCKET, socket
from typing import Any, Self

ROOT = Path(__file__).resolve().parents[2]
HELD, BROKEN, NOT_RUN = 0, 1, 2
HOST, KEY = "desk.example", "key-of-desks"
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
START_SECONDS = 30.0
ROUTE = {
    "Name": "desk",
    "Host": HOST,
    "PathPrefix": "/desk/",
    "RouteKind": "unsafe",
    "TimeoutMs": 3000,
    "TargetLatencyMs": 1000,
    "Priority": 1,
    "Service": "pool",
    "MaxAttempts": 2,
    "Stretch": 3.0,
}


class CaseNotRunError(Exception):
    """The case could not run; it shows nothing."""


def call(
    address: str,
    method: str,
    path: str,
    body: str | None = None,
    headers: dict[str, str] | None = None,
    seconds: float = 3.0,
) -> tuple[int, bytes]:
    """Make one HTTP call; status 0 means that no complete answer came."""
    host, _, port = address.rpartition(":")
    conn = HTTPConnection(host, int(port), timeout=seconds)
    try:
        conn.request(method, path, body, headers or {})
        resp = conn.getresponse()
        return resp.status, resp.read()
    except (OSError, HTTPException):
        return 0, b""
    finally:
        conn.close()


class Rig:
    """Store, daemons and runners of one case; a context manager that ends them."""

    def __init__(self, case: Path) -> None:
        self.case = case
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.begin = time.monotonic()
        self.lines: list[tuple[float, str]] = []
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.settings: dict[str, dict[str, Any]] = {}
        self.runners: dict[str, dict[str, Any]] = {}
        self.ports: list[socket] = []
        self.version = 0
        self.route: dict[str, Any] = {}
        self.store = f"127.0.0.1:{self.find_port()}"

    def __enter__(self) -> Self:
        return self

    def __exit__(self, *_: object) -> None:
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(SIGKILL)
                process.wait()
        for sock in self.ports:
            sock.close()
        if os.environ.get("KEEP"):
            print(f"kept: {self.folder}")
        else:
            rmtree(self.folder, ignore_errors=True)

    def find_port(self) -> int:
        """Return a free port, which stays reserved for the case."""
        sock = socket(AF_INET, SOCK_STREAM)
        sock.setsockopt(SOL_SOCKET, SO_REUSEADDR, 1)
        sock.bind(("127.0.0.1", 0))
        self.ports.append(sock)
        return sock.getsockname()[1]

    def note(self, text: str, at: float | None = None) -> None:
        """Write a line of the record."""
        moment = time.monotonic() if at is None else at
        self.lines.append((moment - self.begin, text))

    def start(self, name: str, args: list[str]) -> None:
        """Start a Python process of the case."""
        env = {key: os.environ[key] for key in ("PATH", "HOME") if key in os.environ}
        env["PYTHONPATH"] = f"{ROOT / 'target' / 'deps'}:{ROOT}"
        with open(self.folder / f"{name}.log", "a") as log:
            self.processes[name] = subprocess.Popen(
                [sys.executable, *args], cwd=ROOT, env=env, stdout=log, stderr=log
            )

    def kill(self, name: str) -> None:
        """Kill a process at once, as by SIGKILL or loss of power."""
        self.note(f"SIGKILL of {name}")
        self.processes[name].send_signal(SIGKILL)
        self.processes[name].wait()

    def wait(
        self, what: str, condition: Callable[[], Any], seconds: float = START_SECONDS
    ) -> None:
        """Wait for a condition; the case can't run without it."""
        limit = time.monotonic() + seconds
        while not condition():
            if time.monotonic() > limit:
                raise CaseNotRunError(f"{what}: not within {seconds} s")
            time.sleep(0.02)

    def start_store(self) -> None:
        """Start the project's stand-in of the store."""
        port = self.store.rpartition(":")[2]
        self.start("store", ["-m", "stand_ins.table_store", port, "1"])
        self.wait("store", lambda: call(self.store, "GET", "/rows-get?Table=op")[0])

    def set_store_fault(self, **fault: Any) -> None:
        """Change how the stand-in of the store behaves."""
        self.note(f"store: {json.dumps(fault)}")
        call(self.store, "POST", "/faults", json.dumps(fault))

    def put(self, table: str, key: str, value: bytes) -> None:
        """Write a row as the operator or another writer."""
        row = {"Table": table, "Key": key, "Value": b64encode(value).decode()}
        status, _ = call(self.store, "POST", "/rows-tx", json.dumps({"Writes": [row]}))
        if status != 200:
            raise CaseNotRunError(f"the store refused {table}/{key}: {status}")

    def write_manifest(self) -> None:
        """Write the next version of the manifest."""
        self.version += 1
        tenant = {"Name": "desks", "ApiKeys": [KEY], "Guaranteed": {"Gpu": 0}}
        manifest = {
            "Version": self.version,
            "Routes": [ROUTE | self.route],
            "Services": [{"Name": "pool", "EnforcesCapacity": False}],
            "Limits": {"MaxBodyBytes": 262_144},
            "Tenants": [tenant],
        }
        self.put("op", "config", json.dumps(manifest).encode())
        self.note(f"manifest {self.version} acknowledged")

    def start_daemon(self, name: str) -> None:
        """Start a daemon, or start it again with its settings."""
        kinds = ("callers", "readiness", "metrics", "relay")
        if name not in self.settings:
            self.settings[name] = {
                "vm": name,
                "data_centre": "zone-1",
                "store": self.store,
                "lease_limit_ms": 10_000,
                "result_seconds": 120,
                "far_factor": 3,
                "processor_share": 0.537,
                "core_speed": 2,
                "descriptors": 4100,
                **{kind: f"127.0.0.1:{self.find_port()}" for kind in kinds},
            }
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(self.settings[name]))
        self.note(f"start of {name}")
        self.start(name, ["-m", "geraniumwell", "serve-platform", str(path)])

    def start_runner(self, name: str, **args: Any) -> None:
        """Start a runner, or its next life at the same address."""
        known = self.runners.setdefault(
            name,
            {
                "port": self.find_port(),
                "store": self.store,
                "id": name,
                "record": str(self.folder / "runners.jsonl"),
            },
        )
        known |= args
        self.start(name, ["-m", "review.support.runner", json.dumps(known)])

    def set_mode(self, name: str, mode: str) -> None:
        """Change how a runner behaves."""
        self.note(f"{name}: {mode}")
        address = f"127.0.0.1:{self.runners[name]['port']}"
        call(address, "POST", "/faults", json.dumps({"mode": mode}))

    def start_all(self, daemons: int, runners: int, **args: Any) -> None:
        """Start everything, and wait until a daemon schedules."""
        self.start_store()
        self.write_manifest()
        for number in range(1, runners + 1):
            self.start_runner(f"runner-{number}", **args)
        for number in range(1, daemons + 1):
            self.start_daemon(f"daemon-{number}")
        for name in list(self.settings):
            self.wait(f"readiness of {name}", lambda name=name: self.is_ready(name))
        self.wait("a leader", self.find_leader)
        time.sleep(2.0)

    def is_ready(self, name: str) -> bool:
        """Return whether a daemon is ready for clients."""
        return call(self.settings[name]["readiness"], "GET", "/ready")[0] == 200

    def find_leader(self) -> str:
        """Return the daemon that schedules, by its own metric."""
        for name, settings in self.settings.items():
            if self.processes[name].poll() is not None:
                continue
            _, data = call(settings["metrics"], "GET", "/metrics")
            if b"geraniumwell_batch_is_scheduling 1.0" in data:
                return name
        return ""

    def ask(
        self,
        name: str,
        method: str,
        job: str = "",
        body: dict[str, Any] | None = None,
        prefix: str = "/desk/",
        seconds: float = 3.0,
    ) -> tuple[int, dict[str, Any]]:
        """Send a client's call to a daemon and record it with its answer."""
        headers = {
            "Host": HOST,
            "Api-Key": KEY,
            "Content-Type": "application/json",
            "X-Geraniumwell-Deadline-Ms": str(int(seconds * 1_000)),
        }
        text = None if body is None else json.dumps(body)
        sent_at = time.monotonic()
        status, data = call(
            self.settings[name]["callers"],
            method,
            prefix + job,
            text,
            headers,
            seconds,
        )
        detail = "" if text is None else f" {text[:160]}"
        self.note(f"client: {method} {prefix}{job} to {name}{detail}", sent_at)
        shown = data.decode(errors="replace")[:120] if status else "no answer"
        self.note(f"client: {method} {prefix}{job} from {name}: {status} {shown}")
        return status, json.loads(data) if status == 200 and data else {}

    def submit(
        self, name: str, job: str, work: dict[str, Any], *steps: dict[str, Any]
    ) -> int:
        """Submit a job; return the status."""
        body = {"Spec": json.dumps(work), "Steps": list(steps)}
        return self.ask(name, "POST", job, body)[0]

    def read_runs(self) -> list[dict[str, Any]]:
        """Return what the runners have recorded, in order of time."""
        path = self.folder / "runners.jsonl"
        if not path.exists():
            return []
        rows = [json.loads(line) for line in path.read_text().splitlines()]
        return sorted(rows, key=lambda row: row["at"])

    def count_runs(self, what: str) -> int:
        """Return how many lines of one kind the runners have recorded."""
        return sum(row["what"] == what for row in self.read_runs())

    def write_record(self, findings: list[str]) -> None:
        """Write ``record.txt`` beside the case."""
        rows = [
            (
                row["at"] - self.begin,
                f"{row['runner']}: {row['what']} {row['task']} run {row['run']}"
                f" {row['detail']} fence {row['fence']}",
            )
            for row in self.read_runs()
        ]
        lines = [f"{at:9.3f} {text}" for at, text in sorted(self.lines + rows)]
        head = [f"disruption: {'yes' if HAS_TROUBLE else 'no (TROUBLE=0)'}"]
        (self.case / "record.txt").write_text("\n".join([*findings, *head, *lines, ""]))


def run_case(case: Path, play: Callable[[Rig], list[str]]) -> None:
    """Play a case and exit with its status.

    Parameters
    ----------
    play : callable
        Returns what broke the rule, one line each; empty if the rule held.
    """
    with Rig(case) as rig:
        try:
            broken = play(rig)
        except CaseNotRunError as exc:
            rig.write_record([f"NOT RUN: {exc}"])
            print(f"the case could not run: {exc}")
            sys.exit(NOT_RUN)
        result = "BROKEN" if broken else "HELD"
        rig.write_record([f"{result}: {len(broken)} findings", *broken[:20]])
        print("\n".join([result, *broken[:5]]))
    sys.exit(BROKEN if broken else HELD)
