"""Random simulation of the serving decisions, with a record of executed requests."""

from collections import Counter
from dataclasses import dataclass, field, replace
from heapq import heappop, heappush
from itertools import count
from random import Random

from geraniumwell.commands.serving.scheduler import (
    clear_leaving_report,
    configure,
    handle_result,
    next_wake,
    set_lease,
    set_leaving,
    set_peers,
    set_shares,
    submit,
    wake,
)
from geraniumwell.model.request import Answer, Outcome, Request
from geraniumwell.model.serving import (
    Answered,
    AttemptResult,
    ForwardAnswered,
    ForwardAttempt,
    ForwardLost,
    ForwardNotSent,
    Lost,
    NotSent,
    PeerLoad,
    SendAnswer,
    SendAttempt,
    ServiceLoad,
    ServingEffect,
    ServingState,
)
from tests.commands.serving.world import CLASSES, make_configuration

ENDPOINTS, SLOTS = 4, 4
FAULTS = ("dead", "silent", "failing", "busy", "leaving", "losing")
ARRIVAL_SECONDS = 0.02
CHANGE_SECONDS = 0.4
LATE_RESULT_SECONDS = 11.0
EVENT_LIMIT = 500_000


@dataclass(slots=True)
class RandomWorld:
    """One daemon, simulated endpoints with faults, and what they really executed."""

    rng: Random
    state: ServingState
    now: float = 0.0
    events: list = field(default_factory=list)
    event_numbers: count = field(default_factory=count)
    faults: dict[str, str] = field(default_factory=dict)
    leaving_names: set[str] = field(default_factory=set)
    running: Counter = field(default_factory=Counter)
    max_running: int = 0
    executed: Counter = field(default_factory=Counter)
    submitted: dict[str, Request] = field(default_factory=dict)
    answers: dict[str, list[Answer]] = field(default_factory=dict)
    sent_to_leaving: list[str] = field(default_factory=list)
    occurrences: Counter = field(default_factory=Counter)

    def schedule(self, seconds: float, action: object, *args: object) -> None:
        """Schedule an action after some seconds."""
        heappush(
            self.events, (self.now + seconds, next(self.event_numbers), action, args)
        )

    def run(self, requests: int) -> None:
        """Run until every request is answered and every attempt has ended."""
        self.schedule(0.0, self.submit_random, requests)
        self.schedule(CHANGE_SECONDS, self.change_conditions, requests)
        for _ in range(EVENT_LIMIT):
            if not self.events:
                return
            self.now, _, action, args = heappop(self.events)
            action(*args)
        raise AssertionError("the run does not end")

    def submit_random(self, left: int) -> None:
        """Submit a random request and schedule the next one."""
        name = self.rng.choice(list(CLASSES))
        req = Request(
            request_id=f"r-{left}",
            organisation=self.rng.choice(["large", "small"]),
            service="booking",
            class_name=name,
            idempotent=CLASSES[name].idempotent,
            deadline=self.now + self.rng.choice([0.3, 3.0, 10.0]),
            forwarded=self.rng.random() < 0.1,
        )
        self.submitted[req.request_id] = req
        self.apply_effects(submit(self.state, req, self.now))
        if left > 1:
            self.schedule(
                self.rng.expovariate(1 / ARRIVAL_SECONDS), self.submit_random, left - 1
            )

    def change_conditions(self, requests: int) -> None:
        """Change an endpoint's fault, the leaving list, shares, lease and peers."""
        state, rng = self.state, self.rng
        name = rng.choice(list(state.services["booking"].endpoints))
        self.faults[name] = rng.choice([*FAULTS, *[""] * len(FAULTS)])
        if self.faults[name] == "":
            self.apply_effects(clear_leaving_report(state, name, self.now))
        self.leaving_names ^= (
            {rng.choice(["runner-0", "runner-1"])} if rng.random() < 0.3 else set()
        )
        self.apply_effects(set_leaving(state, self.leaving_names, self.now))
        slots = {f"runner-{i}": rng.randint(2, SLOTS) for i in range(ENDPOINTS)}
        self.apply_effects(set_shares(state, slots, self.now))
        set_lease(state, self.now + rng.choice([0.3, 5.0, 5.0]))
        free = rng.randint(0, 4)
        load = PeerLoad("vm-9", "dc-b", {"booking": ServiceLoad(free, free)})
        self.apply_effects(set_peers(state, [load], self.now))
        self.apply_effects(configure(state, replace(state.cfg), self.now))
        if len(self.submitted) < requests:
            self.schedule(CHANGE_SECONDS, self.change_conditions, requests)
        else:
            self.faults.clear()
            set_lease(state, float("inf"))

    def apply_effects(self, effects: list[ServingEffect]) -> None:
        """Execute effects, then schedule the next wake."""
        for effect in effects:
            match effect:
                case SendAttempt():
                    self.send(effect)
                case ForwardAttempt():
                    self.forward(effect)
                case SendAnswer(answer, req):
                    assert self.submitted[req.request_id] is req
                    self.answers.setdefault(req.request_id, []).append(answer)
        due = next_wake(self.state, self.now)
        if due is not None:
            assert due >= self.now
            self.schedule(due - self.now, self.wake, due)

    def wake(self, due: float) -> None:
        """Wake the decisions if this is still the next wake that they need."""
        if next_wake(self.state, self.now) == due:
            self.apply_effects(wake(self.state, self.now))

    def send(self, effect: SendAttempt) -> None:
        """Start an attempt on an endpoint, according to the endpoint's fault."""
        name, req = effect.endpoint.name, effect.req
        fault = self.faults.get(name, "")
        self.occurrences[fault] += 1
        assert effect.seconds > 0, effect
        if name in self.leaving_names:
            self.sent_to_leaving.append(name)
        seconds = self.rng.expovariate(1 / 0.15) * (
            20 if self.rng.random() < 0.05 else 1
        )
        seconds = min(seconds, effect.seconds)
        body = req.request_id.encode()
        match fault:
            case "dead":
                self.end(effect, 0.001, NotSent("connection refused"))
            case "busy":
                self.end(effect, 0.001, Answered(503, b"", "", not_run=True))
            case "leaving":
                answer = Answered(503, b"", "", not_run=True, leaving=True)
                self.end(effect, 0.001, answer)
            case "silent":
                self.end(effect, effect.seconds, Lost("no answer in time"))
            case "failing":
                self.executed[req.request_id] += 1
                self.end(effect, 0.002, Answered(500, body, ""))
            case "losing":
                self.execute(effect, seconds, Lost("connection reset"))
            case _:
                is_late = seconds >= effect.seconds
                result = Lost("late") if is_late else Answered(200, body, "")
                self.execute(effect, seconds, result)

    def execute(
        self, effect: SendAttempt, seconds: float, result: AttemptResult
    ) -> None:
        """Run an attempt in a slot of its endpoint."""
        self.executed[effect.req.request_id] += 1
        name = effect.endpoint.name
        self.running[name] += 1
        self.max_running = max(self.max_running, self.running[name])
        self.schedule(seconds, self.free_slot, name)
        self.end(effect, seconds, result)

    def free_slot(self, name: str) -> None:
        """Free a slot of an endpoint."""
        self.running[name] -= 1

    def end(self, effect: SendAttempt, seconds: float, result: AttemptResult) -> None:
        """Schedule the result of an attempt; a few arrive after the deadline."""
        if self.rng.random() < 0.02:
            seconds += LATE_RESULT_SECONDS
        self.schedule(seconds, self.finish, effect.attempt_id, result)

    def finish(self, attempt_id: str, result: AttemptResult) -> None:
        """Deliver a result, and sometimes deliver it twice."""
        self.apply_effects(handle_result(self.state, attempt_id, result, self.now))
        if self.rng.random() < 0.02:
            self.apply_effects(handle_result(self.state, attempt_id, result, self.now))

    def forward(self, effect: ForwardAttempt) -> None:
        """Simulate a peer that runs, refuses, loses or never gets a request."""
        self.occurrences["forwarded"] += 1
        req = effect.req
        assert not req.forwarded
        assert effect.seconds > 0, effect
        assert req.idempotent
        kind = self.rng.choice(["ran", "refused", "lost", "not sent"])
        result: AttemptResult = ForwardNotSent("peer unreachable")
        if kind in ("ran", "lost"):
            self.executed[req.request_id] += 1
        if kind == "ran":
            answer = Answer(req.request_id, Outcome.RAN, 200, req.request_id.encode())
            result = ForwardAnswered(answer)
        elif kind == "refused":
            result = ForwardAnswered(Answer(req.request_id, Outcome.NOT_RUN, 503))
        elif kind == "lost":
            result = ForwardLost("connection reset")
        self.schedule(0.01, self.finish, effect.attempt_id, result)


def make_random_world(seed: int) -> RandomWorld:
    """Build a simulation whose random choices depend only on the seed."""
    state = ServingState("vm-1", "dc-a", rng=Random(f"state/{seed}"))
    configure(state, make_configuration(ENDPOINTS, SLOTS), 0.0)
    set_shares(state, {f"runner-{i}": SLOTS for i in range(ENDPOINTS)}, 0.0)
    set_lease(state, 5.0)
    return RandomWorld(Random(f"world/{seed}"), state)
