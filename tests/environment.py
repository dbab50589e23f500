"""Hooks of behave, which end the processes that a scenario started."""

import sys
from pathlib import Path

from behave.model import Scenario
from behave.runner import Context

TESTS_ROOT = Path(__file__).resolve().parent
# behave adds this folder to the path. tests/platform, which mirrors the package, would
# shadow the standard library's platform module if the folder did not come last.
sys.path.sort(key=lambda entry: Path(entry).resolve() == TESTS_ROOT)
# Step modules import each other and the stand-ins by absolute name.
sys.path.insert(0, str(TESTS_ROOT.parent))


def before_scenario(context: Context, scenario: Scenario) -> None:
    """Give the scenario an empty list of processes."""
    context.processes = []


def after_scenario(context: Context, scenario: Scenario) -> None:
    """End every process that the scenario started."""
    for process in reversed(context.processes):
        process.close()
