"""Access to the table store through other daemons if it can't be reached directly."""

from collections.abc import Callable
from typing import Any

from grpc import Channel, RpcError, StatusCode, insecure_channel

from geraniumwell.clients.grpc_refusals import is_limit_refusal
from geraniumwell.clients.table import (
    Committed,
    Conflict,
    RowRange,
    StoreError,
    StoreOutcomeUnknownError,
    StoreRefusedError,
    TableClient,
    TableTransaction,
)
from geraniumwell.codec.json import CodecError
from geraniumwell.codec.table_relay import (
    CODE_CONFLICT,
    METHOD_COMMIT,
    METHOD_READ,
    METHOD_WATCH,
    ReadCall,
    RelayedAnswer,
    WatchCall,
    decode_relayed,
    encode_relayed,
    raise_relayed_error,
)
from geraniumwell.helpers.batch_metrics import RELAYED_CALLS

RELAY_SERVICE = "geraniumwell.StoreRelay"
# Timeout of a relayed call; the call of the other daemon takes up to a second.
RELAY_TIMEOUT_SECONDS = 1.1
# A large response takes longer than that on a slow link, and a fixed timeout would
# abort every attempt. After each timeout that of reads doubles, up to this value.
MAX_RELAY_TIMEOUT_SECONDS = 4.4
# Number of peers that are tried before a call fails.
RELAY_ATTEMPTS = 2
# Limits of the reconnect backoff: a peer that is back is reached again within a second.
CHANNEL_OPTIONS = (
    ("grpc.initial_reconnect_backoff_ms", 200),
    ("grpc.min_reconnect_backoff_ms", 200),
    ("grpc.max_reconnect_backoff_ms", 1_000),
    ("grpc.enable_http_proxy", 0),
)


class PeerDirectory:
    """Addresses of the peers; the peer registry replaces the attributes as a whole.

    Attributes
    ----------
    addresses : tuple of str
        Relay addresses, in the order in which they are tried.
    cores_by_address : dict
        Processor cores of the VM of each peer, by address.
    """

    __slots__ = ("_channels", "addresses", "cores_by_address")

    def __init__(self) -> None:
        self.addresses: tuple[str, ...] = ()
        self.cores_by_address: dict[str, float] = {}
        self._channels: dict[str, Channel] = {}

    @property
    def max_peer_cores(self) -> float:
        """Processor cores of the strongest VM; 0 if no peer is known."""
        return max(self.cores_by_address.values(), default=0.0)

    def move_to_front(self, address: str) -> None:
        """Try this peer first from now on."""
        others = tuple(item for item in self.addresses if item != address)
        self.addresses = (address, *others)

    def move_to_back(self, address: str) -> None:
        """Try this peer last from now on."""
        others = tuple(item for item in self.addresses if item != address)
        self.addresses = (*others, address)

    def get_channel(self, address: str) -> Channel:
        """Return the channel to a peer."""
        channel = self._channels.get(address)
        if channel is None:
            channel = insecure_channel(address, options=CHANNEL_OPTIONS)
            # Another thread may have created one in the meantime; both are usable.
            self._channels[address] = channel
        return channel


class RelayTableClient:
    """Client of the store that makes each call through a peer.

    Threads may share it: a lost update of the timeout only costs one more attempt.
    """

    __slots__ = ("_peers", "_read_timeout")

    def __init__(
        self, peers: PeerDirectory, read_seconds: float = RELAY_TIMEOUT_SECONDS
    ) -> None:
        self._peers = peers
        self._read_timeout = read_seconds

    def commit(self, transaction: TableTransaction) -> Committed | Conflict:
        """Commit a transaction."""
        answer = self._call(METHOD_COMMIT, transaction)
        if answer.code == CODE_CONFLICT:
            return Conflict(answer.rows)
        return Committed(answer.version)

    def read(
        self, table: str, first: str = "", limit: int = 0, part: str = ""
    ) -> RowRange:
        """Return rows of a partition, sorted by key, from ``first`` on."""
        answer = self._call(METHOD_READ, ReadCall(table, first, limit, part))
        return RowRange(answer.rows, answer.version, answer.is_partial)

    def watch(self, table: str, after: int, seconds: float) -> RowRange:
        """Wait for changes after a version; return the changed rows."""
        answer = self._call(METHOD_WATCH, WatchCall(table, after, seconds), seconds)
        return RowRange(answer.rows, answer.version)

    def can_reach_store(self, address: str, table: str, part: str) -> bool:
        """Return whether a peer responds and can read a row of the store."""
        try:
            answer = self._call_peer(
                address, METHOD_READ, ReadCall(table, "", 1, part), 0.0
            )
            raise_relayed_error(answer)
        except StoreError:
            return False
        return True

    def close(self) -> None:
        """Do nothing; the channels are shared."""

    def _call(self, method: str, call: Any, wait_seconds: float = 0.0) -> RelayedAnswer:
        error: StoreError = StoreRefusedError("no peer is known")
        for address in self._peers.addresses[:RELAY_ATTEMPTS]:
            try:
                answer = self._call_peer(address, method, call, wait_seconds)
            except StoreError as exc:
                RELAYED_CALLS.labels(method, exc.code).inc()
                self._peers.move_to_back(address)
                # A refusal by another peer does not undo a call that may have taken
                # effect.
                if not isinstance(error, StoreOutcomeUnknownError):
                    error = exc
                continue
            RELAYED_CALLS.labels(method, answer.code).inc()
            self._peers.move_to_front(address)
            try:
                raise_relayed_error(answer)
            except StoreRefusedError:
                if isinstance(error, StoreOutcomeUnknownError):
                    raise error from None
                raise
            return answer
        raise error

    def _call_peer(
        self, address: str, method: str, call: Any, wait_seconds: float
    ) -> RelayedAnswer:
        send = self._peers.get_channel(address).unary_unary(
            f"/{RELAY_SERVICE}/{method}"
        )
        is_commit = method == METHOD_COMMIT
        timeout = (
            RELAY_TIMEOUT_SECONDS if is_commit else self._read_timeout + wait_seconds
        )
        try:
            data = send(encode_relayed(call), timeout=timeout)
            if not is_commit:
                self._read_timeout = RELAY_TIMEOUT_SECONDS
            return decode_relayed(data, RelayedAnswer)
        except RpcError as exc:
            text = f"{method} through {address}: {exc.code()}"
            if exc.code() is StatusCode.DEADLINE_EXCEEDED and not is_commit:
                self._read_timeout = min(
                    2 * self._read_timeout, MAX_RELAY_TIMEOUT_SECONDS
                )
            is_unavailable = exc.code() is StatusCode.UNAVAILABLE and not is_commit
            if is_unavailable or is_limit_refusal(exc.code(), exc.details()):
                raise StoreRefusedError(text) from exc
            raise StoreOutcomeUnknownError(text) from exc
        except CodecError as exc:
            raise StoreOutcomeUnknownError(
                f"{method} through {address}: {exc}"
            ) from exc


