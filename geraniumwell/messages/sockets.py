"""Messages about sockets to the actor that owns them."""

from dataclasses import dataclass
from typing import Any


@dataclass(slots=True, frozen=True)
class SocketsReady:
    """Owners of sockets that can be read or written; none if a timeout passed.

    Parameters
    ----------
    owners : tuple
        Objects that the actor registered with the sockets.
    selected_at : float
        Monotonic time before the sockets were polled; everything that had arrived by
        then is included.
    """

    owners: tuple[Any, ...]
    selected_at: float
