"""Request parser of waitress with work and memory that grow with the bytes only."""

from re import compile as compile_pattern
from typing import Any, Final

from waitress.parser import HTTPRequestParser
from waitress.receiver import ChunkedReceiver
from waitress.utilities import (
    BadRequest,
    RequestEntityTooLarge,
    RequestHeaderFieldsTooLarge,
)

from geraniumwell.model.intake import BODY_COST, HEAD_COST

HEAD_END: Final = b"\r\n\r\n"
# Each header becomes an entry of a dict, and repeated ones are joined again and again.
MAX_HEADER_LINES: Final = 128
# Line with the size of a chunk and its extensions.
MAX_CHUNK_LINE_BYTES: Final = 1_024
# Chunks that are complete in one read are parsed in a short loop; all others, and all
# errors, by waitress.
SMALL_CHUNK: Final = compile_pattern(rb"([0-9a-fA-F]{1,4})\r\n")
# Chunks of up to this size are parsed together if they follow each other.
MAX_RUN_CHUNK_BYTES: Final = 16
# Runs of chunks with the same line, by that line without zeros before the size.
CHUNK_RUNS: Final = {
    b"%x" % size: compile_pattern(rb"(?s:%x\r\n.{%d}\r\n)+" % (size, size))
    for size in range(1, MAX_RUN_CHUNK_BYTES + 1)
}


class BoundedChunkedReceiver(ChunkedReceiver):
    """Receiver of a chunked body with bounded lines and trailer."""

    max_trailer = 0

    def received(self, s: bytes) -> int:
        """Consume data; return the number of bytes consumed."""
        done = 0
        if not (
            self.chunk_remainder
            or self.validate_chunk_end
            or self.control_line
            or self.all_chunks_received
        ):
            done = self._receive_small_chunks(s)
        if done < len(s):
            done += super().received(s[done:])
        if len(self.control_line) > MAX_CHUNK_LINE_BYTES:
            self.error = BadRequest("Chunk size line too long")
        elif len(self.trailer) > self.max_trailer:
            self.error = RequestHeaderFieldsTooLarge("trailer too long")
        return done

    def _receive_small_chunks(self, data: bytes) -> int:
        """Append all chunks that are complete; return the number of bytes consumed."""
        pieces: list[bytes] = []
        begin = 0
        match_size = SMALL_CHUNK.match
        while found := match_size(data, begin):
            line = found[1]
            size = int(line, 16)
            first = found.end()
            last = first + size
            run = CHUNK_RUNS.get(line)
            if run is not None and (matched := run.match(data, begin)):
                pieces.append(_join_run(matched[0], len(line) + 2, size))
                begin = matched.end()
                continue
            if size == 0 or data[last : last + 2] != b"\r\n":
                break
            pieces.append(data[first:last])
            begin = last + 2
        if pieces:
            self.buf.append(b"".join(pieces))
        return begin


def _join_run(run: bytes, line_bytes: int, size: int) -> bytes:
    """Return the data of chunks that all have the same size."""
    period = line_bytes + size + 2
    data = bytearray(len(run) // period * size)
    for index in range(size):
        data[index::size] = run[line_bytes + index :: period]
    return bytes(data)


class BoundedParser(HTTPRequestParser):
    """Parser of one request that bounds heads, lines, trailers and decoded bodies.

    ``adj`` has the limit of the head; that of the body is ``body_limit``, which may be
    lowered once the head is known. waitress counts the framing of chunks as well, which
    would refuse a legal body in chunks of one byte.
    """

    body_limit = 0

    def __init__(self, adj: Any) -> None:
        super().__init__(adj)
        self._head = bytearray()
        self._head_bytes = 0

    @property
    def held_bytes(self) -> int:
        """Memory that the request takes, estimated from above."""
        held = len(self._head) + self._head_bytes * HEAD_COST
        receiver = self.body_rcv
        if receiver is None:
            return held
        held += int(len(receiver) * BODY_COST)
        if self.chunked:
            held += len(receiver.control_line) + len(receiver.trailer)
        return held

    def received(self, data: bytes) -> int:
        """Consume data; return the number of bytes consumed.

        Values that waitress does not expect, such as the URI ``http://[`` or a length
        of more digits than ``int`` accepts, make it raise ValueError.
        """
        try:
            return self._receive(data)
        except ValueError:
            self.error = BadRequest("Malformed request")
            self.completed = True
            return len(data)

    def _receive(self, data: bytes) -> int:
        if self.body_rcv is not None:
            return self._receive_body(data)
        before = len(self._head)
        self._head += data
        # Only new bytes are searched, because a head may arrive byte by byte.
        end = self._head.find(HEAD_END, max(0, before - len(HEAD_END) + 1))
        if end < 0 and len(self._head) < self.adj.max_request_header_size:
            return len(data)
        head, self._head = bytes(self._head), bytearray()
        if head.count(b"\n", 0, end if end >= 0 else None) > MAX_HEADER_LINES:
            return self._refuse_head(data)
        consumed = super().received(head)
        self._head_bytes = consumed
        if self.body_rcv is not None:
            self._bound_body()
        return consumed - before

    def _refuse_head(self, data: bytes) -> int:
        self.parse_header(b"GET / HTTP/1.0\r\n")
        self.error = RequestHeaderFieldsTooLarge("too many header lines")
        self.completed = True
        return len(data)

    def lower_body_limit(self, size: int) -> bool:
        """Lower the limit of the body; return False if it is known to be larger."""
        self.body_limit = min(self.body_limit, size)
        return self.content_length <= self.body_limit

    def _bound_body(self) -> None:
        if self.chunked:
            receiver = BoundedChunkedReceiver(self.body_rcv.getbuf())
            receiver.max_trailer = self.adj.max_request_header_size
            self.body_rcv = receiver
        elif self.content_length > self.body_limit:
            self._refuse_body()

    def _refuse_body(self) -> None:
        self.error = RequestEntityTooLarge(f"exceeds max_body of {self.body_limit}")
        self.completed = True

    def _receive_body(self, data: bytes) -> int:
        consumed = super().received(data)
        if len(self.body_rcv) > self.body_limit:
            self._refuse_body()
        return consumed
