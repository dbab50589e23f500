"""The project's worker stand-in with a kind, a capacity and a check-in interval.

Arguments: those of ``stand_ins.task_worker``, then the kind, and the capacity in
thousandths of a core. The entry is written at the start and, until the store takes it,
again after each check-in interval.
"""

import sys
import time
from base64 import b64encode
from json import dumps
from threading import Thread

from urllib3 import PoolManager, Retry
from urllib3.exceptions import HTTPError

from stand_ins.server import run_server
from stand_ins.task_worker import TaskWorker, WorkerArgs

HEARTBEAT_SECONDS = 1.5


def register(worker: TaskWorker, kind: str, cpu: int) -> None:
    """Write the worker's entry to the store; try again at each check-in."""
    http = PoolManager(retries=Retry(total=False), timeout=1.0)
    args = worker.args
    entry = {
        "Service": args.service,
        "Address": args.address,
        "Zone": "zone-a",
        "State": "ready",
        "Capacity": {"Cpu": cpu, "MemMb": 64_000, "Gpu": 8},
        "Labels": [kind, args.rack],
        "born": worker.born_ms,
    }
    value = b64encode(dumps(entry).encode()).decode()
    body = dumps({"Writes": [{"Table": "servers", "Key": args.id, "Value": value}]})
    while True:
        try:
            url = f"http://{args.store}/rows-tx"
            if http.request("POST", url, body=body).status == 200:
                return
        except HTTPError:
            pass
        time.sleep(HEARTBEAT_SECONDS)


def main() -> None:
    """Run the worker."""
    port, store, name, service, rack, seconds, record, kind, cpu = sys.argv[1:10]
    address = f"127.0.0.1:{port}"
    args = WorkerArgs(
        int(port), store, name, service, rack, float(seconds), record, address
    )
    worker = TaskWorker(args, born_ms=int(time.time() * 1000))
    Thread(target=worker.end_due_runs, daemon=True).start()
    Thread(target=register, args=(worker, kind, int(cpu)), daemon=True).start()
    run_server(args.port, worker.handle)


if __name__ == "__main__":
    main()
