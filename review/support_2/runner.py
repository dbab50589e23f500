"""Stand-in of a runner, as "Running subtasks" of PROTOCOL.md describes it.

Arguments: store, id, service, rack, file for events, and bounds as JSON. The ``Spec``
of a task says what it does: ``last`` works until it is stopped, a number of seconds
ends ``done`` after that time. SIGTERM is a planned shutdown: the runner reports
``draining``, stays for the time that the bounds give and leaves.
"""

import json
import os
import sys
import time
from dataclasses import dataclass
from signal import SIGTERM, signal
from threading import Condition, Thread
from typing import Any

from review.support_2.web import Answer, Server, call

ENDS_PER_ANSWER = 500
HEARTBEAT_SECONDS = 1.5
STOP_SECONDS = 0.1
CAPACITY = {"Cpu": 32000, "MemMb": 131072, "Gpu": 8}


@dataclass
class Run:
    """One run of a subtask."""

    task: str
    run: int
    started_at: float
    ends_at: float | None
    stop_at: float | None = None


class Runner:
    """Runs subtasks under a lease and keeps the ends until they are seen."""

    def __init__(self, args: list[str]) -> None:
        self.store, self.id, self.service, self.rack, self.events = args[:5]
        self.bounds = json.loads(args[5])
        self.changed = Condition()
        self.runs: dict[str, Run] = {}
        self.highest: dict[str, int] = {}
        self.ended: list[list[Any]] = []
        self.end_count = 0
        self.fence = 0
        self.deadline_ms = 0
        self.state = "ready"
        self.seq = 0
        self.leaves_at: float | None = None
        self.born = int(time.time() * 1000)
        self.born_at = time.monotonic()
        self.server = Server(self.handle)

    def run(self) -> None:
        """Serve until the process ends."""
        signal(SIGTERM, lambda *_: self.drain())
        self.record("born", "", 0, self.server.address)
        for target in (self.server.serve_forever, self.end_due_runs, self.beat):
            Thread(target=target, daemon=True).start()
        while self.leaves_at is None or time.monotonic() < self.leaves_at:
            time.sleep(0.02)
        for run in list(self.runs.values()):
            self.record("gone", run.task, run.run, "")
        call("POST", self.store, "/beat", {"Id": self.id, "Entry": None})
        os._exit(0)

    def drain(self) -> None:
        """Begin a planned shutdown."""
        self.leaves_at = time.monotonic() + self.bounds["leave_s"]
        self.state = "draining"
        self.record("draining", "", 0, "")

    def handle(self, method: str, path: str, body: bytes, headers: Any) -> Answer:
        """Answer one call."""
        if path == "/health":
            return (200 if self.state == "ready" else 503), {}
        if headers.get("X-Geraniumwell-Expect-Instance") not in (None, self.id):
            return 421, {}
        order = json.loads(body)
        with self.changed:
            if order.get("Fence", 0) < self.fence:
                return self.refuse("fence")
            self.fence = order.get("Fence", 0)
            match path:
                case "/run-start":
                    return self.start(order)
                case "/run-stop":
                    return self.stop(order)
                case "/hold":
                    return self.hold(order)
                case "/pace":
                    return 200, {"ClockMs": self.clock_ms()}
        return 404, {}

    def clock_ms(self) -> int:
        """Return the runner's steady clock."""
        return int((time.monotonic() - self.born_at) * 1000)

    def refuse(self, reason: str) -> Answer:
        """Return a refusal."""
        return 409, {"ClockMs": self.clock_ms(), "Reason": reason}

    def extend(self, order: dict[str, Any]) -> None:
        """Extend the lease; it never shortens."""
        longest = self.clock_ms() + self.bounds["MaxHoldMs"]
        wanted = min(order.get("DeadlineMs", 0), longest)
        self.deadline_ms = max(self.deadline_ms, wanted)

    def start(self, order: dict[str, Any]) -> Answer:
        """Start a run."""
        self.extend(order)
        task, number = order["Task"], order["Run"]
        if task in self.runs and self.runs[task].run == number:
            return 200, {"ClockMs": self.clock_ms()}
        if number <= self.highest.get(task, 0):
            return self.refuse("old")
        if order["DeadlineMs"] <= self.clock_ms():
            return self.refuse("late")
        now, spec = time.monotonic(), order["Spec"]
        ends_at = None if spec == "last" else now + float(spec)
        self.highest[task] = number
        self.runs[task] = Run(task, number, now, ends_at)
        self.record("start", task, number, "")
        self.changed.notify_all()
        return 200, {"ClockMs": self.clock_ms()}

    def stop(self, order: dict[str, Any]) -> Answer:
        """Stop a run, or prevent it from starting."""
        task, number = order["Task"], order["Run"]
        self.highest[task] = max(self.highest.get(task, 0), number)
        run = self.runs.get(task)
        if run is not None and run.run <= number and run.stop_at is None:
            run.stop_at = time.monotonic() + STOP_SECONDS
            self.changed.notify_all()
        return 200, {"ClockMs": self.clock_ms()}

    def hold(self, order: dict[str, Any]) -> Answer:
        """Extend the lease, forget seen ends and list runs and ends."""
        until = time.monotonic() + order.get("WaitMs", 0) / 1000
        self.extend(order)
        for row in self.ended:
            if row[0] <= order["LastSeen"]:
                self.record("noted", row[1], row[2], row[3])
        self.ended = [row for row in self.ended if row[0] > order["LastSeen"]]
        while not self.ended and time.monotonic() < until:
            self.changed.wait(until - time.monotonic())
        return 200, {
            "ClockMs": self.clock_ms(),
            "Running": [self.describe(run) for run in self.runs.values()],
            "Ended": self.ended[:ENDS_PER_ANSWER],
            "born": self.born,
        }

    def describe(self, run: Run) -> list[Any]:
        """Return the row of a run; a lasting one is at work after its startup."""
        age = time.monotonic() - run.started_at
        if run.ends_at is None:
            return [run.task, run.run, "", 100 if age > 0.3 else 0, 10]
        share = age / max(0.001, run.ends_at - run.started_at)
        return [run.task, run.run, "", min(99, int(share * 100)), 100]

    def record(self, what: str, task: str, run: int, detail: str) -> None:
        """Append an event."""
        line = {"at": time.monotonic(), "what": what, "task": task, "run": run}
        line |= {"detail": detail, "runner": self.id, "fence": self.fence}
        with open(self.events, "a") as out:
            out.write(json.dumps(line) + "\n")

    def end_due_runs(self) -> None:
        """End runs that are done or stopped, and all of them with the lease."""
        with self.changed:
            while True:
                now = time.monotonic()
                for run in list(self.runs.values()):
                    if self.clock_ms() >= self.deadline_ms:
                        self.end(run, "lapsed")
                    elif run.stop_at is not None and now >= run.stop_at:
                        self.end(run, "stopped")
                    elif run.ends_at is not None and now >= run.ends_at:
                        self.end(run, "done")
                self.changed.wait(0.02 if self.runs else None)

    def end(self, run: Run, how: str) -> None:
        """End a run."""
        del self.runs[run.task]
        self.end_count += 1
        self.ended.append([self.end_count, run.task, run.run, how, ""])
        self.record(how, run.task, run.run, "")
        self.changed.notify_all()

    def beat(self) -> None:
        """Write the entry about every heartbeat, and at once when it changes."""
        while True:
            self.seq += 1
            state = self.state
            entry = {
                "Service": self.service,
                "Address": self.server.address,
                "Zone": "zone-a",
                "Version": "1",
                "Slots": 8,
                "State": state,
                "ColdLeftMs": 0,
                "Seq": self.seq,
                "Capacity": CAPACITY,
                "Labels": ["a", self.rack],
                "born": self.born,
            }
            if self.leaves_at is not None:
                left = max(0.0, self.leaves_at - time.monotonic())
                entry["RemainingMs"] = int(left * 1000)
            call("POST", self.store, "/beat", {"Id": self.id, "Entry": entry})
            until = time.monotonic() + HEARTBEAT_SECONDS
            while time.monotonic() < until and self.state == state:
                time.sleep(0.02)


if __name__ == "__main__":
    Runner(sys.argv[1:]).run()
