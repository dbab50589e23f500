"""Cancellations of jobs, which are stored whether their jobs are stored or not."""

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class Cancellation:
    """The stored cancellation of a job id.

    Parameters
    ----------
    queues : tuple of str
        Queues through which the id was cancelled; empty for the rows of earlier
        versions, which hold no queue and apply to the job of any queue.
    cancelled_at : float
        Unix time in seconds of the last call that cancelled the id; 0 if unknown.
    version : int
        Version of the row in the store.
    """

    queues: tuple[str, ...] = ()
    cancelled_at: float = 0.0
    version: int = 0

    def applies_to(self, queue: str) -> bool:
        """Return whether the job of a queue is cancelled."""
        return not self.queues or queue in self.queues
