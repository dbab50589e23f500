"""Actor that owns the gRPC channel to one other daemon."""

from dataclasses import dataclass
from pathlib import Path
from typing import Any

from grpc import (
    Channel,
    Future,
    RpcError,
    StatusCode,
    insecure_channel,
    secure_channel,
    ssl_channel_credentials,
)
from loguru import logger
from pykka import ActorDeadError, ActorRef, ThreadingActor

from geraniumwell.actors.peer_server import (
    MESSAGE_OPTIONS,
    METHOD_NAME,
    REFUSED_TEXT,
    SERVICE_NAME,
)
from geraniumwell.clients.grpc_refusals import is_limit_refusal
from geraniumwell.codec.json import CodecError
from geraniumwell.codec.peer import decode_peer_reply, encode_peer_message
from geraniumwell.helpers.control_metrics import (
    CHANNEL_PEERS,
    count_call,
    count_received,
)
from geraniumwell.messages.peer import (
    CallPeer,
    ForwardRequest,
    PeerAnswered,
    PeerCallFailed,
    PeerRequest,
)
from geraniumwell.model.settings import PeerAddress, Tls

# A channel whose calls time out may never respond again; a new one may work.
TIMEOUTS_BEFORE_RECONNECT = 2
CHANNEL_OPTIONS = (
    # A new channel must not share the connection of the unresponsive one.
    ("grpc.use_local_subchannel_pool", 1),
    ("grpc.initial_reconnect_backoff_ms", 200),
    ("grpc.max_reconnect_backoff_ms", 1000),
    ("grpc.enable_http_proxy", 0),
    *MESSAGE_OPTIONS,
)
# Error text of the gRPC core library if no connection could be made.
NOT_CONNECTED_TEXT = "failed to connect"


@dataclass(slots=True, frozen=True)
class CallEnded:
    """A call ended; sent to the link by a thread of the gRPC library."""

    call: CallPeer
    fut: Future
    channel: Channel


class PeerLink(ThreadingActor):
    """Calls one peer; several calls may be in flight at the same time."""

    use_daemon_thread = True

    def __init__(self, peer: PeerAddress, tls: Tls | None) -> None:
        super().__init__()
        self._peer = peer
        self._tls = tls
        self._timeouts = 0
        self._is_reachable = True
        self._open_calls: dict[Channel, int] = {}
        self._channel = self._open()

    def on_stop(self) -> None:
        """Close the channel."""
        self._channel.close()

    def on_receive(self, message: Any) -> None:
        """Handle one message."""
        match message:
            case CallPeer():
                self._call(message)
            case CallEnded(call, fut, channel):
                self._open_calls[channel] -= 1
                self._finish(call, fut)
                self._close_unused()

    def _open(self) -> Channel:
        address = self._peer.address
        if self._tls is None:
            return insecure_channel(address, options=CHANNEL_OPTIONS)
        credentials = ssl_channel_credentials(
            Path(self._tls.authority).read_bytes(),
            Path(self._tls.private_key).read_bytes(),
            Path(self._tls.certificate).read_bytes(),
        )
        return secure_channel(address, credentials, options=CHANNEL_OPTIONS)

    def _call(self, call: CallPeer) -> None:
        method = self._channel.unary_unary(f"/{SERVICE_NAME}/{METHOD_NAME}")
        data = encode_peer_message(call.body)
        if _is_control(call.body):
            count_call(CHANNEL_PEERS, type(call.body).__name__, len(data), 0)
        fut = method.future(data, timeout=call.seconds)
        channel = self._channel
        self._open_calls[channel] = self._open_calls.get(channel, 0) + 1
        ref = self.actor_ref
        fut.add_done_callback(lambda done: _tell(ref, CallEnded(call, done, channel)))

    def _finish(self, call: CallPeer, fut: Future) -> None:
        try:
            data = fut.result()
            if _is_control(call.body):
                count_received(CHANNEL_PEERS, len(data))
            body = decode_peer_reply(data)
        except RpcError as exc:
            self._fail(call, exc.code(), exc.details() or "")
        except CodecError as exc:
            _tell(
                call.receiver, PeerCallFailed(call.tag, self._peer.vm, True, str(exc))
            )
        else:
            self._timeouts = 0
            self._set_reachable(True, "")
            _tell(call.receiver, PeerAnswered(call.tag, self._peer.vm, body))

    def _fail(self, call: CallPeer, code: StatusCode, details: str) -> None:
        # The library uses the same code for a response that is too large, in which case
        # the peer has run the request.
        is_refused = is_limit_refusal(code, details) or (
            code == StatusCode.RESOURCE_EXHAUSTED and details == REFUSED_TEXT
        )
        is_unconnected = (
            code == StatusCode.UNAVAILABLE and NOT_CONNECTED_TEXT in details.lower()
        )
        reason = f"{code.name.lower()}: {details}"
        is_sent = not (is_refused or is_unconnected)
        _tell(call.receiver, PeerCallFailed(call.tag, self._peer.vm, is_sent, reason))
        self._set_reachable(is_refused, reason)
        if code != StatusCode.DEADLINE_EXCEEDED:
            return
        self._timeouts += 1
        if self._timeouts >= TIMEOUTS_BEFORE_RECONNECT:
            self._timeouts = 0
            self._channel = self._open()

    def _close_unused(self) -> None:
        """Close replaced channels without open calls, because closing cancels calls."""
        for channel, count in list(self._open_calls.items()):
            if count == 0 and channel is not self._channel:
                channel.close()
                del self._open_calls[channel]

    def _set_reachable(self, is_reachable: bool, reason: str) -> None:
        if is_reachable == self._is_reachable:
            return
        self._is_reachable = is_reachable
        if is_reachable:
            logger.info("peer {} is reachable again", self._peer.vm)
        else:
            logger.warning("peer {} is not reachable: {}", self._peer.vm, reason)


def _is_control(body: PeerRequest) -> bool:
    """Return whether a call is control traffic rather than a caller's request."""
    return not isinstance(body, ForwardRequest)


def _tell(receiver: ActorRef, message: Any) -> None:
    try:
        receiver.tell(message)
    except ActorDeadError:
        logger.debug("{} stopped before its call ended", receiver)
