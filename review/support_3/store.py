"""The project's store stand-in, which can lose the answers to the writes of one key.

``POST /faults`` with ``{"mode": "lose_key", "key": KEY, "late": SECONDS}`` leaves each
transaction that writes this key without an answer and executes it late, if its
conditions hold then. All other calls are answered as usual.
"""

import sys
import time
from http.server import BaseHTTPRequestHandler
from threading import Timer
from typing import Any

from stand_ins.server import run_server
from stand_ins.table_store import NO_ANSWER_SECONDS, TableStore


class LosingStore(TableStore):
    """Store that also counts the transactions that it got and those that it lost."""

    __slots__ = ("_counts",)

    def __init__(self, seed: int) -> None:
        super().__init__(seed)
        self._counts = {"writes": 0, "lost": 0}

    def _handle_commit(
        self,
        handler: BaseHTTPRequestHandler,
        call: dict[str, Any],
        fault: dict[str, Any],
    ) -> None:
        if fault["mode"] != "lose_key":
            super()._handle_commit(handler, call, fault)
            return
        self._counts["writes"] += 1
        is_lost = any(item["Key"] == fault["key"] for item in call.get("Writes", ()))
        self._counts["lost"] += is_lost
        print(f"lost {self._counts['lost']} of {self._counts['writes']}", flush=True)
        if not is_lost:
            super()._handle_commit(handler, call, fault)
            return
        timer = Timer(fault["late"], self._commit, (call,))
        timer.daemon = True
        timer.start()
        time.sleep(NO_ANSWER_SECONDS)
        handler.close_connection = True


if __name__ == "__main__":
    run_server(int(sys.argv[1]), LosingStore(int(sys.argv[2])).handle)
