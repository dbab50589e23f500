"""Driver of a case: daemons by the deploy file, stand-ins, record and verdict."""

import json
import os
import re
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Callable
from pathlib import Path
from random import randrange
from shutil import rmtree
from signal import SIGTERM, signal
from socket import socket
from typing import Any

from review.support_2.store import Store
from review.support_2.web import call

ROOT = Path(__file__).resolve().parents[2]
TEMPLATE_FIELD = re.compile(r"\{\{([^}|]+)(\|json)?\}\}")
HELD, BROKEN, NOT_RUN = 0, 1, 2
HOST = "desk.example"
FIRST_PORT, LAST_PORT = 16_000, 32_000
BOUNDS = {"MaxHoldMs": 10000, "status_s": 120, "FarX": 3}
LIMITS = {"CpuShare": 0.537, "Cores": 2, "MemoryMb": 300, "MaxFds": 4100}


class CaseError(Exception):
    """The case could not run."""


def is_troubled() -> bool:
    """Return whether the disruption is to be played."""
    return os.environ.get("TROUBLE", "1") != "0"


def wait_until(condition: Callable[[], Any], what: str, seconds: float) -> None:
    """Wait until a condition holds; the case can't run without it."""
    until = time.monotonic() + seconds
    while not condition():
        if time.monotonic() > until:
            raise CaseError(f"{what}: not within {seconds} s")
        time.sleep(0.05)


def find_ports(count: int) -> list[int]:
    """Return free ports of the loopback address.

    They are below the range from which the system takes ports for outgoing connections,
    which could otherwise occupy them before a daemon does.
    """
    found: list[int] = []
    while len(found) < count:
        port = randrange(FIRST_PORT, LAST_PORT)
        with socket() as sock:
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in found:
            found.append(port)
    return found


def render(template: str, fields: dict[str, Any]) -> str:
    """Fill a settings template as DEPLOY.md describes it, without sections."""

    def replace(match: re.Match[str]) -> str:
        value: Any = fields
        for name in match[1].split("."):
            value = value[int(name)] if name.isdigit() else value[name]
        return json.dumps(value) if match[2] else str(value)

    return TEMPLATE_FIELD.sub(replace, template)


