"""Settings of entry daemons that are peers, and a pair of such daemons."""

from typing import Any

from tests.support.processes import make_settings, start_daemon, wait_until
from tests.support.serving import TOKENS, System


def make_peer_settings(
    platforms: dict[str, str], data_centres: dict[str, str]
) -> dict[str, dict[str, Any]]:
    """Return settings of daemons that name each other as peers.

    Parameters
    ----------
    platforms : dict of str to str
        Address of the platform, or of a proxy to it, by VM.
    data_centres : dict of str to str
        Data centre by VM.
    """
    settings = {
        vm: make_settings(vm, dc, platforms[vm]) | {"caller_tokens": TOKENS}
        for vm, dc in data_centres.items()
    }
    for vm, cfg in settings.items():
        cfg["peers"] = [
            {
                "vm": other,
                "data_centre": data_centres[other],
                "address": settings[other]["listen"]["peers"],
            }
            for other in settings
            if other != vm
        ]
    return settings


def start_pair(
    system: System, data_centres: tuple[str, str] = ("dc-a", "dc-a"), **changes: Any
) -> dict[str, dict[str, Any]]:
    """Start ``vm-1`` and ``vm-2`` as peers and wait until both are ready."""
    data_centres_by_vm = {
        f"vm-{number + 1}": dc for number, dc in enumerate(data_centres)
    }
    platforms = dict.fromkeys(data_centres_by_vm, system.platform.address)
    settings = make_peer_settings(platforms, data_centres_by_vm)
    for cfg in settings.values():
        cfg |= changes
        system.daemons.append(system.keep(start_daemon(cfg)))
    for daemon in system.daemons:
        wait_until(lambda d=daemon: system.is_ready(d), "readiness")
    return settings
