"""Table store by way of another daemon, for a daemon that can't reach it itself."""

from collections.abc import Callable
from typing import Any

from grpc import Channel, RpcError, StatusCode, insecure_channel

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
# The other daemon's own call takes up to a second.
RELAY_SECONDS = 1.1
# A large answer takes longer than that on a slow link, and would be cut off each time.
# After a cut the limit of reading calls doubles up to this.
RELAY_LIMIT_SECONDS = 4.4
# Peers that are asked before a call counts as failed.
RELAY_TRIES = 2
# A peer that came back is reached again within this time.
CHANNEL_OPTIONS = (
    ("grpc.initial_reconnect_backoff_ms", 200),
    ("grpc.min_reconnect_backoff_ms", 200),
    ("grpc.max_reconnect_backoff_ms", 1_000),
    ("grpc.enable_http_proxy", 0),
)


class PeerDirectory:
    """Addresses of the other daemons; replaced as a whole by their keeper.

    Attributes
    ----------
    addresses : tuple of str
        Relay addresses, in the order in which they are asked.
    cores_by_address : dict
        Processor of each daemon's VM in cores, by its address.
    """

    __slots__ = ("_channels", "addresses", "cores_by_address")

    def __init__(self) -> None:
        self.addresses: tuple[str, ...] = ()
        self.cores_by_address: dict[str, float] = {}
        self._channels: dict[str, Channel] = {}

    @property
    def max_peer_cores(self) -> float:
        """Processor of the strongest VM, in cores; 0 while none is known."""
        return max(self.cores_by_address.values(), default=0.0)

    def move_to_front(self, address: str) -> None:
        """Ask a peer that has answered first from now on."""
        rest = tuple(item for item in self.addresses if item != address)
        self.addresses = (address, *rest)

    def move_to_back(self, address: str) -> None:
        """Ask a peer that has not answered last from now on."""
        rest = tuple(item for item in self.addresses if item != address)
        self.addresses = (*rest, address)

    def get_channel(self, address: str) -> Channel:
        """Return the channel to a peer."""
        channel = self._channels.get(address)
        if channel is None:
            channel = insecure_channel(address, options=CHANNEL_OPTIONS)
            # Another thread may have made one meanwhile; either will do.
            self._channels[address] = channel
        return channel


class RelayTableClient:
    """Makes each call through a daemon that may reach the store.

    Threads may share it: a lost update of the time limit only costs one more attempt.
    """

    __slots__ = ("_peers", "_read_seconds")

    def __init__(
        self, peers: PeerDirectory, read_seconds: float = RELAY_SECONDS
    ) -> None:
        self._peers = peers
        self._read_seconds = read_seconds

    def commit(self, transaction: TableTransaction) -> Committed | Conflict:
        """Carry a transaction out."""
        answer = self._call(METHOD_COMMIT, transaction)
        if answer.code == CODE_CONFLICT:
            return Conflict(answer.rows)
        return Committed(answer.version)

    def read(
        self, table: str, first: str = "", limit: int = 0, part: str = ""
    ) -> RowRange:
        """Return rows of a part in the order of their keys, from ``first`` on."""
        answer = self._call(METHOD_READ, ReadCall(table, first, limit, part))
        return RowRange(answer.rows, answer.version, answer.is_partial)

    def watch(self, table: str, after: int, seconds: float) -> RowRange:
        """Return the rows changed after a version, once there are any."""
        answer = self._call(METHOD_WATCH, WatchCall(table, after, seconds), seconds)
        return RowRange(answer.rows, answer.version)

    def can_reach_store(self, address: str, table: str, part: str) -> bool:
        """Tell whether a daemon answers and reads a row of the store itself."""
        try:
            answer = self._ask(address, METHOD_READ, ReadCall(table, "", 1, part), 0.0)
            raise_relayed_error(answer)
        except StoreError:
            return False
        return True

    def close(self) -> None:
        """Do nothing; the channels are shared."""

    def _call(self, method: str, call: Any, wait_seconds: float = 0.0) -> RelayedAnswer:
        error: StoreError = StoreRefusedError("no other daemon is known")
        for address in self._peers.addresses[:RELAY_TRIES]:
            try:
                answer = self._ask(address, method, call, wait_seconds)
            except StoreError as exc:
                RELAYED_CALLS.labels(method, exc.code).inc()
                self._peers.move_to_back(address)
                # A call that may have been carried out stays so, whoever refuses next.
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

    def _ask(
        self, address: str, method: str, call: Any, wait_seconds: float
    ) -> RelayedAnswer:
        multicall = self._peers.get_channel(address).unary_unary(
            f"/{RELAY_SERVICE}/{method}"
        )
        is_commit = method == METHOD_COMMIT
        limit = RELAY_SECONDS if is_commit else self._read_seconds + wait_seconds
        try:
            data = multicall(encode_relayed(call), timeout=limit)
            if not is_commit:
                self._read_seconds = RELAY_SECONDS
            return decode_relayed(data, RelayedAnswer)
        except RpcError as exc:
            text = f"{method} by {address}: {exc.code()}"
            if exc.code() is StatusCode.DEADLINE_EXCEEDED and not is_commit:
                self._read_seconds = min(2 * self._read_seconds, RELAY_LIMIT_SECONDS)
            if exc.code() is StatusCode.UNAVAILABLE and not is_commit:
                raise StoreRefusedError(text) from exc
            raise StoreOutcomeUnknownError(text) from exc
        except CodecError as exc:
            raise StoreOutcomeUnknownError(f"{method} by {address}: {exc}") from exc


