"""Run feature files in parallel behave processes and print the result.

``python script/run_tests.py [FEATURE_OR_FOLDER ...]``; without arguments all of them.
"""

import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
REPORTS = ROOT / "build" / "reports"
# Integration tests mostly wait, so more processes than cores still leave idle time.
MAX_PROCESSES = 6
# Features that measure a process under load run one at a time, after all others.
ALONE_TAG = "@alone"


def find_features(names: list[str]) -> list[Path]:
    """Return the feature files, largest first, so that none runs alone at the end."""
    features: set[Path] = set()
    for name in names:
        path = ROOT / name
        features |= (
            {path} if path.suffix == ".feature" else set(path.rglob("*.feature"))
        )
    return sorted(features, key=lambda path: -path.stat().st_size)


def run_feature(path: Path) -> None:
    """Run one feature file; print its output if a scenario failed."""
    name = str(path.relative_to(ROOT)).replace("/", "-")
    report = REPORTS / f"{name}.json"
    process = subprocess.run(
        [sys.executable, "-m", "behave", "-f", "plain", "-f", "json"]
        + ["-o", "/dev/stdout", "-o", str(report), str(path)],
        cwd=ROOT,
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
    )
    print(
        f"{'passed' if process.returncode == 0 else 'FAILED'}: {path.name}", flush=True
    )
    if process.returncode:
        print(process.stdout, flush=True)
    if not report.exists():
        report.write_text(f'[{{"location": "{path}", "status": "failed"}}]')


def main() -> int:
    """Run all features, print the counts and return the exit status."""
    REPORTS.mkdir(parents=True, exist_ok=True)
    for old_report in REPORTS.iterdir():
        old_report.unlink()
    features = find_features(sys.argv[1:] or ["tests"])
    alone = [path for path in features if path.read_text().startswith(ALONE_TAG)]
    with ThreadPoolExecutor(MAX_PROCESSES) as pool:
        list(pool.map(run_feature, [path for path in features if path not in alone]))
    for path in alone:
        run_feature(path)
    verdict_command = [
        sys.executable,
        "script/verdict.py",
        str(REPORTS),
        "KNOWN-RED.txt",
    ]
    return subprocess.run(verdict_command, cwd=ROOT).returncode


if __name__ == "__main__":
    sys.exit(main())
