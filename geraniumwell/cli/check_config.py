"""Command that checks a configuration of the platform before it is sent."""

from pathlib import Path
from typing import Any

from geraniumwell.codec.json import encode_json
from geraniumwell.exceptions import UsageError
from geraniumwell.model.batch.proposal import (
    Difference,
    Finding,
    ProposedConfiguration,
    UnreadableConfiguration,
)
from geraniumwell.platform.proposal import decode_proposal, format_path
from geraniumwell.queries.config_check import check_configuration, is_error
from geraniumwell.queries.config_comparison import compare_configurations
from geraniumwell.queries.config_wording import describe_difference, describe_finding

EXIT_ERRORS = 1
EXIT_WARNINGS = 3


def run_check(
    file: Path, against: Path | None, accelerators: int | None, is_json: bool
) -> int:
    """Print what a check of a file finds, and return the exit status.

    Parameters
    ----------
    against : Path or None
        File with the configuration in force.
    accelerators : int or None
        Accelerators of the fleet.
    is_json : bool
        Whether the output is JSON.

    Raises
    ------
    UsageError
        If a file can't be read, or the one in force is not a valid configuration.
    """
    current = None if against is None else _load_current(against)
    version, differences = None, ()
    match decode_proposal(_read(str(file), file)):
        case UnreadableConfiguration(values):
            findings: tuple[Finding, ...] = values
        case ProposedConfiguration() as proposed:
            version = proposed.catalog.version
            catalog = None if current is None else current.catalog
            findings = check_configuration(proposed, accelerators, catalog)
            if current is not None:
                differences = compare_configurations(current, proposed)
    if is_json:
        print(encode_json(build_report(version, findings, differences)).decode())
    else:
        print(format_report(str(file), findings, differences))
    return find_exit_status(findings)


def find_exit_status(findings: tuple[Finding, ...]) -> int:
    """Return the exit status of a check with these findings."""
    if any(is_error(finding) for finding in findings):
        return EXIT_ERRORS
    return EXIT_WARNINGS if findings else 0


def build_report(
    version: int | None,
    findings: tuple[Finding, ...],
    differences: tuple[Difference, ...],
) -> dict[str, Any]:
    """Return the fields of the JSON output."""
    return {
        "version": version,
        "findings": [
            {
                "severity": _find_severity(finding),
                "code": finding.code,
                "path": format_path(finding),
                "text": describe_finding(finding),
            }
            for finding in findings
        ],
        "differences": [
            {"code": item.code, "text": describe_difference(item)}
            for item in differences
        ],
    }


def format_report(
    name: str, findings: tuple[Finding, ...], differences: tuple[Difference, ...]
) -> str:
    """Return the lines of the output, differences first."""
    errors = sum(is_error(finding) for finding in findings)
    lines = [f"change: {describe_difference(item)}" for item in differences]
    lines += [
        f"{_find_severity(item)}: {format_path(item)}: {describe_finding(item)}"
        for item in findings
    ]
    lines.append(f"{name}: errors: {errors}, warnings: {len(findings) - errors}")
    return "\n".join(lines)


def _find_severity(finding: Finding) -> str:
    return "error" if is_error(finding) else "warning"


def _load_current(path: Path) -> ProposedConfiguration:
    match decode_proposal(_read("against", path)):
        case ProposedConfiguration() as current:
            return current
        case UnreadableConfiguration(values):
            first = values[0]
            expected = f"a valid configuration in {path} ({first.path}: {first.reason})"
            raise UsageError("against", expected)


def _read(key: str, path: Path) -> bytes:
    try:
        return path.read_bytes()
    except OSError as exc:
        expected = f"a readable file, not {str(path)!r} ({exc.strerror})"
        raise UsageError(key, expected) from exc
