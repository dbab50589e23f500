"""Endpoints that are leaving, as reported by the platform or set by operators."""

from collections.abc import Iterable

from geraniumwell.clients.platform import VmEntry
from geraniumwell.const import PLANNED_STOP_LEAD_SECONDS
from geraniumwell.model.config import Configuration


def find_leaving(
    cfg: Configuration, vms: Iterable[VmEntry], wall_now: float
) -> frozenset[str]:
    """Return the names of the VMs, workers and endpoints that get no new work.

    Parameters
    ----------
    cfg : Configuration
        Holds the drains and planned stops.
    vms : iterable of VmEntry
        The platform's list of VMs; an endpoint has the name of its VM.
    wall_now : float
        Unix seconds.
    """
    stopping = (
        stop.target
        for stop in cfg.stops.values()
        if stop.starts_at - PLANNED_STOP_LEAD_SECONDS <= wall_now < stop.ends_at
    )
    return frozenset((*(vm.name for vm in vms if vm.leaving), *stopping, *cfg.drained))