class StoreHealth:
    """Whether and how the store answers this daemon; shared by its clients.

    Attributes
    ----------
    is_direct : bool
        Whether the store has answered the last call that was made to it directly.
    is_unreachable : bool
        Whether the last call failed on every way.
    """

    __slots__ = ("_on_loss", "is_direct", "is_unreachable")

    def __init__(self) -> None:
        self.is_direct = True
        self.is_unreachable = False
        self._on_loss: Callable[[], None] | None = None

    def subscribe(self, on_loss: Callable[[], None]) -> None:
        """Call ``on_loss`` each time that the store is lost."""
        self._on_loss = on_loss

    def record_failure(self) -> None:
        """Note that a call failed on every way."""
        if self.is_unreachable:
            return
        self.is_unreachable = True
        if self._on_loss is not None:
            self._on_loss()

    def record_success(self) -> None:
        """Note that a call was answered, whichever way it took."""
        self.is_unreachable = False


class FailoverTableClient:
    """Calls the store, or another daemon while the store does not answer.

    A transaction that got no answer is sent again by the other way. Its conditions
    keep it from taking effect twice, as in any other repetition.

    Parameters
    ----------
    is_probing : bool
        Whether calls always try the store first, and so find that it is back.
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
        """Carry a transaction out."""
        return self._call(lambda client: client.commit(transaction))

    def read(
        self, table: str, first: str = "", limit: int = 0, part: str = ""
    ) -> RowRange:
        """Return rows of a part in the order of their keys, from ``first`` on."""
        return self._call(lambda client: client.read(table, first, limit, part))

    def watch(self, table: str, after: int, seconds: float) -> RowRange:
        """Return the rows changed after a version, once there are any."""
        return self._call(lambda client: client.watch(table, after, seconds))

    def close(self) -> None:
        """Close the connection to the store."""
        self._direct.close()

    def _call(self, make: Any) -> Any:
        if self._health.is_direct or self._is_probing:
            first, second = self._call_direct, self._call_relay
        else:
            first, second = self._call_relay, self._call_direct
        try:
            result = first(make)
        except (StoreRefusedError, StoreOutcomeUnknownError) as exc:
            result = self._call_second(second, make, exc)
        self._health.record_success()
        return result

    def _call_second(self, call: Any, make: Any, error: StoreError) -> Any:
        try:
            return call(make)
        except StoreRefusedError:
            self._health.record_failure()
            # The first call decides whether anything may have been carried out.
            raise error from None
        except StoreOutcomeUnknownError:
            self._health.record_failure()
            raise

    def _call_direct(self, make: Any) -> Any:
        try:
            result = make(self._direct)
        except (StoreRefusedError, StoreOutcomeUnknownError):
            self._health.is_direct = False
            raise
        self._health.is_direct = True
        return result

    def _call_relay(self, make: Any) -> Any:
        return make(self._relay)
