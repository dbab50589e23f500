"""History of configuration changes."""

from geraniumwell.language.printer import print_change, print_time
from geraniumwell.model.change import ChangeRecord
from geraniumwell.model.table import Table, make_table


def show_history(records: tuple[ChangeRecord, ...], *lines: str) -> Table:
    """Return a table of the recorded changes, newest first."""
    rows = [
        (
            record.version,
            print_time(record.at),
            record.author,
            print_change(record.change),
            record.reason,
            None if record.replaced is None else print_change(record.replaced),
        )
        for record in sorted(records, key=lambda item: -item.version)
    ]
    return make_table("version at author change reason replaced", rows, *lines)


def describe_conflict(
    base: int, version: int, records: tuple[ChangeRecord, ...]
) -> str:
    """Return the message to an operator whose command conflicts with newer changes."""
    conflict = f"version {base} was replaced by {version} before this command"
    if not records:
        return f"{conflict}; the command was not applied"
    changes = "; ".join(
        f"{record.author} did: {print_change(record.change)} (because {record.reason})"
        for record in records
    )
    return f"{conflict}; the command was not applied; {changes}"
