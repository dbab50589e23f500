"""Encoding of store calls that one daemon relays for another."""

from dataclasses import dataclass
from typing import Any

from msgspec.msgpack import decode, encode

from geraniumwell.clients.table import (
    Committed,
    Conflict,
    HistoryCompactedError,
    RowRange,
    StoredRow,
    StoreError,
    StoreOutcomeUnknownError,
    StoreRefusedError,
)
from geraniumwell.codec.json import DECODER_ERRORS, CodecError

METHOD_COMMIT = "Commit"
METHOD_READ = "Read"
METHOD_WATCH = "Watch"
CODE_CONFLICT = "conflict"
CODE_OK = "ok"
ERRORS: dict[str, type[StoreError]] = {
    cls.code: cls
    for cls in (HistoryCompactedError, StoreRefusedError, StoreOutcomeUnknownError)
}


@dataclass(slots=True, frozen=True)
class ReadCall:
    """A relayed read of rows."""

    table: str
    first: str
    limit: int
    part: str


@dataclass(slots=True, frozen=True)
class WatchCall:
    """A relayed wait for changes."""

    table: str
    after: int
    seconds: float


@dataclass(slots=True, frozen=True)
class RelayedAnswer:
    """Response of the store, or the code of an error."""

    code: str
    detail: str = ""
    version: int = 0
    rows: tuple[StoredRow, ...] = ()
    is_partial: bool = False


def encode_relayed(value: Any) -> bytes:
    """Return the bytes of a relayed call or response."""
    return encode(value)


def decode_relayed(data: bytes, kind: Any) -> Any:
    """Return the relayed call or response decoded from bytes.

    Raises
    ------
    CodecError
        If the bytes hold something else.
    """
    try:
        return decode(data, type=kind)
    except DECODER_ERRORS as exc:
        raise CodecError(f"invalid {kind.__name__}: {exc}") from exc


def make_relayed_answer(result: Committed | Conflict | RowRange) -> RelayedAnswer:
    """Return the relayed response for a result of the store."""
    match result:
        case Committed(version):
            return RelayedAnswer(CODE_OK, version=version)
        case Conflict(rows):
            return RelayedAnswer(CODE_CONFLICT, rows=rows)
        case RowRange(rows, version, is_partial):
            return RelayedAnswer(CODE_OK, "", version, rows, is_partial)


def raise_relayed_error(answer: RelayedAnswer) -> None:
    """Raise the error in a relayed response, if there is one."""
    if answer.code in (CODE_OK, CODE_CONFLICT):
        return
    raise ERRORS.get(answer.code, StoreOutcomeUnknownError)(answer.detail)
