"""Table of the figures and a verdict on each target."""

from collections.abc import Callable

from bench.gangs.figures import Figures, Spread, make_spread
from bench.gangs.variants import BASE, BEST_FIT, WHOLE_POLICY

MEAN_RATIO_TARGET = 0.7
P99_RATIO_TARGET = 1.0
FRAGMENTATION_RATIO_TARGET = 0.5
DECISION_TARGET_MS = 50.0

# Figures of all runs, by variant and seed.
Table = dict[str, dict[int, Figures]]


def find_ratio(table: Table, name: str, base: str, field: str) -> Spread:
    """Return the spread of a figure as a ratio to another variant, seed by seed."""
    ratios = [
        getattr(figures, field) / max(1e-9, getattr(table[base][seed], field))
        for seed, figures in table[name].items()
    ]
    return make_spread(ratios)


def find_run_time_ratio(table: Table) -> Spread:
    """Return the ratio of mean run time to mean completion time of the base."""
    return make_spread([f.run_mean / max(1e-9, f.mean) for f in table[BASE].values()])


def find_pooled_ratio(table: Table, name: str, base: str, field: str) -> float:
    """Return the ratio of a figure, summed over the seeds, to another variant."""
    variant_total = sum(getattr(f, field) for f in table[name].values())
    base_total = sum(getattr(f, field) for f in table[base].values())
    return variant_total / max(1e-9, base_total)


def format_spread(spread: Spread, digits: int = 2) -> str:
    """Return a spread as ``median [least-greatest]``."""
    low, mid, high = (f"{v:.{digits}f}" for v in (spread.low, spread.mid, spread.high))
    return f"{mid} [{low}-{high}]"


def make_rows(table: Table) -> list[str]:
    """Return the heading and a line for each variant."""
    head = (
        f"{'variant':24} {'mean/base':>17} {'p99/base':>17} {'slowdown':>18} "
        f"{'fragm.':>17} {'use/bound':>17} {'late claims':>12} {'late urgent':>12} "
        f"{'worst claim s':>13} {'lost %':>7} {'stops':>6}"
    )
    return [head, *(make_row(table, name) for name in table)]


def make_row(table: Table, name: str) -> str:
    """Return the line of a variant."""
    runs = list(table[name].values())

    def total(read: Callable[[Figures], float]) -> float:
        return sum(read(f) for f in runs)

    mean = format_spread(find_ratio(table, name, BASE, "mean"))
    p99 = format_spread(find_ratio(table, name, BASE, "p99"))
    slowdown = format_spread(make_spread([f.slowdown for f in runs]), 1)
    fragmentation = format_spread(make_spread([f.fragmentation for f in runs]))
    used = format_spread(
        make_spread([f.used_share / max(1e-9, f.bound_share) for f in runs])
    )
    claims = f"{total(lambda f: f.late_claims):.0f}/{total(lambda f: f.claims):.0f}"
    urgent = f"{total(lambda f: f.late_urgent):.0f}/{total(lambda f: f.urgent):.0f}"
    worst = max(f.claim_wait_max for f in runs)
    lost = 100.0 * total(lambda f: f.lost_share) / len(runs)
    stops = total(lambda f: f.stops) / len(runs)
    return (
        f"{name:24} {mean:>17} {p99:>17} {slowdown:>18} {fragmentation:>17} "
        f"{used:>17} {claims:>12} {urgent:>12} {worst:13.1f} {lost:7.2f} {stops:6.0f}"
    )


def make_verdicts(table: Table) -> list[str]:
    """Return the verdict on each target of the whole policy."""
    runs = list(table[WHOLE_POLICY].values())
    late = sum(f.late_claims for f in runs)
    claims = sum(f.claims for f in runs)
    worst = max(f.claim_wait_max for f in runs)
    mean = find_ratio(table, WHOLE_POLICY, BASE, "mean")
    p99 = find_ratio(table, WHOLE_POLICY, BASE, "p99")
    fragmentation = find_pooled_ratio(table, WHOLE_POLICY, BEST_FIT, "fragmentation")
    decision = make_spread([f.decision_p99_ms for f in runs])
    return [
        format_verdict(
            late == 0, f"claims late {late} of {claims}, worst {worst:.2f} s"
        ),
        format_verdict(
            mean.mid <= MEAN_RATIO_TARGET,
            f"mean completion {format_spread(mean)} of fifo first fit",
        ),
        format_verdict(
            p99.mid <= P99_RATIO_TARGET, f"p99 {format_spread(p99)} of fifo first fit"
        ),
        format_verdict(
            fragmentation <= FRAGMENTATION_RATIO_TARGET,
            f"fragmentation {fragmentation:.2f} of best fit (all seeds together)",
        ),
        format_verdict(
            decision.mid <= DECISION_TARGET_MS,
            f"p99 of a decision {format_spread(decision, 1)} ms "
            f"with up to {max(f.peak_tasks for f in runs)} tasks",
        ),
        f"  mean completion if no job waited: "
        f"{format_spread(find_run_time_ratio(table))} of fifo first fit",
        f"  late urgent jobs {sum(f.late_urgent for f in runs)}, of which "
        f"{sum(f.late_urgent_by_quota for f in runs)} waited for their own quota",
        f"  unfinished jobs {sum(f.unfinished for f in runs)}, "
        f"refused at admission {sum(f.refused for f in runs)}",
    ]


def format_verdict(is_met: bool, text: str) -> str:
    """Return a line that says whether a target is met."""
    return f"  {'met   ' if is_met else 'MISSED'} {text}"
