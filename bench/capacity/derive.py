"""Extrapolate to the size expected in two years: ``python -m bench.capacity.derive``.

Reads ``bench/results/capacity.json`` and prints each quantity for the decider of one
data centre: the value at the smallest size plus slope times growth of each dimension,
with every term.
"""

from pathlib import Path
from typing import Any

from msgspec.json import decode

RESULTS = Path(__file__).resolve().parent.parent / "results"
DATA_CENTRES = 8
# Changes that the log keeps between two compactions.
COMPACTION_INTERVAL_CHANGES = 64
SECONDS_PER_DAY = 86_400
# One data centre has its part of the workers and tasks, but all organisations and
# all changes.
TWO_YEAR_SIZE = {
    "data_centres": 8.0,
    "workers": 540 / DATA_CENTRES,
    "tasks": 10_000 / DATA_CENTRES,
    "organisations": 88.0,
    "history": float(COMPACTION_INTERVAL_CHANGES),
    "changes_per_second": 1500 / SECONDS_PER_DAY,
}
LIMITS = {
    "cpu_percent": 2.2,
    "memory_mb": 128.0,
    "sent_bytes": 10_000.0,
    "received_bytes": 10_000.0,
}


def find_fit(result: dict[str, Any], quantity: str) -> dict[str, Any]:
    """Return the fit of one quantity in the results of a dimension."""
    return next(fit for fit in result["fits"] if fit["quantity"] == quantity)


def extrapolate(
    results: list[dict[str, Any]], quantity: str
) -> tuple[float, list[str]]:
    """Return the value of a quantity at the two-year size, and its terms.

    The base is the mean over the dimensions of the fitted value at the smallest
    size, which all dimensions share.
    """
    bases = []
    terms = []
    growth = 0.0
    for result in results:
        fit = find_fit(result, quantity)
        smallest = result["sizes"][0]
        bases.append(fit["intercept"] + fit["slope"] * smallest)
        size = TWO_YEAR_SIZE[result["dimension"]]
        increase = fit["slope"] * (size - smallest)
        growth += increase
        terms.append(
            f"{fit['slope']:+.4g} x ({size:.4g} - {smallest:g} "
            f"{result['dimension']}) = {increase:+.4g} (residual {fit['residual']:.3g})"
        )
    base = sum(bases) / len(bases)
    return base + growth, [f"base {base:.4g}", *terms]


def main() -> None:
    """Print the extrapolated quantities with their terms."""
    data = decode((RESULTS / "capacity.json").read_bytes())
    print(data["run"])
    for fit in data["results"][0]["fits"]:
        quantity = fit["quantity"]
        value, terms = extrapolate(data["results"], quantity)
        limit = LIMITS.get(quantity)
        verdict = ""
        if limit is not None:
            verdict = f"; limit {limit:g}: {'OVER' if value > limit else 'inside'}"
        print(f"{quantity}: {value:.4g}{verdict}")
        for term in terms:
            print(f"    {term}")


if __name__ == "__main__":
    main()