class Deployment:
    """Processes of a small deployment on the loopback address."""

    def __init__(self, record: Path) -> None:
        self.record_path = record
        record.write_text("")
        self.folder = Path(tempfile.mkdtemp(prefix="geraniumwell-review-"))
        self.events_path = self.folder / "events.jsonl"
        self.events_path.write_text("")
        self.begin = time.monotonic()
        self.store = Store()
        self.daemons: dict[str, subprocess.Popen[bytes]] = {}
        self.addresses: dict[str, dict[str, str]] = {}
        self.commands: dict[str, list[str]] = {}
        self.runners: dict[str, subprocess.Popen[bytes]] = {}

    def note(self, text: str) -> None:
        """Write a line of the record."""
        line = f"{time.monotonic() - self.begin:8.3f} {text}"
        with self.record_path.open("a") as out:
            out.write(line + "\n")
        print(line, flush=True)

    def start_runners(self, count: int, leave_s: float = 3.0) -> None:
        """Start runners of the service ``pool``, 8 a rack."""
        bounds = json.dumps({"MaxHoldMs": BOUNDS["MaxHoldMs"], "leave_s": leave_s})
        for number in range(count):
            name = f"i-{number:08x}"
            args = [self.store.address, name, "pool", f"r1-{number // 8}"]
            args += [str(self.events_path), bounds]
            self.runners[name] = subprocess.Popen(
                [sys.executable, "-m", "review.support_2.runner", *args], cwd=ROOT
            )

    def start_daemons(self, count: int, **bounds: Any) -> None:
        """Start daemons with the command and the template of the deploy file."""
        cfg = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        role = next(iter(cfg["roles"].values()))
        template = (ROOT / role["template"]).read_text()
        for number in range(1, count + 1):
            name = f"front-zone-a-{number}"
            self.commands[name] = role["run"].split()
            ports = find_ports(4)
            fields = {
                "Node": name,
                "Zone": "zone-a",
                "Ip": "127.0.0.1",
                "Listen": {
                    "Front": f"127.0.0.1:{ports[0]}",
                    "Ready": f"127.0.0.1:{ports[1]}",
                },
                "PortRange": ports[2:],
                "platform": {"Address": self.store.address},
                "Bounds": {**BOUNDS, **bounds},
                "Limits": LIMITS,
            }
            path = self.folder / f"{name}.conf"
            path.write_text(render(template, fields))
            self.addresses[name] = fields["Listen"]
            self.start_daemon(name)
        for name in self.daemons:
            wait_until(lambda name=name: self.is_ready(name), f"{name} is ready", 30)

    def start_daemon(self, name: str) -> None:
        """Start a daemon, or start it again after its end."""
        path = self.folder / f"{name}.conf"
        command = self.commands[name]
        command[0], command[-1] = sys.executable, str(path)
        env = {k: v for k, v in os.environ.items() if k in ("PATH", "HOME", "LANG")}
        env["PYTHONPATH"] = str(ROOT / "target/deps")
        env["GERANIUMWELL_BOOT"] = str(path)
        with (self.folder / f"{name}.log").open("ab") as log:
            self.daemons[name] = subprocess.Popen(
                command, cwd=ROOT, env=env, stdout=log, stderr=log
            )

    def is_ready(self, name: str) -> bool:
        """Return whether a daemon reports that it is ready."""
        return call("GET", self.addresses[name]["Ready"], "/ready")[0] == 200

    def write_manifest(self, tenants: dict[str, int]) -> None:
        """Write a manifest with an urgent and an ordinary queue.

        Parameters
        ----------
        tenants : dict
            Guaranteed accelerators by tenant; each key is ``key-NAME``.
        """
        queues = {"urgent": 0, "plain": 1}
        routes = [
            {
                "Name": name,
                "Host": HOST,
                "PathPrefix": f"/{name}/",
                "TimeoutMs": 3000,
                "TargetLatencyMs": 1000,
                "Priority": priority,
                "Service": "pool",
                "MaxAttempts": 4,
                "Stretch": 3.0,
            }
            for name, priority in queues.items()
        ]
        manifest = {
            "Version": 3,
            "Routes": routes,
            "Services": [{"Name": "pool", "EnforcesCapacity": False}],
            "Limits": {"MaxBodyBytes": 262144},
            "Tenants": [
                {"Name": n, "ApiKeys": [f"key-{n}"], "Guaranteed": {"Gpu": gpu}}
                for n, gpu in tenants.items()
            ],
        }
        self.store.put("op", "config", manifest)

    def ask(self, method: str, path: str, tenant: str, body: Any = None) -> Any:
        """Send a client's call; repeat it at another daemon if it is refused."""
        headers = {"Host": HOST, "Api-Key": f"key-{tenant}"}
        status, answer = 0, None
        for name in self.daemons:
            front = self.addresses[name]["Front"]
            status, answer = call(method, front, path, body, headers)
            self.note(f"client {method} {path} -> {status} {answer}")
            if status and status not in (429, 503, 504):
                break
        return status, answer

    def submit(self, queue: str, job: str, tenant: str, spec: str, **step: Any) -> None:
        """Hand in a job of one step, which has to be accepted."""
        body = {"Spec": spec, "Steps": [{"Cpu": 1000, "MemMb": 1024, **step}]}
        if self.ask("POST", f"/{queue}/{job}", tenant, body)[0] != 200:
            raise CaseError(f"job {job} was not accepted")

    def read_state(self, queue: str, job: str, tenant: str) -> str:
        """Return the state of a job, or the status of another answer."""
        status, answer = self.ask("GET", f"/{queue}/{job}", tenant)
        return answer["State"] if status == 200 else str(status)

    def events(self, *kinds: str, job: str = "") -> list[dict[str, Any]]:
        """Return the events of the runners, in the order of time."""
        text = self.events_path.read_text()
        found = [json.loads(ln) for ln in text.splitlines() if ln.endswith("}")]
        found = [e for e in found if not kinds or e["what"] in kinds]
        return sorted(
            (e for e in found if e["task"].startswith(job)), key=lambda e: e["at"]
        )

    def list_logs(self, event: str) -> str:
        """Return the daemons' log lines of an event."""
        lines = [
            ln
            for name in self.daemons
            for ln in (self.folder / f"{name}.log").read_text().splitlines()
            if f'"event":"{event}"' in ln
        ]
        return "\n".join(lines)

    def close(self) -> None:
        """End all processes, and copy the runners' events to the record."""
        for process in (*self.daemons.values(), *self.runners.values()):
            if process.poll() is None:
                process.kill()
            process.wait()
        with self.record_path.open("a") as out:
            out.write("events of the runners\n")
            for e in self.events():
                at = e.pop("at") - self.begin
                out.write(f"{at:8.3f} {json.dumps(e)}\n")
        if os.environ.get("KEEP") != "1":
            rmtree(self.folder, ignore_errors=True)


def run_case(folder: Path, play: Callable[[Deployment], int]) -> None:
    """Play a case and exit with its verdict."""
    # A script that takes too long also ends what it started.
    signal(SIGTERM, lambda *_: sys.exit(NOT_RUN))
    deployment = Deployment(folder / "record.txt")
    verdict = NOT_RUN
    try:
        verdict = play(deployment)
    except CaseError as exc:
        deployment.note(f"the case could not run: {exc}")
    finally:
        deployment.close()
    with deployment.record_path.open("a") as out:
        out.write(f"verdict {verdict}, TROUBLE={int(is_troubled())}\n")
    sys.exit(verdict)
