"""Compressed rows of the store."""

from typing import Any
from zlib import compress, decompress
from zlib import error as ZlibError

from msgspec.msgpack import decode, encode

from geraniumwell.codec.json import DECODER_ERRORS, CodecError

# Rows are small and written often, so speed matters more than size.
COMPRESSION_LEVEL = 1


def pack_row(value: Any) -> bytes:
    """Return the row with a value."""
    return compress(encode(value), COMPRESSION_LEVEL)


def unpack_row(data: bytes, kind: Any) -> Any:
    """Return the value of the given type in a row.

    Raises
    ------
    CodecError
        If the row holds something else.
    """
    try:
        return decode(decompress(data), type=kind)
    except (ZlibError, *DECODER_ERRORS) as exc:
        raise CodecError(f"row holds no {kind}: {exc}") from exc
