"""The stored claim of the daemon that schedules."""

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class LeaderRow:
    """The row that names the scheduling daemon.

    Parameters
    ----------
    holder : str
        Name and incarnation of the daemon; empty when it gave the claim up.
    epoch : int
        Rises with each claim; the fencing token of all orders.
    counter : int
        Rises with each transaction of the holder.
    pending : dict
        Jobs that have not begun, by queue.
    """

    holder: str
    epoch: int
    counter: int
    pending: dict[str, int]
