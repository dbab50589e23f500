"""More than 500 ends wait on one runner while the store is down."""

import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2]))

from review.support.rig import HAS_TROUBLE, CaseNotRunError, Rig, run_case  # noqa: E402

JOB = "5c0e7a21d94b36f8"
COUNT = 640
# 640 subtasks of 0.2 cores fill a runner of 128 cores.
STEP = {"Count": COUNT, "Cpu": 200, "MemMb": 500, "EstRuntimeMs": 7_000}
WORK = {"ms": 7_000, "spread_ms": 500}
# The pages: platform_down for_s = 4.5, how = "busy" (sites/chifre-ne.toml).
DOWN_SECONDS = 4.3


def play(rig: Rig) -> list[str]:
    """Run one job, with the store down while its subtasks end."""
    rig.start_all(2, 1)
    if rig.submit("daemon-1", JOB, WORK, STEP) != 200:
        raise CaseNotRunError("the job was not accepted")
    rig.wait("all starts", lambda: rig.count_runs("start") >= COUNT, 20.0)
    first = rig.read_runs()[0]["at"]
    time.sleep(max(0.0, first + WORK["ms"] / 1_000 - 0.2 - time.monotonic()))
    if HAS_TROUBLE:
        rig.set_store_fault(mode="busy")
        time.sleep(DOWN_SECONDS)
        rig.set_store_fault(mode="up")
    state = ""
    limit = time.monotonic() + 40.0
    while state != "done" and time.monotonic() < limit:
        time.sleep(0.5)
        state = rig.ask("daemon-2", "GET", JOB)[1].get("State", "")
    time.sleep(1.0)
    return find_doubles(rig)


def find_doubles(rig: Rig) -> list[str]:
    """Return the starts after a run of the subtask ended done, and was noted."""
    rows = rig.read_runs()
    noted = {
        (row["task"], row["run"])
        for row in rows
        if row["what"] == "noted" and row["detail"] == "done"
    }
    done: dict[str, tuple[int, float]] = {}
    broken = []
    for row in rows:
        task = row["task"]
        if row["what"] == "done":
            done.setdefault(task, (row["run"], row["at"]))
        elif row["what"] == "start" and task in done:
            run, at = done[task]
            if (task, run) in noted:
                broken.append(
                    f"TWICE: {task} run {run} ended done at {at - rig.begin:.3f} s, "
                    f"which was taken note of; run {row['run']} started at "
                    f"{row['at'] - rig.begin:.3f} s"
                )
    lapsed = sum(row["what"] == "lapsed" for row in rows)
    rig.note(f"{len(done)} subtasks done, {lapsed} runs lapsed")
    return broken


if __name__ == "__main__":
    run_case(Path(__file__).resolve().parent, play)
