"""Run all policy variants on all sizes and seeds; print and write the tables."""

import sys
from argparse import ArgumentParser, Namespace
from datetime import UTC, datetime
from multiprocessing import Pool
from pathlib import Path
from time import monotonic

from bench.gangs.decision_time import format_decision_times
from bench.gangs.figures import Figures, make_figures
from bench.gangs.report import Table, make_rows, make_verdicts
from bench.gangs.simulation import Simulation
from bench.gangs.sizes import SIZES, Size
from bench.gangs.variants import list_variants

RESULTS = Path(__file__).resolve().parent.parent / "results" / "gangs.txt"
MAX_PROCESSES = 4
PROGRESS_INTERVAL_RUNS = 20

# Size, name of the variant, and seed.
RunKey = tuple[Size, str, int]


def run_simulation(run: RunKey) -> tuple[RunKey, Figures]:
    """Run one variant on one seed of a size."""
    size, name, seed = run
    policy = list_variants(size.name)[name]
    return run, make_figures(Simulation(size, seed, policy).run())


def list_runs(sizes: tuple[Size, ...], seeds: int) -> list[RunKey]:
    """Return all runs, seed by seed, so that the progress predicts the time left."""
    return [
        (size, name, seed)
        for seed in range(seeds)
        for size in reversed(sizes)
        for name in list_variants(size.name)
    ]


def parse_arguments() -> Namespace:
    """Return the parsed command line."""
    parser = ArgumentParser(prog="python -m bench.gangs")
    parser.add_argument("--seeds", type=int, default=20)
    parser.add_argument("--size", choices=[s.name for s in SIZES], default=None)
    parser.add_argument("--processes", type=int, default=MAX_PROCESSES)
    return parser.parse_args()


def main() -> None:
    """Run the benchmark."""
    args = parse_arguments()
    started_at = monotonic()
    sizes = tuple(s for s in SIZES if args.size in (None, s.name))
    tables: dict[str, Table] = {
        s.name: {name: {} for name in list_variants(s.name)} for s in sizes
    }
    lines = [
        f"command: python -m bench.gangs {' '.join(sys.argv[1:])}".rstrip(),
        f"date: {datetime.now(UTC):%Y-%m-%d %H:%M} UTC",
        "ratios are seed by seed: median [least-greatest]; base is fifo first fit",
        *format_decision_times(),
    ]
    with Pool(min(args.processes, MAX_PROCESSES)) as pool:
        runs = list_runs(sizes, args.seeds)
        finished = pool.imap_unordered(run_simulation, runs)
        for count, ((size, name, seed), figures) in enumerate(finished, 1):
            tables[size.name][name][seed] = figures
            if count % PROGRESS_INTERVAL_RUNS == 0:
                seconds = monotonic() - started_at
                print(f"{count}/{len(runs)} in {seconds:.0f} s", file=sys.stderr)
    for size_name, table in tables.items():
        table = {name: dict(sorted(by_seed.items())) for name, by_seed in table.items()}
        lines += ["", f"{size_name}, {args.seeds} seeds", *make_rows(table)]
        lines += make_verdicts(table)
    lines.append(f"\ntook {monotonic() - started_at:.0f} s")
    text = "\n".join(lines) + "\n"
    print(text)
    RESULTS.parent.mkdir(exist_ok=True)
    RESULTS.write_text(text)


if __name__ == "__main__":
    main()
