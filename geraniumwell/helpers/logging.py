"""Set-up of the log, and suppression of repeated faults."""

import sys
from typing import Any

from loguru import logger

from geraniumwell.model.settings import Log

TEXT_FORMAT = (
    "{time:YYYY-MM-DDTHH:mm:ss.SSSZ} {level: <7} {message}{extra[bound_ids]}\n"
    "{exception}"
)


def set_up_log(cfg: Log) -> None:
    """Write the log to standard error as text or as JSON lines."""
    logger.remove()
    if cfg.form == "json":
        logger.add(sys.stderr, level=cfg.level, serialize=True)
        return
    logger.add(sys.stderr, level=cfg.level, format=format_text)


def format_text(record: Any) -> str:
    """Return the format of one line, with the ids that are bound to it."""
    ids = {k: v for k, v in record["extra"].items() if k != "bound_ids"}
    text = " ".join(f"{key}={value}" for key, value in ids.items())
    record["extra"]["bound_ids"] = f" [{text}]" if text else ""
    return TEXT_FORMAT


class FaultLog:
    """Logs a fault when it begins and when it ends, not each time that it repeats."""

    __slots__ = ("_counts",)

    def __init__(self) -> None:
        self._counts: dict[str, int] = {}

    def report(self, fault: str, message: str, **ids: Any) -> None:
        """Log a fault unless it already lasts.

        Parameters
        ----------
        fault : str
            Name of the fault; one name is logged once while it lasts.
        message : str
            What to log.
        **ids : Any
            Identifiers to bind to the line.
        """
        self._counts[fault] = self._counts.get(fault, 0) + 1
        if self._counts[fault] == 1:
            logger.bind(fault=fault, **ids).warning("{}", message)

    def clear(self, fault: str, **ids: Any) -> None:
        """Log that a fault ended, if it lasted."""
        count = self._counts.pop(fault, 0)
        if count:
            line = logger.bind(fault=fault, **ids)
            line.info("{} ended after {} occurrences", fault, count)

    def is_active(self, fault: str) -> bool:
        """Tell whether a fault was reported and has not ended."""
        return fault in self._counts
