"""Tables of the figures, and a verdict on each target."""

from collections import defaultdict
from dataclasses import fields
from statistics import mean

from bench.serving.figures import Figures

Row = tuple[str, str, str, Figures]
SERVED_TARGET = 0.95
SHORT_WAIT_TARGET = 1.0
LONG_USE_TARGET = 0.9
RETRIES_TARGET = 0.1
# Below 1, because an organisation's last requests may fall outside of the peak.
FAIR_TARGET = 0.95
COLUMNS = {
    "served": "served",
    "short_wait_p50": "sw_p50",
    "short_wait_p99": "sw_p99",
    "short_wait_max": "sw_max",
    "short_refused": "s_lost",
    "long_mean_seconds": "l_mean",
    "long_p99_seconds": "l_p99",
    "long_refused": "l_lost",
    "long_use": "l_use",
    "fair": "fair",
    "retries": "retries",
    "unknown": "unknown",
    "refusal_seconds": "refusal",
}
LEGEND = """\
Mean over the seeds [least..greatest]. served: requests of the peak, as a part of
the ideal pool's. sw: wait of short work that was served, in median service times;
s_lost: part of the short requests of the peak that was not served. l: completion
of long work in seconds; l_lost as s_lost. l_use: use by long work of the slots that
short work left, from 10 s on ("filled" only). fair: requests served of the
organisation served worst, as a part of what slots of its own by its share would
serve. retries: further attempts per first attempt. unknown: part of all requests
answered "unknown". refusal: median time in seconds until a caller is told "not run".
"""


def make_report(rows: list[Row], variants: tuple[str, ...]) -> str:
    """Return the tables by user and scenario, and the targets."""
    groups: dict[tuple[str, str, str], list[Figures]] = defaultdict(list)
    for user, scenario, variant, figures in rows:
        groups[(user, scenario, variant)].append(figures)
    text = LEGEND
    for user, scenario in dict.fromkeys(key[:2] for key in sorted(groups)):
        text += f"\n{user} / {scenario}\n"
        text += f"{'':14}" + "".join(f"{c:>19}" for c in COLUMNS.values()) + "\n"
        for variant in variants:
            figures_of_seeds = groups[(user, scenario, variant)]
            cells = [
                _format_cell([getattr(f, c) for f in figures_of_seeds]) for c in COLUMNS
            ]
            text += f"{variant:14}" + "".join(f"{c:>19}" for c in cells) + "\n"
    return text + _format_targets(groups)


def _format_cell(values: list[float]) -> str:
    digits = 1 if max(values) >= 10 else 3 if max(values) < 1.5 else 2
    low, high = min(values), max(values)
    return f"{mean(values):.{digits}f}[{low:.{digits}f}..{high:.{digits}f}]"


def _format_targets(groups: dict[tuple[str, str, str], list[Figures]]) -> str:
    text = "\nTargets (complete policy; mean over the seeds, and the worst seed)\n"
    for user, scenario, variant in sorted(groups):
        if variant != "complete":
            continue
        figures_of_seeds = groups[(user, scenario, variant)]
        for name, is_lower_limit, limit in _list_limits(scenario):
            values = [getattr(f, name) for f in figures_of_seeds]
            average, worst = (
                mean(values),
                min(values) if is_lower_limit else max(values),
            )
            is_met = average >= limit if is_lower_limit else average < limit
            sign = ">=" if is_lower_limit else "<"
            text += (
                f"{'met' if is_met else 'MISSED':7}{user:9}{scenario:13}"
                f"{name:16}{average:7.3f} (worst {worst:.3f}) {sign} {limit}\n"
            )
    return text


def _list_limits(scenario: str) -> list[tuple[str, bool, float]]:
    """Return each limited figure, whether the limit is a lower one, and the limit."""
    limits = [("retries", False, RETRIES_TARGET)]
    if scenario == "filled":
        limits.append(("short_wait_p99", False, SHORT_WAIT_TARGET))
        limits.append(("long_use", True, LONG_USE_TARGET))
    # The ideal pool ignores shares and starves long work, so it is no useful bound if
    # one organisation or short work alone demands more than all slots.
    elif scenario not in ("outage", "flooded"):
        limits.append(("fair", True, FAIR_TARGET))
        if scenario != "surge":
            limits.append(("served", True, SERVED_TARGET))
    assert {name for name, _, _ in limits} <= {f.name for f in fields(Figures)}
    return limits
