"""A subtask that lasts ends by itself, as done."""

import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2]))

from review.support.rig import HAS_TROUBLE, CaseNotRunError, Rig, run_case  # noqa: E402

JOB = "3" * 16
STEP = {
    "Count": 3,
    "Cpu": 1_000,
    "MemMb": 1_000,
    "EstRuntimeMs": 500,
    "LongRunning": True,
}
# Index 0 ends as failed, for comparison; index 1 ends as done.
ENDS = {"0": [3_000, "failed"], "1": [4_000, "done"]}
# The rule: from 6 s after the last run of a subtask that lasts, for 3 s.
REST_SECONDS, STILL_SECONDS = 6.0, 3.0


def play(rig: Rig) -> list[str]:
    """Run a job that lasts, and end two of its subtasks once."""
    rig.start_all(2, 3)
    work = {"lasts": True} | ({"ends": ENDS} if HAS_TROUBLE else {})
    if rig.submit("daemon-1", JOB, work, STEP) != 200:
        raise CaseNotRunError("the job was not accepted")
    rig.wait("all subtasks at work", lambda: rig.count_runs("start") >= 3, 10.0)
    limit = time.monotonic() + 4.0 + REST_SECONDS + STILL_SECONDS + 3.0
    while time.monotonic() < limit:
        time.sleep(1.0)
        rig.ask("daemon-2", "GET", JOB)
    return find_gaps(rig, time.monotonic())


def find_gaps(rig: Rig, until: float) -> list[str]:
    """Return the subtasks that were away for too long after their last run."""
    ended: dict[str, tuple[float, str]] = {}
    broken = []
    for row in rig.read_runs():
        task = row["task"]
        if row["what"] in ("done", "failed", "stopped", "lapsed"):
            ended[task] = (row["at"], row["what"])
        elif row["what"] == "start":
            ended.pop(task, None)
    for task, (at, how) in ended.items():
        if until - at > REST_SECONDS + STILL_SECONDS:
            broken.append(
                f"LOST: {task} lasts, nobody cancelled its job, its run ended {how} "
                f"at {at - rig.begin:.3f} s and it wasn't started again within "
                f"{until - at:.1f} s on idle runners"
            )
    return broken


if __name__ == "__main__":
    run_case(Path(__file__).resolve().parent, play)