class StoreHealth:
    """Reachability of the store from this daemon, shared by all its clients.

    Attributes
    ----------
    is_direct : bool
        Whether the last direct call to the store was answered.
    is_unreachable : bool
        Whether the last call failed both directly and through a peer.
    """

    __slots__ = ("_on_unreachable", "is_direct", "is_unreachable")

    def __init__(self) -> None:
        self.is_direct = True
        self.is_unreachable = False
        self._on_unreachable: Callable[[], None] | None = None

    def subscribe(self, on_unreachable: Callable[[], None]) -> None:
        """Call ``on_unreachable`` each time that the store becomes unreachable."""
        self._on_unreachable = on_unreachable

    def record_failure(self) -> None:
        """Record that a call failed both directly and through a peer."""
        if self.is_unreachable:
            return
        self.is_unreachable = True
        if self._on_unreachable is not None:
            self._on_unreachable()

    def record_success(self) -> None:
        """Record that a call was answered, directly or through a peer."""
        self.is_unreachable = False


class FailoverTableClient:
    """Client that calls the store directly, or through a peer while that fails.

    A transaction without a response is sent again on the other path. Its conditions
    prevent it from taking effect twice, as with any other retry.

    Parameters
    ----------
    is_probing : bool
        Whether calls always try the direct path first, and so detect that the store is
        reachable again.
    """

    __slots__ = ("_direct", "_health", "_is_probing", "_relay")

    def __init__(
        self,
        direct: TableClient,
        relay: TableClient,
        health: StoreHealth,
        is_probing: bool = False,
    ) -> None:
        self._direct = direct
        self._relay = relay
        self._health = health
        self._is_probing = is_probing

    def commit(self, transaction: TableTransaction) -> Committed | Conflict:
        """Commit a transaction."""
        return self._call(lambda client: client.commit(transaction))

    def read(
        self, table: str, first: str = "", limit: int = 0, part: str = ""
    ) -> RowRange:
        """Return rows of a partition, sorted by key, from ``first`` on."""
        return self._call(lambda client: client.read(table, first, limit, part))

    def watch(self, table: str, after: int, seconds: float) -> RowRange:
        """Wait for changes after a version; return the changed rows."""
        return self._call(lambda client: client.watch(table, after, seconds))

    def close(self) -> None:
        """Close the connection to the store."""
        self._direct.close()

    def _call(self, operation: Any) -> Any:
        if self._health.is_direct or self._is_probing:
            first, second = self._call_direct, self._call_relay
        else:
            first, second = self._call_relay, self._call_direct
        try:
            result = first(operation)
        except (StoreRefusedError, StoreOutcomeUnknownError) as exc:
            result = self._call_second(second, operation, exc)
        self._health.record_success()
        return result

    def _call_second(self, call: Any, operation: Any, error: StoreError) -> Any:
        try:
            return call(operation)
        except StoreRefusedError:
            self._health.record_failure()
            # The first call decides whether the operation may have taken effect.
            raise error from None
        except StoreOutcomeUnknownError:
            self._health.record_failure()
            raise

    def _call_direct(self, operation: Any) -> Any:
        try:
            result = operation(self._direct)
        except (StoreRefusedError, StoreOutcomeUnknownError):
            self._health.is_direct = False
            raise
        self._health.is_direct = True
        return result

    def _call_relay(self, operation: Any) -> Any:
        return operation(self._relay)
