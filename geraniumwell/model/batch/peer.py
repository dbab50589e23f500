"""Another daemon as its row in the store describes it."""

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class Peer:
    """A daemon that relays calls to the store.

    Parameters
    ----------
    address : str
        ``ip:port`` of its relay.
    cores : float
        Processor of its VM, in cores.
    """

    address: str
    cores: float
