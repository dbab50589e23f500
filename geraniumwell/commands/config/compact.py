"""Compaction: what a snapshot keeps, and which log rows it makes obsolete."""

from geraniumwell.const import CONFIG_RECENT_COMMANDS, CONFIG_SNAPSHOT_INTERVAL


def find_expired_versions(version: int) -> range:
    """Return the versions whose log rows are deleted with a snapshot at ``version``.

    One interval of rows is kept, so that a daemon that lags by less reads only the
    missing rows, and an operator whose change conflicts sees the changes made since.
    """
    last = version - CONFIG_SNAPSHOT_INTERVAL
    return range(max(1, last - CONFIG_SNAPSHOT_INTERVAL + 1), last + 1)


def keep_recent(commands: dict[str, int]) -> dict[str, int]:
    """Return the newest entries of the versions by command id."""
    newest = sorted(commands.items(), key=lambda item: item[1])
    return dict(newest[-CONFIG_RECENT_COMMANDS:])
