"""Command that explains a request or job from the logs."""

from collections.abc import Iterator
from pathlib import Path

from geraniumwell.exceptions import UsageError
from geraniumwell.queries.batch.trace import (
    LogEvent,
    build_trace,
    explain_trace,
    read_lines,
)


def trace(*logs: Path, id: str) -> None:
    """Explain what happened to a request or job, from the logs of all daemons.

    Parameters
    ----------
    *logs : Path
        Files with the standard output of the daemons.
    id : str
        Id of the job.
    """
    lines, others = read_lines(iterate_lines(logs))
    found = build_trace(lines, id, others)
    shown = sorted([*found.lines, *found.takeovers], key=lambda line: line.at)
    for line in shown:
        print(render_line(line, shown[0].at))
    print(explain_trace(found))


def iterate_lines(logs: tuple[Path, ...]) -> Iterator[str]:
    """Return the lines of all files."""
    for path in logs:
        try:
            with path.open(encoding="utf-8", errors="replace") as text:
                yield from text
        except OSError as exc:
            raise UsageError(str(path), f"a readable file ({exc.strerror})") from exc


def render_line(line: LogEvent, first: float) -> str:
    """Return a log line for display, with its time since ``first``."""
    fields = " ".join(f"{key}={value}" for key, value in line.fields.items())
    return f"{line.at - first:9.3f} s  {line.daemon:24} {line.event:16} {fields}"
