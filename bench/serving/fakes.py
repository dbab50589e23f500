"""Fake of an endpoint on virtual time."""

from dataclasses import dataclass, field

from bench.serving.scenarios import Fault

CONNECT_SECONDS = 0.001
FAIL_SECONDS = 0.002


class OversubscribedError(AssertionError):
    """An endpoint runs more attempts than it has slots."""


@dataclass(slots=True, eq=False)
class FakeEndpoint:
    """An endpoint that counts its running attempts and may be faulty."""

    name: str
    slots: int
    fault: Fault | None = None
    running: dict[str, object] = field(default_factory=dict)

    def start(self, attempt_id: str, daemon: object) -> None:
        """Start an attempt, which occupies a slot."""
        self.running[attempt_id] = daemon
        if len(self.running) > self.slots:
            raise OversubscribedError(f"{self.name} runs {len(self.running)}")

    def end(self, attempt_id: str) -> bool:
        """Release the slot of an attempt; return whether it was still running."""
        return self.running.pop(attempt_id, None) is not None
