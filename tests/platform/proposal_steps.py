"""Steps of the decoding of a configuration that is checked before it is sent."""

from behave import then
from behave.runner import Context
from hypothesis import strategies as st
from msgspec.json import encode

from geraniumwell.codec.json import CodecError
from geraniumwell.model.batch.proposal import UnreadableConfiguration
from geraniumwell.platform.decode import decode_catalog
from geraniumwell.platform.proposal import decode_proposal
from tests.platform.malformed_steps import mutate, run_drawn
from tests.queries.config_check_steps import SAMPLE


@then('the body {body} has the unreadable values "{paths}"')
def step_unreadable(context: Context, body: str, paths: str) -> None:
    found = decode_proposal(body.encode())
    assert ", ".join(item.path for item in found.values) == paths, found


@then(
    "of {count:d} randomly changed configurations, the check rejects those that a"
    " daemon rejects"
)
def step_same(context: Context, count: int) -> None:
    results = set()

    def check(data: st.DataObject) -> None:
        body = encode(mutate(data, SAMPLE))
        try:
            is_accepted = bool(decode_catalog(body))
        except CodecError:
            is_accepted = False
        found = decode_proposal(body)
        is_rejected = isinstance(found, UnreadableConfiguration)
        paths = [item.path for item in found.values] if is_rejected else []
        assert is_rejected == bool(paths), (body, found)
        # Daemons don't read these values, so only the check rejects them.
        is_unread = all("TimeoutMs" in path or "Services" in path for path in paths)
        assert is_accepted == is_unread, (body, found)
        # The whole body is at fault only if it is not a JSON object.
        assert "$" not in paths or not body.startswith(b"{"), (body, found)
        results.add((is_accepted, is_rejected))

    run_drawn(count, check)
    assert len(results) == 3, results
