"""A serving system of real processes: platform, endpoints and entry daemons."""

import json
from concurrent.futures import Future, ThreadPoolExecutor
from typing import Any

from behave.runner import Context

from tests.support.processes import (
    Process,
    call,
    make_settings,
    start_daemon,
    start_stand_in,
    wait_until,
)
from tests.support.tcp_proxy import TcpProxy

CLASSES = {
    "quote": {"rank": 0, "window_ms": 5000, "expected_ms": 50},
    "render": {"rank": 2, "window_ms": 20000, "expected_ms": 500},
    "confirm": {
        "rank": 1,
        "window_ms": 5000,
        "expected_ms": 50,
        "idempotent": False,
    },
}
TOKENS = [
    {"token": "desk-token", "organisation": "desks"},
    {"token": "other-token", "organisation": "others"},
]


class System:
    """Processes of one scenario; ``settings`` belong to a group of daemons."""

    __slots__ = (
        "_context",
        "_pool",
        "_version",
        "daemons",
        "endpoints",
        "platform",
        "settings",
    )

    def __init__(self, context: Context) -> None:
        self._context = context
        self.platform = self.keep(start_stand_in("platform"))
        self.endpoints: list[Process] = []
        self.daemons: list[Process] = []
        self.settings: list[dict[str, Any]] = []
        self._pool = ThreadPoolExecutor(64)
        self._version = 0

    def keep(self, process: Any) -> Any:
        """Register a process or proxy that is closed at the end of the scenario."""
        self._context.processes.append(process)
        return process

    def add_endpoints(self, count: int) -> None:
        """Start stand-in endpoints."""
        for _ in range(count):
            self.endpoints.append(self.keep(start_stand_in("endpoint")))

    def configure(
        self, addresses: list[str] | None = None, slots: int = 8, **changes: Any
    ) -> None:
        """Write the next version of the configuration.

        The service uses the addresses of the endpoints unless others are given.
        """
        if addresses is None:
            addresses = [ep.address for ep in self.endpoints]
        self._version += 1
        endpoints = [
            {
                "name": f"runner-{index + 1}",
                "data_centre": "dc-a",
                "address": address,
                "slots": slots,
                "connections": 64,
            }
            for index, address in enumerate(addresses)
        ]
        cfg = {
            "version": self._version,
            "classes": {name: {"name": name, **c} for name, c in CLASSES.items()},
            "services": {"booking": {"name": "booking", "endpoints": endpoints}},
            **changes,
        }
        puts = [{"key": "config/snapshot", "value": json.dumps(cfg)}]
        transaction = {"conditions": [], "puts": puts, "deletes": []}
        path = "/table/transactions"
        resp = call("POST", self.platform.address, path, json=transaction)
        assert resp.status == 200

    def start(self, wait: bool = True, **changes: Any) -> Process:
        """Start a daemon that knows two organisations."""
        cfg = make_settings(f"vm-{len(self.daemons) + 1}", "dc-a", "")
        cfg |= {"platform": self.platform.address, "caller_tokens": TOKENS, **changes}
        daemon = self.keep(start_daemon(cfg))
        self.daemons.append(daemon)
        if wait:
            wait_until(lambda: self.is_ready(daemon), "readiness")
        return daemon

    def start_group(self, count: int, through_proxies: bool = False) -> list[TcpProxy]:
        """Start daemons that are peers and wait until all are ready.

        With proxies, peers reach each other through them; returns the proxies.
        """
        group = [make_settings(f"vm-{n + 1}", "dc-a", "") for n in range(count)]
        addresses = [cfg["listen"]["peers"] for cfg in group]
        proxies = [self.keep(TcpProxy(a)) for a in addresses] if through_proxies else []
        if through_proxies:
            addresses = [proxy.address for proxy in proxies]
        peers = [
            {"vm": cfg["vm"], "data_centre": "dc-a", "address": address}
            for cfg, address in zip(group, addresses, strict=True)
        ]
        for number, cfg in enumerate(group):
            others = [peer for peer in peers if peer["vm"] != cfg["vm"]]
            cfg |= {"platform": self.platform.address, "caller_tokens": TOKENS}
            group[number] = cfg | {"peers": others}
        self.settings = group
        self.daemons = [self.keep(start_daemon(cfg)) for cfg in group]
        for daemon in self.daemons:
            wait_until(lambda d=daemon: self.is_ready(d), "readiness")
        return proxies

    def is_ready(self, daemon: Process) -> bool:
        """Return whether a daemon reports that it is ready."""
        return call("GET", daemon.address, "/readyz").status == 200

    def send(
        self,
        request_id: str = "",
        class_name: str = "quote",
        body: str = "body",
        timeout_ms: int = 10_000,
        token: str = "desk-token",
        daemon: int = 0,
    ) -> Any:
        """Send one request and return the response."""
        headers = {
            "Authorization": f"Bearer {token}",
            "Geraniumwell-Class": class_name,
            "Geraniumwell-Timeout-Ms": str(timeout_ms),
        }
        if request_id:
            headers["Geraniumwell-Request-Id"] = request_id
        address = self.daemons[daemon].address
        path = "/v1/requests/booking"
        return call("POST", address, path, headers=headers, body=body)

    def send_later(self, **request: Any) -> Future:
        """Send one request in another thread; return a future of the response."""
        return self._pool.submit(self.send, **request)

    def issue(
        self, count: int = 1, token: str = "desk-token", daemon: int = 0
    ) -> list[str]:
        """Issue tickets on a daemon."""
        headers = {"Authorization": f"Bearer {token}"}
        path = "/v1/tickets"
        address = self.daemons[daemon].address
        resp = call("POST", address, path, headers=headers, json={"count": count})
        assert resp.status == 200, resp.data
        return resp.json()["tickets"]

    def find(self, ticket: str, token: str = "desk-token", daemon: int = 0) -> Any:
        """Return the response to an outcome query."""
        headers = {"Authorization": f"Bearer {token}"}
        address = self.daemons[daemon].address
        return call("GET", address, f"/v1/outcomes/{ticket}", headers=headers)

    def set_fault(self, index: int = 0, **fault: Any) -> None:
        """Set the fault of an endpoint."""
        assert call("POST", self.endpoints[index].address, "/faults", json=fault)

    def count_runs(self) -> dict[str, int]:
        """Return how often each request ran on all endpoints that are alive."""
        total: dict[str, int] = {}
        for ep in self.endpoints:
            if ep.exit_status is not None:
                continue
            runs = call("GET", ep.address, "/executions").json()["runs"]
            for request_id, count in runs.items():
                total[request_id] = total.get(request_id, 0) + count
        return total

    def wait_for_run(self, request_id: str) -> None:
        """Wait until a request has started to run."""
        wait_until(lambda: request_id in self.count_runs(), f"a run of {request_id}")


def get_outcome(resp: Any) -> str:
    """Return the outcome of a response."""
    return resp.headers["Geraniumwell-Outcome"]


def get_code(resp: Any) -> str:
    """Return the error code of a response, or an empty string."""
    return resp.headers.get("Geraniumwell-Code", "")
