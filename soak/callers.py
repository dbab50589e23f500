"""Callers of the soak test: threads that submit, query and cancel jobs."""

import json
from queue import SimpleQueue
from random import Random
from threading import Event as Flag
from threading import Thread
from time import monotonic
from typing import Any

from urllib3 import PoolManager, Retry, Timeout
from urllib3.exceptions import HTTPError

from soak.events import Cancelled, Event, JobShape, KeySeen, StateSeen, Submitted
from tests.support.batch_processes import HEADERS, Installation

NO_RESPONSE = 0
SUBMIT_ATTEMPTS = 5
RETRY_DELAY_SECONDS = 0.5
CALL_TIMEOUT_SECONDS = 6.0
POLL_INTERVAL_SECONDS = 0.4
# A job that has not ended by then is left to the check at the end of the soak test,
# unless its result could be removed before.
POLL_TIMEOUT_SECONDS = 15.0
CANCEL_PROBABILITY = 0.15
# Share of the submissions of unknown outcome that are cancelled instead of repeated.
GIVE_UP_RATE = 0.5
# Statuses of a submission that may be stored later.
UNKNOWN_STATUSES = (NO_RESPONSE, 504)
MEAN_PAUSE_SECONDS = 0.6


class Caller:
    """Thread that submits jobs one after another over connections of its own.

    Parameters
    ----------
    events : SimpleQueue of Event
        Queue to which the caller reports all that it observes.
    poll_seconds : float
        Time after which it no longer asks for the state of a job.
    """

    __slots__ = (
        "_http",
        "_number",
        "_events",
        "_poll_seconds",
        "_random",
        "_installation",
        "_stop",
        "_thread",
    )

    def __init__(
        self,
        installation: Installation,
        number: int,
        seed: int,
        events: SimpleQueue[Event],
        poll_seconds: float = POLL_TIMEOUT_SECONDS,
    ) -> None:
        self._installation = installation
        self._poll_seconds = poll_seconds
        self._number = number
        self._random = Random(f"{seed} {number}")
        self._events = events
        self._stop = Flag()
        self._http = PoolManager(
            retries=Retry(total=False, redirect=False),
            timeout=Timeout(CALL_TIMEOUT_SECONDS),
        )
        self._thread = Thread(target=self._run, name=f"caller-{number}", daemon=True)

    def start(self) -> None:
        """Start submitting jobs."""
        self._thread.start()

    def stop(self) -> None:
        """Stop submitting jobs and wait for the last call."""
        self._stop.set()
        self._thread.join()

    def _run(self) -> None:
        job_number = 0
        while not self._stop.is_set():
            job_number += 1
            self._run_job(f"{self._number:04x}{job_number:012x}")
            self._stop.wait(self._random.expovariate(1 / MEAN_PAUSE_SECONDS))

    def _run_job(self, job: str) -> None:
        shape = JobShape(job, self._draw_steps())
        self._events.put(shape)
        if not self._submit(shape):
            self._cancel_unaccepted(job)
            return
        if self._random.random() < CANCEL_PROBABILITY:
            self._stop.wait(self._random.uniform(0.0, 1.5))
            self._cancel(job)
        deadline = monotonic() + self._poll_seconds
        while monotonic() < deadline and not self._stop.is_set():
            if self.query_state(job) in ("done", "failed", "cancelled"):
                return
            self._stop.wait(POLL_INTERVAL_SECONDS)

    def _draw_steps(self) -> tuple[tuple[int, int], ...]:
        steps = self._random.choice((1, 1, 2))
        return tuple(
            (self._random.randint(1, 4), self._random.choice((1, 1, 2, 4, 8)))
            for _ in range(steps)
        )

    def _submit(self, shape: JobShape) -> bool:
        steps = [
            {
                "Count": count,
                "Cpu": 1000,
                "MemMb": 1000,
                "Gpu": accelerators,
                "EstRuntimeMs": 500,
                **({"After": [number - 1]} if number else {}),
            }
            for number, (count, accelerators) in enumerate(shape.steps)
        ]
        body = json.dumps({"Spec": shape.job, "Steps": steps})
        for _ in range(SUBMIT_ATTEMPTS):
            status, _ = self._call("POST", shape.job, body=body)
            self._events.put(Submitted(shape, status))
            if status == 200:
                return True
            if status in UNKNOWN_STATUSES and self._random.random() < GIVE_UP_RATE:
                return False
            self._stop.wait(RETRY_DELAY_SECONDS)
        return False

    def _cancel_unaccepted(self, job: str) -> None:
        """Cancel a job that may be stored later, until a daemon acknowledges it."""
        for _ in range(SUBMIT_ATTEMPTS):
            if self._cancel(job) in (200, 410):
                return
            self._stop.wait(RETRY_DELAY_SECONDS)

    def _cancel(self, job: str) -> int:
        status, _ = self._call("DELETE", job)
        self._events.put(Cancelled(job, status, monotonic()))
        return status

    def query_state(self, job: str) -> str:
        """Query a job's state at a random daemon; return an empty string on failure."""
        asked_at = monotonic()
        status, data = self._call("GET", job)
        state = data.get("State", "")
        self._events.put(StateSeen(job, status, state, asked_at, monotonic()))
        return state

    def _call(self, method: str, job: str, **kwargs: Any) -> tuple[int, dict[str, Any]]:
        name = self._random.choice(list(self._installation.daemons))
        url = f"http://{self._installation.settings[name]['callers']}/desk/{job}"
        try:
            resp = self._http.request(method, url, headers=HEADERS, **kwargs)
            return resp.status, json.loads(resp.data or b"{}")
        except (HTTPError, json.JSONDecodeError):
            # The checker counts calls without a response, too.
            return NO_RESPONSE, {}


class KeyProber:
    """Thread that calls each daemon in turn with each of the last keys.

    The responses show whether a daemon reverts to an old configuration.
    """

    __slots__ = ("_http", "_numbers", "_events", "_installation", "_stop", "_thread")

    def __init__(self, installation: Installation, events: SimpleQueue[Event]) -> None:
        self._installation = installation
        self._events = events
        self._numbers: list[int] = []
        self._stop = Flag()
        self._http = PoolManager(retries=Retry(total=False), timeout=Timeout(2.0))
        self._thread = Thread(target=self._run, name="keys", daemon=True)

    def start(self) -> None:
        """Start calling the daemons."""
        self._thread.start()

    def stop(self) -> None:
        """Stop calling the daemons and wait for the last call."""
        self._stop.set()
        self._thread.join()

    def add(self, number: int) -> None:
        """Add a key; only the last 3 keys are used."""
        self._numbers = [*self._numbers[-2:], number]

    def _run(self) -> None:
        while not self._stop.wait(POLL_INTERVAL_SECONDS):
            for name in list(self._installation.daemons):
                for number in self._numbers:
                    self._query(name, number)

    def _query(self, name: str, number: int) -> None:
        process = self._installation.daemons[name].pid
        url = f"http://{self._installation.settings[name]['callers']}/desk/"
        headers = {**HEADERS, "Api-Key": f"key-x{number}"}
        try:
            status = self._http.request("GET", url, headers=headers).status
        except HTTPError:
            return
        if self._installation.daemons[name].pid == process:
            self._events.put(KeySeen(name, process, number, status))
