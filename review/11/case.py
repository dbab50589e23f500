"""A few jobs of many steps stop all scheduling for good."""

import sys
import time
from collections import Counter
from pathlib import Path

from review.support_3.installation import (
    BROKEN,
    HELD,
    CannotRunError,
    Installation,
    Record,
    run_case,
)

LARGE_JOBS = 3
STEPS = 2_000
ORDINARY_JOBS = 8
# ``finish_s``: time after the end of the traffic from which the rule counts.
FINISH_SECONDS = 14.0
# Span of the rule, and the calm time before it.
CALM_SECONDS = 3.0 + 4.0
CORES_MILLIS = 24 * 16_000
STEP = {"Count": 3, "Cpu": 1000, "MemMb": 1000, "Gpu": 1, "EstRuntimeMs": 500}
SMALL_STEP = {"Cpu": 10, "MemMb": 16, "EstRuntimeMs": 500}


def submit(installation: Installation, name: str, job: str, steps: list) -> None:
    """Hand a job in until it is accepted, as a client with four retries does."""
    for _ in range(5):
        status = installation.ask(name, "POST", job, {"Spec": job, "Steps": steps})
        if status == 200:
            return
        time.sleep(1.0)
    raise CannotRunError(f"job {job} was not accepted")


def check(record: Record, has_trouble: bool) -> int:
    """Run the case."""
    installation = Installation(record)
    try:
        names = list(installation.settings)
        submit(installation, names[0], f"{0:016x}", [STEP])
        time.sleep(3.0)
        if installation.find_state(names[0], f"{0:016x}") != "done":
            raise CannotRunError("a job before the trouble was not done")
        if has_trouble:
            for number in range(LARGE_JOBS):
                steps = [SMALL_STEP] * STEPS
                submit(installation, names[number], f"{0xAA00 + number:016x}", steps)
        ordinary = [f"{0xB0 + number:016x}" for number in range(ORDINARY_JOBS)]
        for number, job in enumerate(ordinary):
            time.sleep(0.5)
            submit(installation, names[number % len(names)], job, [STEP])
        record.write(f"end of the traffic; {FINISH_SECONDS} s until the check")
        time.sleep(FINISH_SECONDS)
        before = {item["task"] for item in installation.read_runs()}
        time.sleep(CALM_SECONDS)
        runs = installation.read_runs()
        states = {job: installation.find_state(names[0], job) for job in ordinary}
        for item in runs:
            record.write(f"worker: {item['what']} {item['task']} run {item['run']}")
        record.write(f"states: {dict(Counter(states.values()))}")
        starved = [
            job
            for job in ordinary
            if not any(item["task"].startswith(job) for item in runs)
        ]
        used = sum(
            SMALL_STEP["Cpu"] if item["task"].startswith(f"{0xAA:014x}") else 1000
            for item in runs
            if item["what"] == "start"
        ) - sum(
            SMALL_STEP["Cpu"] if item["task"].startswith(f"{0xAA:014x}") else 1000
            for item in runs
            if item["what"] in ("done", "failed", "stopped", "lapsed")
        )
        record.write(
            f"{len(starved)} of {len(ordinary)} ordinary jobs never started; "
            f"{used} of {CORES_MILLIS} thousandths of a core are in use; tasks seen: "
            f"{len(before)} before the last {CALM_SECONDS} s; claims won: "
            f"{installation.count_events('claim_won')}, lost: "
            f"{installation.count_events('claim_ended')}"
        )
        return BROKEN if starved and used < CORES_MILLIS / 2 else HELD
    finally:
        installation.close()


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).resolve().parent, check))
