"""Readiness of a daemon to serve requests."""

from geraniumwell.model.request import Readiness, RefusalCode
from geraniumwell.model.serving import ServingState


def find_readiness(
    state: ServingState, has_shares: bool, is_stop_announced: bool, now: float
) -> Readiness:
    """Return the readiness of a daemon, with the reason if it is not ready.

    Parameters
    ----------
    state : ServingState
        Configuration and lease of the daemon.
    has_shares : bool
        Whether this daemon has endpoint shares, or all members adopted its assignment.
    is_stop_announced : bool
        Whether a stop of the daemon was announced.
    now : float
        Monotonic seconds.
    """
    if is_stop_announced:
        return Readiness(RefusalCode.STOPPING, "the daemon is stopping")
    if not state.cfg.version:
        reason = "no configuration was received from the platform or a peer"
        return Readiness(RefusalCode.NO_CONFIGURATION, reason)
    if now >= state.lease_until:
        reason = "the lease of this daemon in its data centre is not valid"
        return Readiness(RefusalCode.NO_LEASE, reason)
    if not has_shares:
        reason = "the other daemons have not released endpoint shares for this one yet"
        return Readiness(RefusalCode.NO_LEASE, reason)
    return Readiness()
