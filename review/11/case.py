"""A job runs after its cancelling was acknowledged, because its row was stored late."""

import sys
import time
from pathlib import Path

from review.support_3.installation import (
    BROKEN,
    HELD,
    CannotRunError,
    Installation,
    Record,
    run_case,
)

# Length of the disturbance, and how late its lost writes are done: 1 to 6 s.
LOSS_SECONDS = 2.0
LATE_SECONDS = 6.0
CONTACT_SECONDS = 3.0
CANCEL_SECONDS = 3.0
WATCH_SECONDS = 10.0
JOB = f"{0xAB:016x}"
STEP = {"Count": 3, "Cpu": 1000, "MemMb": 1000, "Gpu": 1, "EstRuntimeMs": 500}


def check(record: Record, has_trouble: bool) -> int:
    """Run the case."""
    installation = Installation(record, workers=8)
    try:
        body = {"Spec": JOB, "Steps": [STEP]}
        begin = time.monotonic()
        if has_trouble:
            installation.set_store_fault(mode="lose_key", key=JOB, late=LATE_SECONDS)
            record.write("the store loses the answers to some writes")
        status = installation.ask("front-a-1", "POST", JOB, body)
        if status in (429, 503):
            raise CannotRunError("the job was refused")
        # The client gives the job up, whether it has got an answer or not.
        status = installation.ask("front-b-1", "DELETE", JOB)
        acknowledged = time.monotonic()
        if status not in (200, 410):
            raise CannotRunError("the cancelling was not acknowledged")
        time.sleep(max(0.0, begin + LOSS_SECONDS - time.monotonic()))
        installation.set_store_fault(mode="up")
        calm_from = time.monotonic() + CONTACT_SECONDS
        lost = installation.read_output("store").splitlines()
        record.write(f"the store answers all writes again; until then: {lost[-1:]}")
        time.sleep(WATCH_SECONDS)
        late = 0
        for item in installation.read_runs():
            record.write(
                f"{item['worker']}: {item['what']} {item['task']} run {item['run']}, "
                f"{item['at'] - acknowledged:.3f} s after the cancelling's ack"
            )
            is_calm = not has_trouble or item["at"] > calm_from
            if item["what"] == "start" and is_calm:
                late += item["at"] > acknowledged + CANCEL_SECONDS
        state = installation.find_state("front-c-1", JOB)
        record.write(f"state at the end: {state}; starts that came too late: {late}")
        return BROKEN if late else HELD
    finally:
        installation.close()


if __name__ == "__main__":
    trouble, record_path = sys.argv[1:]
    sys.exit(run_case(check, trouble != "0", Path(record_path)))
