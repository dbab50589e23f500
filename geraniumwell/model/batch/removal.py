"""Ended jobs and cancellations whose rows are being removed from the store."""

from dataclasses import dataclass, field


@dataclass(slots=True, frozen=True)
class ExpiredJob:
    """A job id whose rows are to be removed.

    Parameters
    ----------
    id : str
        Id of the job.
    version : int
        Version of the job's row; 0 if there is only a cancellation.
    cancellation_version : int
        Version of the cancellation; 0 if there is none, or if it is kept for longer.
    """

    id: str
    version: int
    cancellation_version: int = 0


@dataclass(slots=True)
class RemovalState:
    """Progress of the removal of ended jobs from the store.

    Parameters
    ----------
    requested : set of str
        Ids of the jobs whose rows the store was asked to remove, until the feed of the
        job table shows that they are gone.
    in_flight : frozenset of str
        Ids of the request that has no result yet.
    removed : set of str
        Ids of the jobs whose rows are gone. Their progress is still stored, and they
        remain known until its removal is confirmed.
    retry_at : float
        ``boottime_seconds`` before which no request is made, because one has failed.
    """

    requested: set[str] = field(default_factory=set)
    in_flight: frozenset[str] = frozenset()
    removed: set[str] = field(default_factory=set)
    retry_at: float = 0.0
