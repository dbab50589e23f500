"""Amounts of processor time, memory and accelerators."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class Resources:
    """Amounts that a task needs or a worker has.

    Parameters
    ----------
    cpu_millis : int
        Thousandths of a core.
    memory_mb : int
        Megabytes of memory.
    accelerators : int
        Whole accelerators.
    """

    cpu_millis: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    def copy(self) -> Resources:
        """Return an independent copy."""
        return Resources(self.cpu_millis, self.memory_mb, self.accelerators)

    def add(self, other: Resources) -> None:
        """Add the amounts of another."""
        self.cpu_millis += other.cpu_millis
        self.memory_mb += other.memory_mb
        self.accelerators += other.accelerators

    def subtract(self, other: Resources) -> None:
        """Subtract the amounts of another; the result may be negative."""
        self.cpu_millis -= other.cpu_millis
        self.memory_mb -= other.memory_mb
        self.accelerators -= other.accelerators

    def can_fit(self, other: Resources) -> bool:
        """Return whether all amounts of another fit into these."""
        return (
            self.cpu_millis >= other.cpu_millis
            and self.memory_mb >= other.memory_mb
            and self.accelerators >= other.accelerators
        )
