"""A runner refuses all starts while the fleet is full; jobs count as begun."""

import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2]))

from review.support.rig import (  # noqa: E402
    HAS_TROUBLE,
    CaseNotRunError,
    Rig,
    run_case,
)

RUNNERS = 9
FILL = "a" * 16
WAITING = [f"{number:016x}" for number in range(1, 9)]
# One runner of nine is 0.11 of them; the site has srv_grey with share = 0.12, x = 1.0.
GREY_SECONDS = 6.5
# visible_ms + 2 s of the rule.
KNOWN_SECONDS = 5.0


def play(rig: Rig) -> list[str]:
    """Fill eight runners, hand in eight jobs, and ask for the counts."""
    rig.route = {"Priority": 0}
    rig.start_all(2, RUNNERS)
    full = make_step(8 * (RUNNERS - 1))
    if rig.submit("daemon-1", FILL, {"ms": 40_000}, full) != 200:
        raise CaseNotRunError("the first job was not accepted")
    rig.wait("a full fleet", lambda: rig.count_runs("start") == full["Count"], 10.0)
    used = {row["runner"] for row in rig.read_runs()}
    free = sorted(set(rig.runners) - used)
    if len(free) != 1:
        raise CaseNotRunError(f"{len(free)} runners are free, not one")
    rig.set_mode(free[0], "shed" if HAS_TROUBLE else "up")
    begin = time.monotonic()
    for job in WAITING:
        if rig.submit("daemon-1", job, {"ms": 2_000}, make_step(1)) != 200:
            raise CaseNotRunError("a job was not accepted")
    accepted_at = time.monotonic()
    broken = []
    while time.monotonic() < begin + GREY_SECONDS - 0.2:
        time.sleep(0.2)
        if time.monotonic() > accepted_at + KNOWN_SECONDS + 0.2:
            broken += check_counts(rig)
    rig.set_mode(free[0], "up")
    time.sleep(1.0)
    return broken


def make_step(count: int) -> dict[str, int]:
    """Return a step of subtasks with one GPU each."""
    return {
        "Count": count,
        "Cpu": 15_000,
        "MemMb": 44_000,
        "Gpu": 1,
        "EstRuntimeMs": 2_000,
    }


def check_counts(rig: Rig) -> list[str]:
    """Return the counts that show under half of the jobs that haven't begun."""
    broken = []
    for name in rig.settings:
        status, answer = rig.ask(name, "GET")
        rows = rig.read_runs()
        begun = {row["task"].split(".")[0] for row in rows if row["what"] == "start"}
        left = [job for job in WAITING if job not in begun]
        if status == 200 and 2 * answer["Pending"] < len(left):
            state = rig.ask(name, "GET", left[0])[1].get("State")
            broken.append(
                f"MIXED: {name} gives {answer['Pending']} as Pending; {len(left)} jobs "
                f"accepted over 5 s ago haven't begun; one is shown as {state}"
            )
    return broken


if __name__ == "__main__":
    run_case(Path(__file__).resolve().parent, play)
