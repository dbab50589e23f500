"""Test harness: the serving decisions of one daemon, with a log of their effects."""

from dataclasses import dataclass, field
from random import Random

from geraniumwell.commands.serving.scheduler import (
    configure,
    handle_result,
    set_lease,
    set_shares,
    submit,
    wake,
)
from geraniumwell.model.config import (
    Configuration,
    Endpoint,
    Organisation,
    RequestClass,
    Service,
)
from geraniumwell.model.request import Answer, Request
from geraniumwell.model.serving import (
    Answered,
    AttemptResult,
    ForwardAttempt,
    SendAnswer,
    SendAttempt,
    ServingEffect,
    ServingState,
)

CLASSES = {
    "quote": RequestClass("quote", 0, 2_000, 100),
    "pass": RequestClass("pass", 0, 2_000, 100, idempotent=False),
    "render": RequestClass("render", 1, 60_000, 6_000),
}
ORGANISATIONS = {"large": Organisation("large", 3.0), "small": Organisation("small")}
DEADLINE_SECONDS = 10.0


def make_configuration(endpoints: int, slots: int) -> Configuration:
    """Build a configuration with one service in the data centre dc-a."""
    found = tuple(
        Endpoint(f"runner-{i}", "dc-a", f"127.0.0.1:{i}", slots, 64)
        for i in range(endpoints)
    )
    service = Service("booking", found)
    return Configuration(1, ORGANISATIONS, CLASSES, {"booking": service})


@dataclass(slots=True)
class World:
    """State of the decisions, simulated time, and all attempts and answers so far."""

    state: ServingState
    now: float = 0.0
    sent: list[SendAttempt] = field(default_factory=list)
    forwarded: list[ForwardAttempt] = field(default_factory=list)
    answers: dict[str, Answer] = field(default_factory=dict)

    def apply_effects(self, effects: list[ServingEffect]) -> None:
        """Log effects; fail the test on a second answer to a request."""
        for effect in effects:
            match effect:
                case SendAttempt():
                    self.sent.append(effect)
                case ForwardAttempt():
                    self.forwarded.append(effect)
                case SendAnswer(answer, req):
                    assert req.request_id not in self.answers, req.request_id
                    self.answers[req.request_id] = answer

    def submit(
        self,
        request_id: str,
        class_name: str,
        organisation: str = "large",
        forwarded: bool = False,
        seconds: float = DEADLINE_SECONDS,
    ) -> None:
        """Submit one request."""
        req = Request(
            request_id=request_id,
            organisation=organisation,
            service="booking",
            class_name=class_name,
            idempotent=CLASSES[class_name].idempotent,
            deadline=self.now + seconds,
            forwarded=forwarded,
        )
        self.apply_effects(submit(self.state, req, self.now))

    def finish(self, attempt_id: str, result: AttemptResult) -> None:
        """Give the result of an attempt."""
        self.apply_effects(handle_result(self.state, attempt_id, result, self.now))

    def wait(self, seconds: float) -> None:
        """Advance the time and wake the decisions."""
        self.now += seconds
        self.apply_effects(wake(self.state, self.now))

    def in_flight(self, class_name: str | None = None) -> list[SendAttempt]:
        """Return the attempts without a result, optionally of one class."""
        return [
            sent
            for sent in self.sent
            if sent.attempt_id in self.state.attempts
            and class_name in (None, sent.req.class_name)
        ]

    def attempts_of(self, request_id: str) -> list[SendAttempt]:
        """Return all attempts of a request."""
        return [sent for sent in self.sent if sent.req.request_id == request_id]


def make_answered(status: int = 200, **flags: bool) -> Answered:
    """Build the response of an endpoint to an attempt."""
    return Answered(status, b"", "text/plain", **flags)


def make_world(endpoints: int, slots: int) -> World:
    """Build a configured daemon with a lease and all slots of the endpoints."""
    state = ServingState("vm-1", "dc-a", rng=Random(1))
    cfg = make_configuration(endpoints, slots)
    configure(state, cfg, 0.0)
    set_lease(state, float("inf"))
    names = (ep.name for ep in cfg.services["booking"].endpoints)
    set_shares(state, dict.fromkeys(names, slots), 0.0)
    return World(state)
