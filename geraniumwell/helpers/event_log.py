"""Structured log of events, which is limited in volume and never blocks."""

import sys
from collections import deque
from threading import Condition, Thread
from typing import Any

from loguru import logger
from msgspec.json import encode
from prometheus_client import Counter

from geraniumwell.util.clock import boottime_seconds, stable_wall_seconds

# Lines that may wait for the reader of standard output; more are dropped and counted.
BACKLOG_LINES = 5_000
# Token bucket of each kind of event: sustained rate, and size of a burst.
EVENT_LINES_PER_SECOND = 60.0
EVENT_BURST_LINES = 200.0

DROPPED = Counter(
    "geraniumwell_log_lines_dropped",
    "Log lines that were left out, by the reason.",
    ("reason",),
)


class LineWriter:
    """Writes lines to a stream from a thread of its own.

    Parameters
    ----------
    write : callable
        Writes text to the stream; it may block.
    """

    __slots__ = ("_is_writing", "_lines", "_ready", "_thread", "_write")

    def __init__(self, write: Any) -> None:
        self._lines: deque[str] = deque()
        self._ready = Condition()
        self._write = write
        self._is_writing = False
        self._thread = Thread(target=self._run, name="log", daemon=True)
        self._thread.start()

    def put(self, line: str) -> None:
        """Queue a line, or drop it if too many lines are waiting."""
        with self._ready:
            if len(self._lines) >= BACKLOG_LINES:
                DROPPED.labels("slow_reader").inc()
                return
            self._lines.append(line)
            self._ready.notify_all()

    def flush(self, seconds: float) -> None:
        """Wait until all lines are written, for at most a number of seconds."""
        with self._ready:
            self._ready.wait_for(
                lambda: not self._lines and not self._is_writing, seconds
            )

    def _run(self) -> None:
        while True:
            with self._ready:
                self._is_writing = False
                self._ready.notify_all()
                self._ready.wait_for(lambda: self._lines)
                text = "".join(self._lines)
                self._lines.clear()
                self._is_writing = True
            self._write(text)


class EventBudget:
    """Token bucket that limits the log lines of one kind of event."""

    __slots__ = ("_refilled_at", "_tokens", "skipped")

    def __init__(self, now: float) -> None:
        self._tokens = EVENT_BURST_LINES
        self._refilled_at = now
        self.skipped = 0

    def take(self, now: float) -> bool:
        """Return whether one more line may be written now, and count it if so."""
        refill = (now - self._refilled_at) * EVENT_LINES_PER_SECOND
        self._tokens = min(EVENT_BURST_LINES, self._tokens + refill)
        self._refilled_at = now
        if self._tokens < 1.0:
            self.skipped += 1
            DROPPED.labels("budget").inc()
            return False
        self._tokens -= 1.0
        return True


class EventLog:
    """Log that writes one JSON line for each event."""

    __slots__ = ("_budgets", "_daemon")

    def __init__(self) -> None:
        self._budgets: dict[str, EventBudget] = {}
        self._daemon = ""

    def set_daemon(self, name: str) -> None:
        """Set the daemon name that every line contains."""
        self._daemon = name

    def write(self, event: str, **fields: Any) -> None:
        """Write a line, unless the budget for this kind of event is used up.

        Parameters
        ----------
        event : str
            Kind of event, out of a bounded set.
        **fields : Any
            Ids and other values of the event.
        """
        now = boottime_seconds()
        budget = self._budgets.setdefault(event, EventBudget(now))
        if not budget.take(now):
            return
        line = {"time": round(stable_wall_seconds(), 3), "daemon": self._daemon}
        line["event"] = event
        if budget.skipped:
            line["skipped_before"] = budget.skipped
            budget.skipped = 0
        logger.info("{}", encode({**line, **fields}, order=None).decode())


EVENT_LOG = EventLog()


def set_up_event_log(daemon: str, level: str) -> LineWriter:
    """Send all log lines of this process to standard output and return the writer."""
    EVENT_LOG.set_daemon(daemon)
    writer = LineWriter(write_to_stdout)
    logger.remove()
    logger.add(writer.put, level=level, format="{message}")
    return writer


def write_to_stdout(text: str) -> None:
    """Write text to standard output and flush it."""
    sys.stdout.write(text)
    sys.stdout.flush()
