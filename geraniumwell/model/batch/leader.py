"""The stored leader claim of the scheduling daemon."""

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class LeaderRow:
    """The row that names the scheduling daemon.

    Parameters
    ----------
    holder : str
        Name and incarnation of the daemon; empty when the claim was released.
    epoch : int
        Increases with each claim; the fencing token of all orders.
    counter : int
        Increases with each transaction of the holder.
    pending : dict
        Number of jobs that have not begun, by queue.
    """

    holder: str
    epoch: int
    counter: int
    pending: dict[str, int]
