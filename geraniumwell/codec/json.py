"""JSON encoding of data classes with msgspec."""

from typing import Any, Final, TypeVar

from msgspec import DecodeError
from msgspec.json import decode, encode

from geraniumwell.exceptions import GeraniumwellError

T = TypeVar("T")
# RecursionError is raised for data that is nested too deeply; it is not a DecodeError.
DECODER_ERRORS: Final = (DecodeError, RecursionError)


class CodecError(GeraniumwellError):
    """Data does not decode to a value of the expected type."""

    code = "codec_error"


def encode_json(value: Any) -> bytes:
    """Return the JSON text of a data class or plain value."""
    return encode(value)


def decode_json(data: bytes | str, kind: type[T]) -> T:
    """Return the value of type ``kind`` decoded from JSON text.

    Raises
    ------
    CodecError
        If the text is not JSON or holds another type.
    """
    try:
        return decode(data, type=kind)
    except DECODER_ERRORS as exc:
        raise CodecError(f"invalid {kind.__name__}: {exc}") from exc
