"""gRPC server for peers, which passes their requests to actors."""

from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from threading import BoundedSemaphore

from grpc import (
    RpcMethodHandler,
    ServicerContext,
    StatusCode,
    method_handlers_generic_handler,
    server,
    ssl_server_credentials,
    unary_unary_rpc_method_handler,
)
from pykka import ActorRef, Future, ThreadingFuture, Timeout

from geraniumwell.actors.intake.grpc_options import make_server_options
from geraniumwell.codec.json import CodecError
from geraniumwell.codec.peer import decode_peer_request, encode_peer_message
from geraniumwell.const import RESPONSE_LIMIT_BYTES, STATEMENT_SECONDS
from geraniumwell.messages.peer import (
    CopyOutcomes,
    FindOutcome,
    ForwardRequest,
    Heartbeat,
    PeerReply,
    PeerRequest,
    PeerRequestReceived,
    ReadConfiguration,
    ReadLoad,
    RunStatement,
)
from geraniumwell.model.settings import Settings, Tls

METHOD_NAME = "Call"
SERVICE_NAME = "geraniumwell.Peer"
GRACE_SECONDS = 5.0
REPLY_SECONDS = 5.0
WORKER_THREADS = 64
# The other threads stay free for heartbeats while forwarded requests wait.
FORWARD_LIMIT = 48
# Additional time for the reply to a forwarded request after its own timeout.
FORWARD_MARGIN_SECONDS = 1.0
# A forwarded response may be as large as an endpoint's response, plus its other fields.
MESSAGE_LIMIT_BYTES = RESPONSE_LIMIT_BYTES + 65_536
MESSAGE_OPTIONS = (
    ("grpc.max_receive_message_length", MESSAGE_LIMIT_BYTES),
    ("grpc.max_send_message_length", MESSAGE_LIMIT_BYTES),
)
# Calls beyond these are refused by the library, which clients recognise as not run. A
# much higher limit would hold that many messages while they wait for a thread.
CONCURRENT_CALLS = WORKER_THREADS * 2
# Other fields of a forwarded request, and messages without a body.
OTHER_FIELDS_BYTES = 1_048_576
REFUSED_TEXT = "too many forwarded requests"


class PeerReceivers:
    """Actors that answer the requests of peers."""

    __slots__ = ("config_manager", "dispatcher", "member", "operators")

    def __init__(
        self,
        member: ActorRef,
        dispatcher: ActorRef,
        config_manager: ActorRef,
        operators: ActorRef | None,
    ) -> None:
        self.member = member
        self.dispatcher = dispatcher
        self.config_manager = config_manager
        self.operators = operators


class PeerServer:
    """Owns the listening socket for peers."""

    __slots__ = ("_forwards", "_receivers", "_server")

    def __init__(self, cfg: Settings, receivers: PeerReceivers) -> None:
        self._receivers = receivers
        self._forwards = BoundedSemaphore(FORWARD_LIMIT)
        pool = ThreadPoolExecutor(WORKER_THREADS, thread_name_prefix="peers")
        # Bodies are encoded as text, which takes a third more.
        receive_bytes = cfg.limits.body_bytes * 2 + OTHER_FIELDS_BYTES
        options = make_server_options(receive_bytes, CONCURRENT_CALLS)
        self._server = server(
            pool,
            options=(*options, ("grpc.max_send_message_length", MESSAGE_LIMIT_BYTES)),
            maximum_concurrent_rpcs=CONCURRENT_CALLS,
        )
        handlers: dict[str, RpcMethodHandler] = {
            METHOD_NAME: unary_unary_rpc_method_handler(self._handle)
        }
        self._server.add_generic_rpc_handlers(
            (method_handlers_generic_handler(SERVICE_NAME, handlers),)
        )
        address = cfg.listen.peers
        if cfg.tls is None:
            self._server.add_insecure_port(address)
        else:
            self._server.add_secure_port(address, _make_credentials(cfg.tls))

    def start(self) -> None:
        """Start accepting calls."""
        self._server.start()

    def close(self) -> None:
        """Refuse new calls and wait for those in progress."""
        self._server.stop(GRACE_SECONDS).wait()

    def _handle(self, data: bytes, context: ServicerContext) -> bytes:
        try:
            body = decode_peer_request(data)
        except CodecError as exc:
            context.abort(StatusCode.INVALID_ARGUMENT, str(exc))
        if isinstance(body, RunStatement):
            # The decider may wait this long for the platform.
            return self._ask(body, STATEMENT_SECONDS, context)
        if not isinstance(body, ForwardRequest):
            return self._ask(body, REPLY_SECONDS, context)
        if not self._forwards.acquire(blocking=False):
            context.abort(StatusCode.RESOURCE_EXHAUSTED, REFUSED_TEXT)
        try:
            seconds = body.remaining_ms / 1000 + FORWARD_MARGIN_SECONDS
            return self._ask(body, seconds, context)
        finally:
            self._forwards.release()

    def _ask(
        self, body: PeerRequest, seconds: float, context: ServicerContext
    ) -> bytes:
        receiver = self._find_receiver(body)
        if receiver is None:
            context.abort(StatusCode.UNIMPLEMENTED, "no receiver for this request")
        reply: Future[PeerReply] = ThreadingFuture()
        receiver.tell(PeerRequestReceived(body, reply))
        try:
            return encode_peer_message(reply.get(timeout=seconds))
        except Timeout:
            context.abort(StatusCode.DEADLINE_EXCEEDED, "no reply in time")

    def _find_receiver(self, body: PeerRequest) -> ActorRef | None:
        match body:
            case Heartbeat():
                return self._receivers.member
            case ForwardRequest() | CopyOutcomes() | FindOutcome() | ReadLoad():
                return self._receivers.dispatcher
            case ReadConfiguration():
                return self._receivers.config_manager
            case RunStatement():
                return self._receivers.operators
        return None


def _make_credentials(tls: Tls) -> object:
    pair = (Path(tls.private_key).read_bytes(), Path(tls.certificate).read_bytes())
    authority = Path(tls.authority).read_bytes()
    return ssl_server_credentials([pair], authority, require_client_auth=True)
