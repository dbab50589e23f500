"""Run the membership decisions under random faults for many seeds.

``python -m bench.membership_faults [SEEDS]`` prints the seeds in which the members of
a data centre together claimed more slots than the endpoint has.
"""

import sys

from tests.commands.membership.fake_data_centre import (
    ENDPOINT,
    STEP_SECONDS,
    FakeDataCentre,
)
from tests.commands.membership.leases_steps import FAULT_PROBABILITY, change_fault

DEFAULT_SEEDS = 200
FIRST_SEED = 100
RUN_SECONDS = 600


def find_violation(seed: int) -> float | None:
    """Return the virtual time of the first oversubscription, or None."""
    data_centre = FakeDataCentre(seed, 2 + seed % 3)
    for _ in range(round(RUN_SECONDS / STEP_SECONDS)):
        if data_centre.random.random() < FAULT_PROBABILITY:
            change_fault(data_centre)
        data_centre.step()
        if data_centre.count_claimed_slots() > ENDPOINT.slots:
            return data_centre.now
    return None


def main() -> None:
    """Print each violation and the number of violations."""
    run_count = int(sys.argv[1]) if len(sys.argv) > 1 else DEFAULT_SEEDS
    violations = 0
    for seed in range(FIRST_SEED, FIRST_SEED + run_count):
        violated_at = find_violation(seed)
        if violated_at is not None:
            violations += 1
            print(f"seed {seed}: oversubscribed at {violated_at:.1f} s")
    print(f"{violations} violations in {run_count} runs of {RUN_SECONDS} s")


if __name__ == "__main__":
    main()
