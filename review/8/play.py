"""An ended job whose rows could not be removed runs again after a lost history."""

import time
from pathlib import Path
from zlib import crc32

from review.support_2.deployment import (
    BROKEN,
    HELD,
    CaseError,
    Deployment,
    is_troubled,
    run_case,
    wait_until,
)

# Shortened, so that the retention time ends within a script of 120 s.
STATUS_SECONDS = 40
# The daemons forget an ended job after twice that time.
FORGOTTEN_SECONDS = 2 * STATUS_SECONDS
JOB_COUNT = 24
# Largest dose of ``platform_down`` with a share of the partitions, as played here: 0.31
# of 18 partitions (16 of jobs, one of the schedule, one of the daemons), for 3.8 s.
DOWN_SECONDS = 3.8
DOWN_PARTS = frozenset(f"jobs-{number:02}" for number in range(0, 10, 2))
MUTE_SECONDS = 1.0


def play(deployment: Deployment) -> int:
    """Play the case and return the verdict."""
    deployment.write_manifest({"desks": 4})
    deployment.start_runners(4)
    deployment.start_daemons(2, status_s=STATUS_SECONDS)
    jobs = [f"{number:016x}" for number in range(0x5C0E, 0x5C0E + JOB_COUNT)]
    for job in jobs:
        deployment.submit("plain", job, "desks", "0.3", Count=1, EstRuntimeMs=300)
    wait_until(
        lambda: len(deployment.events("noted")) >= JOB_COUNT,
        "the end of all jobs is taken note of",
        20,
    )
    ends = [event["at"] for event in deployment.events("done")]
    deployment.note(f"all jobs are done; {len(ends)} runs in {max(ends) - min(ends)} s")
    down = [job for job in jobs if find_part(job) in DOWN_PARTS]
    if max(ends) - min(ends) > 2.0 or not down:
        raise CaseError("the jobs ended too far apart")
    # Jobs are forgotten once a second, so the first to the last one take 3 s at most.
    sleep_until(min(ends) + FORGOTTEN_SECONDS - 0.3)
    if is_troubled():
        deployment.note(f"the store is down for the partitions {sorted(DOWN_PARTS)}")
        deployment.store.down_parts = DOWN_PARTS
    time.sleep(DOWN_SECONDS)
    deployment.store.down_parts = frozenset()
    deployment.note("the store is up")
    for at, keys in deployment.store.refused:
        deployment.note(f"refused at {at - deployment.begin:.3f}: {keys}")
    time.sleep(6.0)
    if is_troubled():
        deployment.note("watches hear nothing, then the history is dropped")
        deployment.store.are_watches_mute = True
    late = "00000000000000ff"
    deployment.submit("plain", late, "desks", "0.3", Count=1, EstRuntimeMs=300)
    time.sleep(MUTE_SECONDS)
    if is_troubled():
        deployment.store.drop_history()
    wait_until(lambda: deployment.events("done", job=late), "a later job ends", 20)
    time.sleep(4.0)
    return judge(deployment, jobs)


def find_part(job: str) -> str:
    """Return the partition in which the daemons keep a job."""
    return f"jobs-{crc32(job.encode()) % 16:02}"


def sleep_until(at: float) -> None:
    """Sleep until a monotonic time."""
    time.sleep(max(0.0, at - time.monotonic()))


def judge(deployment: Deployment, jobs: list[str]) -> int:
    """Return whether a subtask was started after its noted end as done."""
    noted = {e["task"] for e in deployment.events("noted") if e["detail"] == "done"}
    again = []
    for job in jobs:
        starts = deployment.events("start", job=job)
        if starts[0]["task"] not in noted:
            raise CaseError(f"the end of {job} was not taken note of")
        if len(starts) > 1:
            again.append(job)
    for job in again:
        deployment.note(f"TWICE: {job} was started again after its end as done")
        deployment.read_state("plain", job, "desks")
    return BROKEN if again else HELD


if __name__ == "__main__":
    run_case(Path(__file__).parent, play)
