"""Plots of resource use by size, with the limit of each quantity."""

from collections.abc import Sequence
from pathlib import Path

from matplotlib import use
from matplotlib.pyplot import close, subplots

from bench.capacity.readings import Reading

CPU_LIMIT_PERCENT = 2.2
MEMORY_LIMIT_MB = 128
BYTES_LIMIT = 10_000

use("svg")


def plot_dimension(
    path: Path, dimension: str, sizes: Sequence[float], readings: Sequence[Reading]
) -> None:
    """Write one figure with panels for CPU, memory and control traffic."""
    traffic = [reading.sent_bytes + reading.received_bytes for reading in readings]
    panels = (
        ("CPU, % of a core", [r.cpu_percent for r in readings], CPU_LIMIT_PERCENT),
        ("resident memory, MB", [r.memory_mb for r in readings], MEMORY_LIMIT_MB),
        ("control traffic, bytes/s", traffic, BYTES_LIMIT),
    )
    figure, axes = subplots(1, len(panels), figsize=(12, 3.4))
    for axis, (label, values, limit) in zip(axes, panels, strict=True):
        axis.plot(sizes, values, marker="o")
        axis.axhline(limit, linestyle="--", color="tab:red", label=f"limit {limit}")
        axis.set_xlabel(dimension.replace("_", " "))
        axis.set_ylabel(label)
        axis.set_ylim(bottom=0)
        axis.legend()
    figure.tight_layout()
    figure.savefig(path)
    close(figure)
