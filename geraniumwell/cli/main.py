"""Entry point of the command line."""

import os
import sys
from argparse import RawDescriptionHelpFormatter
from pathlib import Path
from signal import SIGHUP, SIGINT, SIGTERM, set_wakeup_fd, signal

from defopt import run

from geraniumwell.cli.operate import ask, do
from geraniumwell.cli.trace import trace
from geraniumwell.codec.settings import load_settings
from geraniumwell.exceptions import GeraniumwellError
from geraniumwell.helpers.logging import set_up_log

LOG_FLUSH_SECONDS = 0.5
EXIT_USAGE = 2
EXIT_SYNTAX = 3
EXIT_REFUSED = 4
EXIT_CONFLICT = 5
EXIT_UNAVAILABLE = 6
EXIT_UNKNOWN = 7
EXIT_UNAUTHORISED = 8
EXIT_INTERNAL_ERROR = 70
EXIT_INTERRUPTED = 130
EXIT_BY_CODE = {
    "change_conflict": EXIT_CONFLICT,
    "daemon_unreachable": EXIT_UNAVAILABLE,
    "data_centre_unreachable": EXIT_UNAVAILABLE,
    "error": 1,
    "invariant_broken": 1,
    "not_decider": EXIT_UNAVAILABLE,
    "outcome_unknown": EXIT_UNKNOWN,
    "peer_unreachable": EXIT_UNAVAILABLE,
    "platform_unavailable": EXIT_UNAVAILABLE,
    "settings_invalid": EXIT_USAGE,
    "syntax_invalid": EXIT_SYNTAX,
    "unauthorised": EXIT_UNAUTHORISED,
    "usage": EXIT_USAGE,
}
DESCRIPTION = "Scheduler for gang jobs and requests under organisation guarantees."
EPILOG = """\
exit status:
  0    done
  1    internal error
  2    invalid arguments or settings
  3    syntax error in a statement; nothing was sent
  4    the daemon refused a statement; nothing changed
  5    another operator's change came first; nothing changed
  6    a daemon or the platform is unreachable; nothing changed
  7    no response, so a command may or may not take effect
  8    unknown token
  70   the daemon stopped because of an internal error

check-config has its own; see check-config --help.
"""


def serve(settings: Path) -> None:
    """Run the entry daemon until SIGTERM.

    Parameters
    ----------
    settings : Path
        JSON file with the settings of this daemon.
    """
    # Imported here, because the daemon's modules take most of a second to import and
    # the other commands don't need them.
    from geraniumwell.core import EntryDaemon

    cfg = load_settings(settings)
    set_up_log(cfg.log)
    daemon = EntryDaemon(cfg)
    for number in (SIGTERM, SIGINT):
        signal(number, lambda *_: daemon.request_stop())
    if not daemon.run():
        sys.exit(EXIT_INTERNAL_ERROR)


def serve_platform(settings: Path) -> None:
    """Run the entry daemon on the users' platform until SIGTERM.

    Parameters
    ----------
    settings : Path
        JSON file with the settings that the platform fills in.
    """
    from geraniumwell.helpers.event_log import set_up_event_log
    from geraniumwell.platform.daemon import PlatformDaemon
    from geraniumwell.platform.settings import load_platform_settings

    cfg = load_platform_settings(settings)
    writer = set_up_event_log(cfg.vm, cfg.log_level)
    daemon = PlatformDaemon(cfg, settings)
    set_wakeup_fd(daemon.wake_fd)
    for number in (SIGTERM, SIGINT):
        signal(number, lambda *_: daemon.request_stop())
    signal(SIGHUP, lambda *_: daemon.request_reload())
    daemon.run()
    writer.flush(LOG_FLUSH_SECONDS)
    # The regular shutdown of the interpreter can wait for ever for threads of gRPC. All
    # persistent state is in the store.
    os._exit(0)


def check(settings: Path) -> None:
    """Check a settings file and report what is wrong with it.

    Parameters
    ----------
    settings : Path
        JSON file with the settings of a daemon.
    """
    load_settings(settings)
    print(f"{settings}: valid")


def check_config(
    file: Path,
    *,
    against: Path | None = None,
    accelerators: int | None = None,
    json: bool = False,
) -> None:
    """Check a configuration of serve-platform before it is sent.

    Exit status: 0 without findings, 1 with errors, 2 if a file can't be read, 3 with
    warnings only. Differences are not findings.

    Parameters
    ----------
    file : Path
        JSON file with the configuration.
    against : Path or None
        JSON file with the configuration in force, to list the differences from it. It
        must be a file: the command has no access to the store, which alone knows the
        version in force.
    accelerators : int or None
        Accelerators of the fleet, to compare the guarantees with them.
    json
        Print JSON.
    """
    # Imported here, because the start of a daemon should not wait for these modules.
    from geraniumwell.cli.check_config import run_check

    sys.exit(run_check(file, against, accelerators, json))


def main() -> None:
    """Run the command that the arguments name."""
    try:
        run(
            [serve, serve_platform, check, check_config, ask, do, trace],
            cli_options="has_default",
            argparse_kwargs={
                "prog": "geraniumwell",
                "description": DESCRIPTION,
                "epilog": EPILOG,
                "formatter_class": RawDescriptionHelpFormatter,
            },
        )
    except GeraniumwellError as exc:
        print(f"geraniumwell: {exc.code}: {exc}", file=sys.stderr)
        sys.exit(EXIT_BY_CODE.get(exc.code, EXIT_REFUSED))
    except KeyboardInterrupt:
        sys.exit(EXIT_INTERRUPTED)
