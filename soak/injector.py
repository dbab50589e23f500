"""Injects the faults of a schedule, and removes them."""

from collections.abc import Callable
from contextlib import suppress
from signal import SIGHUP
from time import monotonic

from urllib3.exceptions import HTTPError

from soak.events import Event, WorkerEnded
from soak.faults import (
    LATE_EXECUTION_SECONDS,
    BreakStore,
    BreakWorker,
    ChangeKeys,
    CompactStore,
    CutPath,
    Fault,
    KillDaemon,
    KillWorker,
    LoadDaemon,
    PauseDaemon,
    SignalReload,
    StopDaemon,
)
from tests.support.batch_processes import KEY, Installation, set_fault
from tests.support.client_load import ClientLoad, make_request
from tests.support.tcp_proxy import TO_CLIENT, TO_SERVER, TcpProxy

LOAD_CONNECTIONS = 100
# The main thread sends the load, so it may not take long.
LOAD_SEND_SECONDS = 1.0
DIRECTIONS = {
    "both": (TO_SERVER, TO_CLIENT),
    "to_server": (TO_SERVER,),
    "to_client": (TO_CLIENT,),
}
STORE_MODES = {
    "busy": {"mode": "busy"},
    "silent": {"mode": "silent"},
    "slow": {"mode": "slow", "seconds": 0.25},
    "lose_answers": {"mode": "lose_answers", "share": 0.4},
    "lose_answers_late": {
        "mode": "lose_answers",
        "share": 0.4,
        "late": LATE_EXECUTION_SECONDS,
    },
}


class Injector:
    """Injects faults into one installation; owned by the main thread.

    Parameters
    ----------
    report : callable
        Receives the events that the checker needs.
    add_key : callable
        Receives the number of each key that the operator adds.
    """

    __slots__ = (
        "_add_key",
        "_is_key_change_due",
        "_is_store_up",
        "_key_number",
        "_installation",
        "_loads",
        "_report",
    )

    def __init__(
        self,
        installation: Installation,
        report: Callable[[Event], None],
        add_key: Callable[[int], None],
    ) -> None:
        self._installation = installation
        self._report = report
        self._add_key = add_key
        self._key_number = 0
        self._loads: dict[LoadDaemon, ClientLoad] = {}
        self._is_store_up = True
        self._is_key_change_due = False

    def begin(self, fault: Fault) -> None:
        """Inject a fault."""
        installation = self._installation
        match fault:
            case KillDaemon(name):
                installation.daemons[name].kill()
            case StopDaemon(name):
                installation.daemons[name].terminate()
            case PauseDaemon(name):
                installation.daemons[name].pause()
            case SignalReload(name):
                installation.daemons[name].send(SIGHUP)
            case CutPath(name, how):
                self._disturb_path(installation.proxies[name], how)
            case KillWorker(name):
                installation.workers[name].kill()
                self._report(WorkerEnded(name, monotonic()))
            case BreakWorker(name, mode):
                self._break_worker(name, mode)
            case BreakStore(mode):
                self._is_store_up = False
                installation.set_store_fault(**STORE_MODES[mode])
            case CompactStore():
                installation.compact()
            case ChangeKeys():
                self._change_keys()
            case LoadDaemon(name, kind):
                address = installation.settings[name]["callers"]
                load = ClientLoad(address, LOAD_CONNECTIONS, make_request(kind))
                self._loads[fault] = load
                load.send(LOAD_SEND_SECONDS)

    def end(self, fault: Fault) -> None:
        """Remove a fault."""
        installation = self._installation
        match fault:
            case KillDaemon(name):
                installation.start_daemon(name)
            case StopDaemon(name):
                # A daemon that is still draining is killed, as the platform would do.
                installation.daemons[name].close()
                installation.start_daemon(name)
            case PauseDaemon(name):
                installation.daemons[name].resume()
            case CutPath(name):
                installation.proxies[name].heal()
            case KillWorker(name):
                installation.start_worker(name)
            case BreakWorker(name):
                self._break_worker(name, "up")
            case BreakStore():
                installation.set_store_fault(mode="up")
                self._is_store_up = True
                if self._is_key_change_due:
                    self._change_keys()
            case LoadDaemon():
                self._loads.pop(fault).close()
            case SignalReload() | CompactStore() | ChangeKeys():
                return

    def _disturb_path(self, proxy: TcpProxy, how: str) -> None:
        match how:
            case "silence":
                proxy.silence_open()
            case "reset":
                proxy.reset_open()
            case _:
                proxy.cut(*DIRECTIONS[how])

    def _break_worker(self, name: str, mode: str) -> None:
        # The worker may be killed at the same time, and then needs no fault.
        with suppress(HTTPError):
            set_fault(self._installation.workers[name], mode=mode)

    def _change_keys(self) -> None:
        # The operator can't write while the store is broken, so the change waits.
        self._is_key_change_due = not self._is_store_up
        if self._is_key_change_due:
            return
        self._key_number += 1
        self._installation.write_config((KEY, f"key-x{self._key_number}"))
        self._add_key(self._key_number)
