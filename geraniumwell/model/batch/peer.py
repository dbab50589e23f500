"""Another daemon, as described by its row in the store."""

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class Peer:
    """A daemon that relays calls to the store.

    Parameters
    ----------
    address : str
        ``ip:port`` of its relay.
    cores : float
        Processor cores of its VM.
    """

    address: str
    cores: float
