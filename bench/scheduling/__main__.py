"""Compare the time of decisions of this version with an older one.

``python -m bench.scheduling [--older DIR] [--rounds N]`` prints a table of milliseconds
by the number of workers. ``DIR`` is a checkout of an older commit; both versions
are measured one after the other on the same machine.
"""

import subprocess
import sys
from argparse import ArgumentParser
from pathlib import Path

from msgspec.json import decode

ROOT = Path(__file__).resolve().parent.parent.parent
WORKER_COUNTS = (48, 135, 270, 540, 1000)

Figures = dict[str, dict[str, float]]


def measure(folder: Path, rounds: int, counts: tuple[int, ...]) -> Figures:
    """Return the figures of the version in a folder, by the number of workers."""
    # The package comes from the given folder, the benchmark always from this one.
    script = (
        "import sys; from runpy import run_module; "
        f"sys.path.insert(0, {str(folder)!r}); import geraniumwell; "
        f"sys.path[0] = {str(ROOT)!r}; "
        "run_module('bench.scheduling.measure', run_name='__main__', alter_sys=True)"
    )
    process = subprocess.run(
        [sys.executable, "-c", script, str(rounds), ",".join(map(str, counts))],
        cwd="/",
        stdout=subprocess.PIPE,
        check=True,
    )
    return decode(process.stdout, type=Figures)


def main() -> None:
    """Print the table."""
    parser = ArgumentParser(description=__doc__)
    parser.add_argument("--older", type=Path, help="checkout of an older commit")
    parser.add_argument("--rounds", type=int, default=300)
    parser.add_argument("--older-rounds", type=int, default=20)
    args = parser.parse_args()
    versions = [("this version", ROOT, args.rounds, WORKER_COUNTS)]
    if args.older:
        versions.append(
            ("older", args.older.resolve(), args.older_rounds, WORKER_COUNTS[:4])
        )
    print("| version | workers | round, median ms | round, 95% ms | poll, median ms |")
    print("| --- | --- | --- | --- | --- |")
    for name, folder, rounds, counts in versions:
        for count, row in measure(folder, rounds, counts).items():
            cells = " | ".join(f"{row[key]:.3f}" for key in row)
            print(f"| {name} | {count} | {cells} |", flush=True)


if __name__ == "__main__":
    main()
