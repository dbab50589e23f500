"""gRPC server that calls the table store for other daemons."""

from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from threading import local
from typing import Any

from grpc import (
    RpcMethodHandler,
    ServicerContext,
    method_handlers_generic_handler,
    server,
    unary_unary_rpc_method_handler,
)

from geraniumwell.clients.table import StoreError, TableClient, TableTransaction
from geraniumwell.clients.table_relay import RELAY_SERVICE
from geraniumwell.codec.json import CodecError
from geraniumwell.codec.table_relay import (
    METHOD_COMMIT,
    METHOD_READ,
    METHOD_WATCH,
    ReadCall,
    RelayedAnswer,
    WatchCall,
    decode_relayed,
    encode_relayed,
    make_relayed_answer,
)

# Waits for changes hold a thread each, for up to two seconds.
RELAY_THREADS = 24
CODE_UNREADABLE = "store_refused"


class StoreRelay:
    """Answers calls with connections to the store that its threads own.

    Parameters
    ----------
    address : str
        ``ip:port`` on which to listen.
    make_store : callable
        Returns a client that calls the store itself, so that no call goes round.
    """

    __slots__ = ("_local", "_make_store", "_server")

    def __init__(self, address: str, make_store: Callable[[], TableClient]) -> None:
        self._make_store = make_store
        self._local = local()
        self._server = server(
            ThreadPoolExecutor(RELAY_THREADS, thread_name_prefix="relay"),
            options=(("grpc.so_reuseport", 0),),
        )
        self._server.add_generic_rpc_handlers(
            (method_handlers_generic_handler(RELAY_SERVICE, self._make_handlers()),)
        )
        self._server.add_insecure_port(address)

    def start(self) -> None:
        """Start to answer."""
        self._server.start()

    def close(self) -> None:
        """Stop at once; callers try another daemon."""
        self._server.stop(grace=None)

    def _make_handlers(self) -> dict[str, RpcMethodHandler]:
        calls = {
            METHOD_COMMIT: (TableTransaction, self._commit),
            METHOD_READ: (ReadCall, self._read),
            METHOD_WATCH: (WatchCall, self._watch),
        }
        return {
            name: unary_unary_rpc_method_handler(self._make_handler(kind, call))
            for name, (kind, call) in calls.items()
        }

    def _make_handler(
        self, kind: Any, call: Callable[[TableClient, Any], RelayedAnswer]
    ) -> Callable[[bytes, ServicerContext], bytes]:
        def handle(data: bytes, _: ServicerContext) -> bytes:
            """Answer one call; errors of the store are answers too."""
            try:
                answer = call(self._store(), decode_relayed(data, kind))
            except StoreError as exc:
                answer = RelayedAnswer(exc.code, str(exc))
            except CodecError as exc:
                answer = RelayedAnswer(CODE_UNREADABLE, str(exc))
            return encode_relayed(answer)

        return handle

    def _commit(self, store: TableClient, call: TableTransaction) -> RelayedAnswer:
        return make_relayed_answer(store.commit(call))

    def _read(self, store: TableClient, call: ReadCall) -> RelayedAnswer:
        return make_relayed_answer(
            store.read(call.table, call.first, call.limit, call.part)
        )

    def _watch(self, store: TableClient, call: WatchCall) -> RelayedAnswer:
        return make_relayed_answer(store.watch(call.table, call.after, call.seconds))

    def _store(self) -> TableClient:
        if not hasattr(self._local, "client"):
            self._local.client = self._make_store()
        return self._local.client
