"""A row of the registry that another writer wrote and that can't be read."""

import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2]))

from review.support.rig import HAS_TROUBLE, CaseNotRunError, Rig, run_case  # noqa: E402

BEFORE, AFTER = "1" * 16, "2" * 16
STEP = {"Count": 2, "Cpu": 1_000, "MemMb": 1_000, "Gpu": 1, "EstRuntimeMs": 500}
WORK = {"ms": 500}
# A value of 30 kB; the store takes 65,536 bytes (RowBytes).
UNREADABLE = b"[" * 30_000
# finish_s of the sites, and the 3 s of the rule.
FINISH_SECONDS, STILL_SECONDS = 14.0, 3.0


def play(rig: Rig) -> list[str]:
    """Hand in a job before and a job after the foreign row."""
    rig.start_all(2, 3)
    if rig.submit("daemon-1", BEFORE, WORK, STEP) != 200:
        raise CaseNotRunError("the first job was not accepted")
    rig.wait("first job", lambda: rig.count_runs("done") == 2, 10.0)
    if HAS_TROUBLE:
        rig.put("servers", "of-another-writer", UNREADABLE)
        rig.note("another writer: servers/of-another-writer can't be read")
    time.sleep(1.0)
    if rig.submit("daemon-1", AFTER, WORK, STEP) != 200:
        raise CaseNotRunError("the second job was not accepted")
    limit = time.monotonic() + FINISH_SECONDS + STILL_SECONDS
    while time.monotonic() < limit and rig.count_runs("done") < 4:
        time.sleep(0.5)
    states = [
        rig.ask(name, "GET", AFTER)[1].get("State", "no answer")
        for name in ("daemon-1", "daemon-2")
    ]
    if any(row["task"].startswith(AFTER) for row in rig.read_runs()):
        return []
    seconds = FINISH_SECONDS + STILL_SECONDS
    return [
        f"LOST: job {AFTER} was accepted; {seconds:.0f} s later none of its subtasks "
        f"has started on three idle runners; shown as {', '.join(states)}"
    ]


if __name__ == "__main__":
    run_case(Path(__file__).resolve().parent, play)
