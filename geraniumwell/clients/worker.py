"""Client of one worker that runs tasks of gang jobs."""

from dataclasses import dataclass
from typing import Any, Protocol, TypeVar

from urllib3 import HTTPConnectionPool
from urllib3.exceptions import ConnectTimeoutError, HTTPError, NewConnectionError

from geraniumwell.clients.http import make_pool
from geraniumwell.codec.json import CodecError, decode_json, encode_json
from geraniumwell.exceptions import (
    LeaseUnknownError,
    StaleEpochError,
    WorkerError,
    WorkerNotReachedError,
    WorkerUnavailableError,
)
from geraniumwell.helpers.control_metrics import CHANNEL_WORKERS, count_call
from geraniumwell.model.worker import Inventory, TaskLease, TaskReport, Worker

CONNECT_TIMEOUT_SECONDS = 0.5
# Reserving and starting a gang has to finish within CLAIM_BOUND_SECONDS even if one
# call gets no response.
READ_TIMEOUT_SECONDS = 1.0

T = TypeVar("T")


@dataclass(slots=True, frozen=True)
class Renewal:
    """Response to a renewal of leases.

    Parameters
    ----------
    ended : tuple of TaskReport
        All ended tasks of the worker that are not acknowledged.
    unknown : tuple of str
        Lease ids that the worker does not know.
    """

    ended: tuple[TaskReport, ...] = ()
    unknown: tuple[str, ...] = ()


class WorkerClient(Protocol):
    """Interface of a client of a worker; each call may raise WorkerError.

    Each call contains the decider's epoch, and the worker refuses an epoch below the
    highest one that it has seen. All calls are idempotent.
    """

    def reserve(self, epoch: int, lease: TaskLease, ttl_seconds: float) -> TaskReport:
        """Reserve resources without a check whether they are free."""

    def start(self, epoch: int, lease_id: str) -> TaskReport:
        """Start the task of a reserved lease; its expiry does not change."""

    def renew(
        self, epoch: int, lease_ids: tuple[str, ...], ttl_seconds: float
    ) -> Renewal:
        """Renew active leases for ``ttl_seconds`` from now; ended ones stay ended."""

    def checkpoint(self, epoch: int, lease_id: str) -> TaskReport:
        """Start a checkpoint of a running task."""

    def throttle(self, epoch: int, lease_id: str, share: float) -> TaskReport:
        """Limit a running task to a share of its resources."""

    def stop(self, epoch: int, lease_id: str) -> TaskReport | None:
        """End a lease permanently; return None if the worker does not know it."""

    def acknowledge(self, epoch: int, lease_ids: tuple[str, ...]) -> None:
        """Remove ended leases from the inventory; active ones stay."""

    def inventory(self, epoch: int) -> Inventory:
        """Return all leases of the worker."""

    def close(self) -> None:
        """Close the connection."""


class HttpWorkerClient:
    """Client of one worker over HTTP with JSON bodies; not thread-safe."""

    __slots__ = ("_worker", "_pool")

    def __init__(self, worker: Worker) -> None:
        self._worker = worker
        self._pool: HTTPConnectionPool = self._open()

    def _open(self) -> HTTPConnectionPool:
        return make_pool(
            self._worker.address, CONNECT_TIMEOUT_SECONDS, READ_TIMEOUT_SECONDS
        )

    def _call(self, operation: str, epoch: int, kind: type[T], **args: Any) -> T:
        name = self._worker.name
        body = encode_json({"epoch": epoch, **args})
        try:
            resp = self._pool.request("POST", f"/tasks/{operation}", body=body)
        except (NewConnectionError, ConnectTimeoutError) as exc:
            raise WorkerNotReachedError(name, str(exc)) from exc
        except HTTPError as exc:
            # A late response could be read as that to the next call.
            self.close()
            raise WorkerUnavailableError(name, str(exc)) from exc
        count_call(CHANNEL_WORKERS, operation, len(body), len(resp.data))
        if resp.status == 409:
            raise StaleEpochError(name, epoch)
        if resp.status == 404:
            raise LeaseUnknownError(name, str(args.get("lease_id", "")))
        if resp.status >= 500:
            raise WorkerUnavailableError(name, f"status {resp.status}")
        if resp.status >= 400:
            raise WorkerError(name, f"{operation} returned status {resp.status}")
        try:
            return decode_json(resp.data, kind)
        except CodecError as exc:
            raise WorkerUnavailableError(name, str(exc)) from exc

    def reserve(self, epoch: int, lease: TaskLease, ttl_seconds: float) -> TaskReport:
        """Reserve resources without a check whether they are free."""
        return self._call(
            "reserve", epoch, TaskReport, lease=lease, ttl_seconds=ttl_seconds
        )

    def start(self, epoch: int, lease_id: str) -> TaskReport:
        """Start the task of a reserved lease; its expiry does not change."""
        return self._call("start", epoch, TaskReport, lease_id=lease_id)

    def renew(
        self, epoch: int, lease_ids: tuple[str, ...], ttl_seconds: float
    ) -> Renewal:
        """Renew active leases for ``ttl_seconds`` from now; ended ones stay ended."""
        return self._call(
            "renew", epoch, Renewal, lease_ids=lease_ids, ttl_seconds=ttl_seconds
        )

    def checkpoint(self, epoch: int, lease_id: str) -> TaskReport:
        """Start a checkpoint of a running task."""
        return self._call("checkpoint", epoch, TaskReport, lease_id=lease_id)

    def throttle(self, epoch: int, lease_id: str, share: float) -> TaskReport:
        """Limit a running task to a share of its resources."""
        return self._call("throttle", epoch, TaskReport, lease_id=lease_id, share=share)

    def stop(self, epoch: int, lease_id: str) -> TaskReport | None:
        """End a lease permanently; return None if the worker does not know it."""
        try:
            return self._call("stop", epoch, TaskReport, lease_id=lease_id)
        except LeaseUnknownError:
            return None

    def acknowledge(self, epoch: int, lease_ids: tuple[str, ...]) -> None:
        """Remove ended leases from the inventory; active ones stay."""
        self._call("acknowledge", epoch, dict, lease_ids=lease_ids)

    def inventory(self, epoch: int) -> Inventory:
        """Return all leases of the worker."""
        return self._call("inventory", epoch, Inventory)

    def close(self) -> None:
        """Close the connection; the next call opens a new one."""
        self._pool.close()
        self._pool = self._open()
