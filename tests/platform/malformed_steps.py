"""Steps of malformed bodies and calls."""

from collections.abc import Callable
from io import BytesIO
from typing import Any

from behave import then, when
from behave.runner import Context
from hypothesis import HealthCheck, given, seed, settings
from hypothesis import strategies as st
from msgspec.json import encode
from pykka import ThreadingActor

from geraniumwell.actors.batch.job_store import JobStore
from geraniumwell.clients.table import Committed, RowRange, TableTransaction
from geraniumwell.clients.table_relay import StoreHealth
from geraniumwell.codec.json import CodecError
from geraniumwell.messages.batch import ReadCatalog
from geraniumwell.platform.client_app import REASON_PHRASES, ClientApp
from geraniumwell.platform.decode import (
    decode_catalog,
    decode_entry,
    decode_job,
    decode_report,
)
from tests.support.batch import make_test_catalog

QUEUE = make_test_catalog().queues[0]
DECODERS: dict[str, tuple[Any, Callable[[bytes], Any]]] = {
    "job": (
        {
            "Spec": "text",
            "Steps": [
                {"Count": 2, "Cpu": 500, "MemMb": 256, "EstRuntimeMs": 900},
                {"Count": 1, "Gpu": 1, "After": [0], "Gang": True, "Affinity": "r1"},
            ],
            "Repeats": 2,
            "PeriodMs": 5,
        },
        lambda data: decode_job(data, "00aa", QUEUE, "desks", 5.0),
    ),
    "worker entry": (
        {
            "Service": "pool",
            "Address": "127.0.0.1:1",
            "Zone": "dc",
            "State": "ready",
            "Capacity": {"Cpu": 1, "MemMb": 1, "Gpu": 1},
            "Labels": ["a", "r1"],
            "born": 7,
        },
        lambda data: decode_entry("i-1", data),
    ),
    "list of runs": (
        {
            "ClockMs": 5,
            "Running": [["00aa.0.0.1", 2, "", 41]],
            "Ended": [[58, "00aa.0.0.2", 1, "done", ""]],
            "born": 7,
        },
        decode_report,
    ),
    "configuration": (
        {
            "Version": 3,
            "Routes": [
                {"Name": "q", "Host": "h", "PathPrefix": "/q/", "Service": "pool"}
            ],
            "Tenants": [{"Name": "t", "ApiKeys": ["k"], "Guaranteed": {"Gpu": 2}}],
            "Limits": {"MaxBodyBytes": 10},
        },
        decode_catalog,
    ),
}
JSON_VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-(2**70), 2**70)
    | st.floats(allow_nan=False, allow_infinity=False)
    | st.text(max_size=8),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=4), inner, max_size=3)
    ),
    max_leaves=6,
)


def mutate(data: st.DataObject, value: Any) -> Any:
    """Return a value in which one part is replaced or removed."""
    if isinstance(value, dict) and value and data.draw(st.booleans()):
        key = data.draw(st.sampled_from(sorted(value)))
        rest = {name: item for name, item in value.items() if name != key}
        return (
            rest | {key: mutate(data, value[key])} if data.draw(st.booleans()) else rest
        )
    if isinstance(value, list) and value and data.draw(st.booleans()):
        index = data.draw(st.integers(0, len(value) - 1))
        return [*value[:index], mutate(data, value[index]), *value[index + 1 :]]
    return data.draw(JSON_VALUES)


def run_drawn(count: int, check: Callable[[st.DataObject], None]) -> None:
    """Run a check with drawn data; the fixed seed draws the same data each time."""
    run = given(st.data())(check)
    suppressed = [HealthCheck.too_slow, HealthCheck.filter_too_much]
    seed(7)(
        settings(
            max_examples=count,
            deadline=None,
            database=None,
            suppress_health_check=suppressed,
        )(run)
    )()


class EmptyStore:
    """A store without rows that accepts every transaction."""

    def commit(self, transaction: TableTransaction) -> Committed:
        """Accept a transaction."""
        return Committed(1)

    def read(
        self, table: str, first: str = "", limit: int = 0, part: str = ""
    ) -> RowRange:
        """Return no rows."""
        return RowRange((), 1)


class StubActor(ThreadingActor):
    """Replies in place of the catalog manager and the elector."""

    use_daemon_thread = True

    def on_receive(self, message: Any) -> Any:
        """Return the configuration, or the counts without waiting jobs."""
        return make_test_catalog() if isinstance(message, ReadCatalog) else {}


@when("{count:d} randomly changed bodies of a {kind} are decoded")
def step_decode_changed(context: Context, count: int, kind: str) -> None:
    valid, decode = DECODERS[kind]
    decode(encode(valid))
    context.errors = 0

    def check(data: st.DataObject) -> None:
        body = encode(mutate(data, valid))
        if data.draw(st.integers(0, 9)) == 0:
            body = data.draw(st.binary(max_size=40))
        try:
            decode(body)
        except CodecError:
            context.errors += 1

    run_drawn(count, check)


@then("each is decoded or rejected with a codec error")
def step_decoded_or_rejected(context: Context) -> None:
    # Any other exception has already failed the previous step.
    assert context.errors


@when("{count:d} random HTTP calls are made")
def step_calls(context: Context, count: int) -> None:
    stub_actor = StubActor.start()
    context.add_cleanup(stub_actor.stop)
    job_store = JobStore(EmptyStore, StoreHealth())
    app = ClientApp(job_store, stub_actor, stub_actor)
    context.statuses = set()

    def check(data: st.DataObject) -> None:
        body = encode(mutate(data, DECODERS["job"][0]))
        job_id = data.draw(st.sampled_from(("0123456789abcdef", "", "x/y", "\x00")))
        path = data.draw(st.sampled_from(("/quotes/", "/", "/none/"))) + job_id
        environ = {
            "REQUEST_METHOD": data.draw(
                st.sampled_from(("POST", "GET", "DELETE", "PUT", "\xff"))
            ),
            "PATH_INFO": path,
            "HTTP_HOST": data.draw(st.sampled_from(("host", "host:1", "", ":::"))),
            "HTTP_API_KEY": data.draw(st.sampled_from(("key-desks", "", "\xe9"))),
            "wsgi.input": BytesIO(body),
        }
        app(environ, lambda status, headers: context.statuses.add(int(status[:3])))

    run_drawn(count, check)


@then("each call gets a known HTTP status")
def step_statuses(context: Context) -> None:
    assert {200, 400, 401, 404, 410} <= context.statuses <= set(REASON_PHRASES)
