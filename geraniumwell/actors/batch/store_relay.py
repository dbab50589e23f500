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

from geraniumwell.actors.intake.grpc_options import make_server_options
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

# Each watch call occupies a thread for up to two seconds.
RELAY_THREADS = 24
# Calls beyond these are refused by the library. Clients recognise that as not run and
# try another relay. A limit for all daemons would let 4 MiB wait for each call.
CONCURRENT_CALLS = 32
# A transaction of the scheduler holds the rows of all jobs that changed.
MESSAGE_LIMIT_BYTES = 4_194_304
CODE_UNREADABLE = "store_refused"


class StoreRelay:
    """Forwards calls to the store; each thread has its own connection.

    Parameters
    ----------
    address : str
        ``ip:port`` on which to listen.
    make_store : callable
        Returns a client that calls the store directly, so that no call is relayed
        again.
    """

    __slots__ = ("_local", "_make_store", "_server")

    def __init__(self, address: str, make_store: Callable[[], TableClient]) -> None:
        self._make_store = make_store
        self._local = local()
        self._server = server(
            ThreadPoolExecutor(RELAY_THREADS, thread_name_prefix="relay"),
            options=make_server_options(MESSAGE_LIMIT_BYTES, CONCURRENT_CALLS),
            maximum_concurrent_rpcs=CONCURRENT_CALLS,
        )
        self._server.add_generic_rpc_handlers(
            (method_handlers_generic_handler(RELAY_SERVICE, self._make_handlers()),)
        )
        self._server.add_insecure_port(address)

    def start(self) -> None:
        """Start the server."""
        self._server.start()

    def close(self) -> None:
        """Stop at once; the other daemons try another relay."""
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
            """Answer one call; errors of the store are part of the answer."""
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
