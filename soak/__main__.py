"""Command line of the soak test: ``script/soak --seed N --minutes M``."""

import sys
import tempfile
from pathlib import Path

from defopt import run

from soak.run import DEFAULT_RESULT_SECONDS, SoakConfig, run_soak


def soak(
    *,
    seed: int = 1,
    minutes: float = 0.5,
    seeds: int = 1,
    daemons: int = 3,
    workers: int = 4,
    callers: int = 4,
    result_seconds: float = DEFAULT_RESULT_SECONDS,
) -> int:
    """Run real processes under random faults and check that the invariants hold.

    Parameters
    ----------
    seed : int
        Seed of the random faults and callers.
    minutes : float
        Minutes during which faults are injected, for each seed.
    seeds : int
        Number of seeds to run one after another, beginning with ``seed``.
    daemons, workers, callers : int
        Number of processes of each kind and of threads that submit jobs.
    result_seconds : float
        Retention time of results; with less than the default, jobs are removed during
        the run.
    """
    failed_seeds = 0
    for number in range(seed, seed + seeds):
        folder = Path(tempfile.mkdtemp(prefix=f"soak-{number}-"))
        print(f"seed {number}, logs in {folder}", flush=True)
        cfg = SoakConfig(
            number, minutes * 60, daemons, workers, callers, result_seconds
        )
        checker = run_soak(cfg, folder)
        for text in checker.violations:
            print(f"seed {number} BROKEN {text}", flush=True)
        failed_seeds += bool(checker.violations)
        counts = ", ".join(f"{n} {kind}" for kind, n in sorted(checker.counts.items()))
        print(f"seed {number}: {len(checker.jobs)} jobs, {counts}", flush=True)
    print(f"{seeds - failed_seeds} seeds passed, {failed_seeds} failed")
    return 1 if failed_seeds else 0


if __name__ == "__main__":
    sys.exit(run(soak))
