"""Run all policy variants on all scenarios; print and write the tables."""

import argparse
import sys
from dataclasses import dataclass
from datetime import UTC, datetime
from multiprocessing import Pool
from pathlib import Path
from time import perf_counter

from bench.serving.figures import Figures, make_figures
from bench.serving.pool import make_bounds
from bench.serving.report import make_report
from bench.serving.scenarios import SCENARIOS, Scenario
from bench.serving.simulation import Simulation
from bench.serving.traces import make_trace
from bench.serving.users import USERS, replace_long_window
from bench.serving.variants import ABLATIONS, VARIANTS

RESULTS_PATH = Path("bench/results/serving.txt")
MAX_PROCESSES = 4


@dataclass(slots=True, frozen=True)
class RunGroup:
    """Variants to run for one user, scenario and seed, which share one trace."""

    user: str
    scenario: Scenario
    seed: int
    variants: tuple[str, ...]


def run_group(group: RunGroup) -> list[tuple[str, str, str, Figures]]:
    """Run the variants of a group on its trace; return a row for each."""
    user = replace_long_window(USERS[group.user], group.scenario.long_window_seconds)
    trace = make_trace(user, group.scenario, group.seed)
    bounds = make_bounds(group.scenario, trace)
    policies = VARIANTS | ABLATIONS
    rows = []
    for name in group.variants:
        simulation = Simulation(user, group.scenario, policies[name], group.seed)
        records = simulation.run(trace)
        figures = make_figures(user, group.scenario, bounds, records)
        rows.append((group.user, group.scenario.name, name, figures))
    return rows


def main() -> None:
    """Run the benchmark."""
    parser = argparse.ArgumentParser(prog="python -m bench.serving")
    parser.add_argument("--seeds", type=int, default=20)
    parser.add_argument("--users", nargs="*", default=list(USERS))
    parser.add_argument("--scenarios", nargs="*")
    parser.add_argument("--variants", nargs="*")
    parser.add_argument("--ablations", action="store_true")
    parser.add_argument("--out", type=Path, default=RESULTS_PATH)
    args = parser.parse_args()
    variant_names = list(VARIANTS) + (list(ABLATIONS) if args.ablations else [])
    variants = tuple(args.variants or variant_names)
    scenarios = [s for s in SCENARIOS if not args.scenarios or s.name in args.scenarios]
    groups = [
        RunGroup(user, scenario, seed, variants)
        for seed in range(1, args.seeds + 1)
        for user in args.users
        for scenario in scenarios
    ]
    started_at = perf_counter()
    with Pool(MAX_PROCESSES) as pool:
        rows = [
            row
            for group_rows in pool.imap_unordered(run_group, groups)
            for row in group_rows
        ]
    command = " ".join(["python -m bench.serving", *sys.argv[1:]])
    date = datetime.now(UTC).strftime("%Y-%m-%d %H:%M UTC")
    heading = (
        f"{command}\n{date}, {args.seeds} seeds, {perf_counter() - started_at:.0f} s\n"
    )
    text = heading + make_report(rows, variants)
    print(text)
    args.out.parent.mkdir(parents=True, exist_ok=True)
    args.out.write_text(text)


if __name__ == "__main__":
    main()
