"""Collects the log lines about one request or job, and explains its outcome."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

from geraniumwell.codec.json import CodecError, decode_json

# Events in causal order. The clocks of two daemons may differ by more than the time
# between two events.
CAUSAL_ORDER = (
    "denied",
    "job_unreadable",
    "job_accepted",
    "job_known",
    "job_taken_up",
    "start",
    "start_failed",
    "stop",
    "end",
    "cancel_accepted",
    "cancel_without_job",
    "job_cancelled",
    "job_ended",
)
# Events within the same interval of this length are sorted by causal order.
CLOCK_TOLERANCE_SECONDS = 0.05
# Time from acceptance to the first start above which the explanation mentions it.
LATE_START_SECONDS = 0.5


@dataclass(slots=True, frozen=True)
class LogEvent:
    """An event in a daemon's log.

    Parameters
    ----------
    at : float
        Unix time in seconds, by the daemon's own clock.
    """

    at: float
    daemon: str
    event: str
    fields: dict[str, Any]


@dataclass(slots=True)
class Trace:
    """The log lines about one request or job.

    Parameters
    ----------
    takeovers : list of LogEvent
        Leader claims shortly before the first line, or between it and the last one.
    skipped : int
        Number of lines of the logs that are not events.
    """

    id: str
    lines: list[LogEvent] = field(default_factory=list)
    takeovers: list[LogEvent] = field(default_factory=list)
    skipped: int = 0


def read_lines(texts: Iterable[str]) -> tuple[list[LogEvent], int]:
    """Return the lines that are events, and the number of other lines."""
    lines: list[LogEvent] = []
    others = 0
    for text in texts:
        # Log collectors may add a prefix to each line.
        _, brace, rest = text.partition("{")
        try:
            fields = decode_json(brace + rest.rstrip(), dict)
            at, daemon = fields.pop("time"), fields.pop("daemon")
            lines.append(LogEvent(at, daemon, fields.pop("event"), fields))
        except (CodecError, KeyError):
            others += 1
    return lines, others


def build_trace(lines: list[LogEvent], wanted: str, skipped: int = 0) -> Trace:
    """Return the trace of an id."""
    matching = [line for line in lines if is_about(line, wanted)]
    matching.sort(key=get_sort_key)
    trace = Trace(wanted, matching, skipped=skipped)
    if matching:
        first, last = matching[0].at, matching[-1].at
        trace.takeovers = [
            line
            for line in lines
            if line.event == "claim_won" and first - 5.0 <= line.at <= last
        ]
    return trace


def is_about(line: LogEvent, wanted: str) -> bool:
    """Return whether a line is about an id."""
    if line.fields.get("job") == wanted:
        return True
    return wanted in str(line.fields.get("path", ""))


def get_sort_key(line: LogEvent) -> tuple[float, int]:
    """Return the sort key of a line: its time interval, then its causal order."""
    event = line.event
    rank = CAUSAL_ORDER.index(event) if event in CAUSAL_ORDER else len(CAUSAL_ORDER)
    return (line.at // CLOCK_TOLERANCE_SECONDS, rank)


def explain_trace(trace: Trace) -> str:
    """Return one sentence that explains the outcome of a request or job."""
    by_event: dict[str, list[LogEvent]] = {}
    for line in trace.lines:
        by_event.setdefault(line.event, []).append(line)
    if not trace.lines:
        return f"No log line mentions {trace.id}: it never reached these daemons."
    if ends := by_event.get("job_ended"):
        return _explain_end(trace, by_event, ends[-1])
    if denied := by_event.get("denied"):
        fields = denied[-1].fields
        return (
            f"Refused as {fields['code']} under configuration {fields['version']};"
            " it did not run."
        )
    if by_event.get("job_unreadable"):
        return "Refused because its body contains no valid job."
    if "job_accepted" not in by_event and (failed := by_event.get("call_failed")):
        fields = failed[-1].fields
        return (
            f"Not accepted: the store returned {fields['outcome']} to"
            f" {fields['call']} ({fields['detail']})."
        )
    if "start" not in by_event:
        return (
            "Accepted but not started yet: no free capacity, or no scheduling daemon."
        )
    count = sum(line.fields["tasks"] for line in by_event["start"])
    return f"Accepted and not ended yet, after {count} starts."


def _explain_end(
    trace: Trace, by_event: dict[str, list[LogEvent]], end: LogEvent
) -> str:
    state = end.fields["state"]
    other_ends = [
        line for line in by_event.get("end", []) if line.fields["how"] != "done"
    ]
    parts: list[str] = []
    delay = find_start_delay(by_event)
    if delay is not None and delay > LATE_START_SECONDS:
        first_start = by_event["start"][0].at
        is_by_takeover = any(line.at <= first_start for line in trace.takeovers)
        cause = "a takeover" if is_by_takeover else "lack of free capacity"
        parts.append(f"its first start came {delay:.1f} s after it, by {cause}")
    for how in sorted({line.fields["how"] for line in other_ends}):
        names = [line.fields["on"] for line in other_ends if line.fields["how"] == how]
        workers = ", ".join(sorted(set(names)))
        count = sum(
            line.fields["tasks"] for line in other_ends if line.fields["how"] == how
        )
        parts.append(f"{count} runs ended as {how} on {workers}")
    if failed := by_event.get("start_failed"):
        codes = ", ".join(sorted({line.fields["code"] for line in failed}))
        parts.append(f"{len(failed)} starts failed ({codes})")
    detail = "; ".join(parts) if parts else "no failures"
    return f"Ended as {state} {end.fields['seconds']:.1f} s after acceptance: {detail}."


def find_start_delay(by_event: dict[str, list[LogEvent]]) -> float | None:
    """Return the time from acceptance to the first start, in seconds."""
    accepted, starts = by_event.get("job_accepted"), by_event.get("start")
    if not accepted or not starts:
        return None
    return starts[0].at - accepted[0].at
