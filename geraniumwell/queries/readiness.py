"""Whether a daemon can serve requests."""

from geraniumwell.model.request import Readiness, RefusalCode
from geraniumwell.model.serving import ServingState


def find_readiness(
    state: ServingState, is_joined: bool, is_stop_announced: bool, now: float
) -> Readiness:
    """Return why a daemon is not ready, or an empty answer if it is.

    Parameters
    ----------
    state : ServingState
        Configuration and lease of the daemon.
    is_joined : bool
        Whether the other daemons of the data centre have made room for this one.
    is_stop_announced : bool
        Whether the daemon will stop.
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
    if not is_joined:
        reason = "the other daemons have not made room for this one yet"
        return Readiness(RefusalCode.NO_LEASE, reason)
    return Readiness()
