"""MessagePack encoding of the messages between daemons."""

from msgspec.msgpack import Decoder, Encoder

from geraniumwell.codec.json import DECODER_ERRORS, CodecError
from geraniumwell.messages.peer import PeerReply, PeerRequest

ENCODER = Encoder()
REPLY_DECODER = Decoder(PeerReply)
REQUEST_DECODER = Decoder(PeerRequest)


def encode_peer_message(message: PeerRequest | PeerReply) -> bytes:
    """Return the bytes of a request or reply."""
    return ENCODER.encode(message)


def decode_peer_request(data: bytes) -> PeerRequest:
    """Return the request decoded from bytes, or raise CodecError."""
    try:
        return REQUEST_DECODER.decode(data)
    except DECODER_ERRORS as exc:
        raise CodecError(f"not a peer request: {exc}") from exc


def decode_peer_reply(data: bytes) -> PeerReply:
    """Return the reply decoded from bytes, or raise CodecError."""
    try:
        return REPLY_DECODER.decode(data)
    except DECODER_ERRORS as exc:
        raise CodecError(f"not a peer reply: {exc}") from exc
