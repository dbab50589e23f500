"""Steps of the check and the comparison of configurations."""

from collections import Counter
from copy import deepcopy
from typing import Any

from behave import then, when
from behave.runner import Context
from hypothesis import strategies as st
from msgspec.json import decode, encode

from geraniumwell.model.batch.proposal import Difference, EntryKind
from geraniumwell.platform.proposal import decode_proposal, format_path
from geraniumwell.queries.config_check import check_configuration, is_error
from geraniumwell.queries.config_comparison import compare_configurations
from geraniumwell.queries.config_wording import describe_difference, describe_finding
from tests.platform.malformed_steps import run_drawn

ACCELERATORS = 16
# The name with a line break guards against output that a name can split.
NAMES = ("ash", "beech", "larch\n", "oak")
KEYS = tuple(f"{letter * 4}-secret-{number}" for number, letter in enumerate("abcdef"))
SAMPLE: dict[str, Any] = {
    "Version": 3,
    "Routes": [
        {"Name": name, "Host": "h", "PathPrefix": f"/{name}/", "Service": service}
        | {"TargetLatencyMs": 1000, "TimeoutMs": 3000, "MaxAttempts": 3}
        for name, service in (("desk", "pool"), ("quote", "fast"))
    ],
    "Services": [{"Name": "pool"}, {"Name": "fast"}],
    "Limits": {"MaxBodyBytes": 262_144},
    "Tenants": [
        {"Name": name, "ApiKeys": [f"key-of-{name}"], "Guaranteed": {"Gpu": 4}}
        for name in ("desks", "quoters")
    ],
}


@st.composite
def draw_config(draw: st.DrawFn, choice: tuple[str, ...] = NAMES) -> dict[str, Any]:
    """Return a configuration with all optional keys; it is valid if the names are."""
    names = st.lists(st.sampled_from(choice), unique=True)
    services = draw(names.filter(bool))
    owners = {key: draw(st.sampled_from((None, *choice))) for key in KEYS}
    routes = [
        {"Name": name, "Host": draw(st.sampled_from(("h", "G.example")))}
        | {"PathPrefix": f"/{name}/{draw(st.sampled_from(('', 'x/')))}"}
        | {"Service": draw(st.sampled_from(services)), "Public": draw(st.booleans())}
        | {"TargetLatencyMs": draw(st.integers(0, 500))}
        | {"TimeoutMs": draw(st.sampled_from((0, 500, 700.5)))}
        | {"Priority": draw(st.integers(0, 3)), "MaxAttempts": draw(st.integers(1, 3))}
        | {"Stretch": draw(st.sampled_from((1, 1.5)))}
        for name in draw(names)
    ]
    tenants = [
        {
            "Name": name,
            "ApiKeys": [key for key, owner in owners.items() if owner == name],
            "Guaranteed": {"Gpu": draw(st.integers(0, ACCELERATORS // len(NAMES)))},
        }
        for name in draw(names)
    ]
    return {
        "Version": draw(st.integers(1, 9)),
        "Routes": routes,
        "Services": [{"Name": name} for name in services],
        "Limits": {"MaxBodyBytes": draw(st.integers(1, 3))},
        "Tenants": tenants,
    }


def make_sample(place: str, value: str) -> dict[str, Any]:
    """Return the sample with one value set."""
    cfg: Any = deepcopy(SAMPLE)
    *parents, last = place.split(".")
    part = cfg
    for key in parents:
        part = part[int(key) if key.isdecimal() else key]
    if value == "absent":
        del part[last]
    else:
        part[last] = decode(value)
    return cfg


def count_differences(before: Any, after: Any) -> Counter[tuple[str, str]]:
    """Return the number of differences of two files by code and name of the entry."""
    found: Counter[tuple[str, str]] = Counter()
    found["changed", ""] = before["Limits"] != after["Limits"]
    for section in ("Routes", "Services", "Tenants"):
        old = {item["Name"]: item for item in before[section]}
        new = {item["Name"]: item for item in after[section]}
        found.update(("removed", name) for name in old if name not in new)
        found.update(("added", name) for name in new if name not in old)
        for name in old.keys() | new.keys():
            one, two = old.get(name, {}), new.get(name, {})
            keys, new_keys = set(one.get("ApiKeys", ())), set(two.get("ApiKeys", ()))
            found["key_removed", name] += len(keys - new_keys)
            found["key_added", name] += len(new_keys - keys)
            for attribute in (one.keys() & two.keys()) - {"ApiKeys"}:
                found["changed", name] += one[attribute] != two[attribute]
    return +found


def compare(before: Any, after: Any) -> tuple[Difference, ...]:
    """Return the differences of two configurations."""
    old, new = decode_proposal(encode(before)), decode_proposal(encode(after))
    return compare_configurations(old, new)


@then(
    "{count:d} drawn valid configurations have no errors and no differences from"
    " themselves"
)
def step_valid(context: Context, count: int) -> None:
    def check(data: st.DataObject) -> None:
        cfg = data.draw(draw_config())
        found = check_configuration(decode_proposal(encode(cfg)), ACCELERATORS)
        assert not any(map(is_error, found)), found
        assert not compare(cfg, cfg)

    run_drawn(count, check)


@when("the sample configuration is checked with {place} set to {value}")
def step_check_sample(context: Context, place: str, value: str) -> None:
    proposed = decode_proposal(encode(make_sample(place, value)))
    current = decode_proposal(encode(make_sample("Version", "2"))).catalog
    context.findings = check_configuration(proposed, ACCELERATORS, current)
    context.shown = "; ".join(map(describe_finding, context.findings))


@then('the only findings are "{findings}"')
@then('the only findings are ""')
def step_findings(context: Context, findings: str = "") -> None:
    found = (
        f"{'error' if is_error(f) else 'warning'} {f.code} {format_path(f)}"
        for f in context.findings
    )
    assert ", ".join(found) == findings, context.findings


@when("the sample configuration is compared with {place} set to {value}")
def step_compare_sample(context: Context, place: str, value: str) -> None:
    found = compare(SAMPLE, make_sample(place, value))
    context.shown = "; ".join(map(describe_difference, found))


@then('the text is "{text}"')
def step_text(context: Context, text: str) -> None:
    assert context.shown == text, context.shown


@then(
    "{count:d} drawn pairs of configurations have exactly the differences of the two"
    " files"
)
def step_exact(context: Context, count: int) -> None:
    def check(data: st.DataObject) -> None:
        # Entries without a name are invalid, but are compared too.
        drawn = draw_config((*NAMES, ""))
        before, after = data.draw(drawn), data.draw(drawn)
        counts: Counter[tuple[str, str]] = Counter()
        for item in compare(before, after):
            kind = getattr(item, "kind", EntryKind.ORGANISATION)
            name = item.organisation if "key" in item.code else item.name
            counts[item.code, name] += 1
            text = describe_difference(item)
            is_limit = kind is EntryKind.CONFIGURATION
            assert is_limit or f"{kind} {name!r}" in text, text
            assert not any(key in text for key in (*KEYS, "\n")), text
        assert counts == count_differences(before, after)

    run_drawn(count, check)
