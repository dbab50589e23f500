"""Structured log of decisions: bounded in volume, and never blocking."""

import sys
from collections import deque
from threading import Condition, Thread
from typing import Any

from loguru import logger
from msgspec.json import encode
from prometheus_client import Counter

from geraniumwell.util.clock import boottime_seconds, stable_wall_seconds

# Lines that wait for a reader of standard output; more are dropped and counted.
BACKLOG_LINES = 5_000
# Lines of one kind in a second, and how many may come at once.
KIND_LINES_PER_SECOND = 60.0
KIND_BURST_LINES = 200.0

DROPPED = Counter(
    "geraniumwell_log_lines_dropped",
    "Log lines that were left out, by the reason.",
    ("reason",),
)


class LineWriter:
    """Writes lines to a stream in a thread of its own.

    Parameters
    ----------
    write : callable
        Writes text and may block.
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
        """Queue a line, or drop it if the reader is too slow."""
        with self._ready:
            if len(self._lines) >= BACKLOG_LINES:
                DROPPED.labels("slow_reader").inc()
                return
            self._lines.append(line)
            self._ready.notify_all()

    def flush(self, seconds: float) -> None:
        """Wait until all lines are written, but no longer than a time limit."""
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


class KindBudget:
    """Token bucket for the lines of one kind."""

    __slots__ = ("_at", "_left", "skipped")

    def __init__(self, now: float) -> None:
        self._left = KIND_BURST_LINES
        self._at = now
        self.skipped = 0

    def take(self, now: float) -> bool:
        """Tell whether one more line may be written now."""
        gained = (now - self._at) * KIND_LINES_PER_SECOND
        self._left = min(KIND_BURST_LINES, self._left + gained)
        self._at = now
        if self._left < 1.0:
            self.skipped += 1
            DROPPED.labels("budget").inc()
            return False
        self._left -= 1.0
        return True


class EventLog:
    """Writes one JSON line for each event."""

    __slots__ = ("_budgets", "_daemon")

    def __init__(self) -> None:
        self._budgets: dict[str, KindBudget] = {}
        self._daemon = ""

    def set_daemon(self, name: str) -> None:
        """Set the name that every line carries."""
        self._daemon = name

    def write(self, event: str, **fields: Any) -> None:
        """Write a line, unless the budget of its kind is used up.

        Parameters
        ----------
        event : str
            Kind of the line; one of a small set.
        **fields : Any
            Ids, inputs and the outcome.
        """
        now = boottime_seconds()
        budget = self._budgets.setdefault(event, KindBudget(now))
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
    """Send all log lines of this process to standard output; return their writer."""
    EVENT_LOG.set_daemon(daemon)
    writer = LineWriter(write_to_stdout)
    logger.remove()
    logger.add(writer.put, level=level, format="{message}")
    return writer


def write_to_stdout(text: str) -> None:
    """Write text to standard output at once."""
    sys.stdout.write(text)
    sys.stdout.flush()
