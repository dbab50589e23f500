"""Steps of the request parser."""

from behave import given, then, when
from behave.runner import Context
from hypothesis import HealthCheck, seed, settings
from hypothesis import given as given_any
from hypothesis import strategies as st
from waitress.adjustments import Adjustments
from waitress.buffers import OverflowableBuffer
from waitress.receiver import ChunkedReceiver

from geraniumwell.actors.intake.parser import BoundedChunkedReceiver, BoundedParser

EXAMPLES = 300
HEAD_BYTES = 65_536
READ = 8_192
LINE = b"POST /desk/1 HTTP/1.1\r\n"
CHUNKED = LINE + b"Transfer-Encoding: chunked\r\n\r\n"
ANY_TEST = settings(
    max_examples=EXAMPLES,
    deadline=None,
    database=None,
    suppress_health_check=list(HealthCheck),
)
DATA = {
    "a header line without end": LINE + b"X: " + b"x" * 200_000,
    "a request line without end": b"POST /" + b"x" * 200_000,
    "a thousand headers": LINE + b"X: x\r\n" * 1000 + b"\r\n",
    "a trailer without end": CHUNKED + b"0\r\nX: " + b"x" * 200_000,
    "a chunk size without end": CHUNKED + b"1;x=" + b"x" * 200_000,
    "a length of 1001 bytes": LINE + b"Content-Length: 1001\r\n\r\n",
    "1001 bytes in chunks of 1 byte": CHUNKED + b"1\r\nx\r\n" * 1001,
    "1001 bytes in one chunk": CHUNKED + b"3E9\r\n" + b"x" * 1001 + b"\r\n",
}
names = st.from_regex(r"X-[A-Za-z0-9]{1,8}", fullmatch=True)
values = st.from_regex(r"[!-~]([ -~]{0,20}[!-~])?", fullmatch=True)
# Chunks of the same size follow each other, as the parser handles them together.
bodies = st.lists(
    st.integers(1, 40).flatmap(
        lambda size: st.lists(st.binary(min_size=size, max_size=size), max_size=5)
    ),
    max_size=5,
).map(lambda runs: [piece for run in runs for piece in run])


def make_parser(body_bytes: int) -> BoundedParser:
    """Return a parser with a limit for bodies."""
    adj = Adjustments(max_request_header_size=HEAD_BYTES, max_request_body_size=1 << 62)
    parser = BoundedParser(adj)
    parser.body_limit = body_bytes
    return parser


def feed(parser: BoundedParser, data: bytes, cuts: list[int]) -> bytes:
    """Pass data in pieces until the request is complete; return the rest."""
    bounds = sorted({0, len(data), *(cut % (len(data) + 1) for cut in cuts)})
    for first, last in zip(bounds, bounds[1:], strict=False):
        piece = data[first:last]
        while piece and not parser.completed:
            piece = piece[parser.received(piece) :]
        if parser.completed:
            return piece + data[last:]
    return b""


@st.composite
def requests(draw: st.DrawFn) -> tuple[bytes, dict[str, str], bytes]:
    """Return an encoded request, its headers and its body."""
    headers = draw(st.dictionaries(names.map(str.upper), values, max_size=5))
    pieces = draw(bodies)
    body = b"".join(pieces)
    lines = [f"{name}: {value}\r\n" for name, value in headers.items()]
    if draw(st.booleans()):
        lines.append("Transfer-Encoding: chunked\r\n")
        ext = draw(st.sampled_from((b"", b";a=b")))
        data = b"".join(b"%x%b\r\n%b\r\n" % (len(p), ext, p) for p in pieces)
        data += b"0\r\n" + draw(st.sampled_from((b"", b"X: y\r\n"))) + b"\r\n"
    else:
        lines.append(f"Content-Length: {len(body)}\r\n")
        data = body
    return LINE + "".join(lines).encode() + b"\r\n" + data, headers, body


@then("any legal request that arrives in any pieces is read as it was sent")
def step_any_pieces(context: Context) -> None:
    @seed(1)
    @ANY_TEST
    @given_any(requests(), st.lists(st.integers(0, 2000), max_size=30))
    def check(sent: tuple[bytes, dict[str, str], bytes], cuts: list[int]) -> None:
        data, headers, body = sent
        parser = make_parser(1_000)
        rest = feed(parser, data + b"GET / HTTP/1.1\r\n", cuts)
        assert parser.completed
        assert parser.error is None, parser.error
        assert rest == b"GET / HTTP/1.1\r\n", rest
        assert parser.path == "/desk/1"
        assert parser.get_body_stream().read() == body
        found = {name.replace("-", "_"): value for name, value in headers.items()}
        assert found.items() <= parser.headers.items(), parser.headers

    check()


@then("any chunked body, valid or not, is read as waitress reads it")
def step_as_waitress(context: Context) -> None:
    pieces = st.sampled_from(
        (
            b"1\r\nx\r\n",
            b"2\r\nxy\r\n",
            b"1\r\n",
            b"a\r\n",
            b"0\r\n",
            b"\r\n",
            b"x",
            b"0123456789",
            b";a",
            b"g",
            b"-",
        )
    )

    @seed(2)
    @ANY_TEST
    @given_any(st.lists(pieces, max_size=30).map(b"".join))
    def check(data: bytes) -> None:
        results = []
        for kind in (ChunkedReceiver, BoundedChunkedReceiver):
            receiver = kind(OverflowableBuffer(1 << 20))
            receiver.max_trailer = HEAD_BYTES
            consumed = receiver.received(data)
            body = receiver.getfile().read()
            is_error = receiver.error is not None
            results.append((consumed, body, is_error, receiver.completed))
        if results[0][2]:
            assert results[1][2], results
        else:
            assert results[0] == results[1], results

    check()


@given("a parser for bodies of {size:d} bytes")
def step_parser(context: Context, size: int) -> None:
    context.parser = make_parser(size)


@when("a body of {size:d} bytes arrives in chunks of 1 byte")
def step_small_chunks(context: Context, size: int) -> None:
    data = CHUNKED + b"1\r\nx\r\n" * size + b"0\r\n\r\n"
    feed(context.parser, data, list(range(0, len(data), READ)))


@then("the parser has a complete request")
def step_complete(context: Context) -> None:
    assert context.parser.completed
    assert context.parser.error is None
    assert context.parser.headers["CONTENT_LENGTH"] == "262144"


@when("the parser receives {data}")
def step_arrives(context: Context, data: str) -> None:
    feed(context.parser, DATA[data], list(range(0, 300_000, READ)))


@then("the parser refuses the request with {status:d}")
def step_refused_with(context: Context, status: int) -> None:
    assert context.parser.error is not None
    assert context.parser.error.code == status, context.parser.error.code
