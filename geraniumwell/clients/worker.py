"""Client of one worker of the platform, over one HTTP connection."""

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

CONNECT_SECONDS = 0.5
# Reserving and starting a gang must fit into the claim bound with one lost call.
READ_SECONDS = 1.0

T = TypeVar("T")


@dataclass(slots=True, frozen=True)
class Renewal:
    """Answer to a renewal.

    ``ended`` holds every unacknowledged task of the worker that has ended, and
    ``unknown`` the lease ids that the worker does not hold.
    """

    ended: tuple[TaskReport, ...] = ()
    unknown: tuple[str, ...] = ()


class WorkerClient(Protocol):
    """What the product needs of a worker; every call may raise WorkerError.

    Each call carries the decider's epoch, and the worker refuses one below the
    highest that it has seen. Each call may be repeated without further effect.
    """

    def reserve(self, epoch: int, lease: TaskLease, ttl_seconds: float) -> TaskReport:
        """Reserve resources; the worker does not check whether they are free."""

    def start(self, epoch: int, lease_id: str) -> TaskReport:
        """Start the task of a reserved lease; the lease keeps its end."""

    def renew(
        self, epoch: int, lease_ids: tuple[str, ...], ttl_seconds: float
    ) -> Renewal:
        """Let live leases end ``ttl_seconds`` from now; ended ones stay ended."""

    def checkpoint(self, epoch: int, lease_id: str) -> TaskReport:
        """Begin to save the progress of a running task."""

    def throttle(self, epoch: int, lease_id: str, share: float) -> TaskReport:
        """Limit a running task to a share of its resources."""

    def stop(self, epoch: int, lease_id: str) -> TaskReport | None:
        """End a lease for good; None if the worker never held it."""

    def acknowledge(self, epoch: int, lease_ids: tuple[str, ...]) -> None:
        """Drop ended leases from the inventory; live ones stay."""

    def inventory(self, epoch: int) -> Inventory:
        """Return all leases that the worker holds."""

    def close(self) -> None:
        """Close the connection."""


class HttpWorkerClient:
    """Client of one worker over HTTP with JSON bodies; not for several threads."""

    __slots__ = ("_worker", "_pool")

    def __init__(self, worker: Worker) -> None:
        self._worker = worker
        self._pool: HTTPConnectionPool = self._open()

    def _open(self) -> HTTPConnectionPool:
        return make_pool(self._worker.address, CONNECT_SECONDS, READ_SECONDS)

    def _call(self, operation: str, epoch: int, kind: type[T], **args: Any) -> T:
        name = self._worker.name
        body = encode_json({"epoch": epoch, **args})
        try:
            resp = self._pool.request("POST", f"/tasks/{operation}", body=body)
        except (NewConnectionError, ConnectTimeoutError) as exc:
            raise WorkerNotReachedError(name, str(exc)) from exc
        except HTTPError as exc:
            # A connection that went silent once may hold a late answer.
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
            raise WorkerError(name, f"{operation} got status {resp.status}")
        try:
            return decode_json(resp.data, kind)
        except CodecError as exc:
            raise WorkerUnavailableError(name, str(exc)) from exc

    def reserve(self, epoch: int, lease: TaskLease, ttl_seconds: float) -> TaskReport:
        """Reserve resources; the worker does not check whether they are free."""
        return self._call(
            "reserve", epoch, TaskReport, lease=lease, ttl_seconds=ttl_seconds
        )

    def start(self, epoch: int, lease_id: str) -> TaskReport:
        """Start the task of a reserved lease; the lease keeps its end."""
        return self._call("start", epoch, TaskReport, lease_id=lease_id)

    def renew(
        self, epoch: int, lease_ids: tuple[str, ...], ttl_seconds: float
    ) -> Renewal:
        """Let live leases end ``ttl_seconds`` from now; ended ones stay ended."""
        return self._call(
            "renew", epoch, Renewal, lease_ids=lease_ids, ttl_seconds=ttl_seconds
        )

    def checkpoint(self, epoch: int, lease_id: str) -> TaskReport:
        """Begin to save the progress of a running task."""
        return self._call("checkpoint", epoch, TaskReport, lease_id=lease_id)

    def throttle(self, epoch: int, lease_id: str, share: float) -> TaskReport:
        """Limit a running task to a share of its resources."""
        return self._call("throttle", epoch, TaskReport, lease_id=lease_id, share=share)

    def stop(self, epoch: int, lease_id: str) -> TaskReport | None:
        """End a lease for good; None if the worker never held it."""
        try:
            return self._call("stop", epoch, TaskReport, lease_id=lease_id)
        except LeaseUnknownError:
            return None

    def acknowledge(self, epoch: int, lease_ids: tuple[str, ...]) -> None:
        """Drop ended leases from the inventory; live ones stay."""
        self._call("acknowledge", epoch, dict, lease_ids=lease_ids)

    def inventory(self, epoch: int) -> Inventory:
        """Return all leases that the worker holds."""
        return self._call("inventory", epoch, Inventory)

    def close(self) -> None:
        """Close the connection; the next call opens a new one."""
        self._pool.close()
        self._pool = self._open()
