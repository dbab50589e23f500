"""Summarise behave's reports; fail if a failed scenario is not listed as known."""

import json
import sys
from pathlib import Path

PASSED = "passed"


def read_folder(folder: Path) -> dict[str, str]:
    """Return the status of each scenario in the reports of a folder."""
    statuses: dict[str, str] = {}
    for report in sorted(folder.glob("*.json")):
        statuses |= read_report(report)
    return statuses


def read_report(report: Path) -> dict[str, str]:
    """Return the status of each scenario of a report by ``file:name``."""
    statuses: dict[str, str] = {}
    for feature in json.loads(report.read_text()):
        if feature.get("status") != PASSED and not feature.get("elements"):
            statuses[feature["location"]] = feature.get("status", "untested")
        for element in feature.get("elements", []):
            if element["type"] != "scenario":
                continue
            name = f"{feature['location'].rsplit(':', 1)[0]}:{element['name']}"
            statuses[name] = element.get("status", "untested")
    return statuses


def read_known_failures(path: Path) -> set[str]:
    """Return the scenarios that the ``test:`` lines of the list name."""
    lines = path.read_text().splitlines() if path.exists() else []
    return {ln.removeprefix("test:").strip() for ln in lines if ln.startswith("test:")}


def main() -> int:
    """Print all failures and the counts; return the exit status."""
    scenarios = read_folder(Path(sys.argv[1]))
    known = read_known_failures(Path(sys.argv[2]))
    failed = sorted(name for name, status in scenarios.items() if status != PASSED)
    for name in failed:
        label = "known red" if name in known else "FAILED"
        print(f"{label}: {name} ({scenarios[name]})")
    passed = len(scenarios) - len(failed)
    print(f"{passed} passed, {len(failed)} failed")
    return 0 if passed and known.issuperset(failed) else 1


if __name__ == "__main__":
    sys.exit(main())
