"""Random run of the serving decisions with its own record of what was executed."""

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
    GiveAnswer,
    Lost,
    NotSent,
    PeerLoad,
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
LATE_SECONDS = 11.0
EVENTS_MAX = 500_000


@dataclass(slots=True)
class RandomWorld:
    """One daemon, its endpoints with faults, and the ground truth."""

    rng: Random
    state: ServingState
    now: float = 0.0
    events: list = field(default_factory=list)
    order: count = field(default_factory=count)
    faults: dict[str, str] = field(default_factory=dict)
    listed: set[str] = field(default_factory=set)
    running: Counter = field(default_factory=Counter)
    most_running: int = 0
    executed: Counter = field(default_factory=Counter)
    submitted: dict[str, Request] = field(default_factory=dict)
    answers: dict[str, list[Answer]] = field(default_factory=dict)
    sent_while_leaving: list[str] = field(default_factory=list)
    seen: Counter = field(default_factory=Counter)

    def at(self, seconds: float, action: object, *args: object) -> None:
        """Schedule an action after some seconds."""
        heappush(self.events, (self.now + seconds, next(self.order), action, args))

    def run(self, requests: int) -> None:
        """Run until every request is answered and every attempt has ended."""
        self.at(0.0, self.arrive, requests)
        self.at(CHANGE_SECONDS, self.change, requests)
        for _ in range(EVENTS_MAX):
            if not self.events:
                return
            self.now, _, action, args = heappop(self.events)
            action(*args)
        raise AssertionError("the run does not end")

    def arrive(self, left: int) -> None:
        """Submit a request; sometimes with a short deadline."""
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
        self.take(submit(self.state, req, self.now))
        if left > 1:
            self.at(self.rng.expovariate(1 / ARRIVAL_SECONDS), self.arrive, left - 1)

    def change(self, requests: int) -> None:
        """Change the fault of one endpoint, the shares, the lease or the peers."""
        state, rng = self.state, self.rng
        name = rng.choice(list(state.services["booking"].endpoints))
        self.faults[name] = rng.choice([*FAULTS, *[""] * len(FAULTS)])
        if self.faults[name] == "":
            self.take(clear_leaving_report(state, name, self.now))
        self.listed ^= (
            {rng.choice(["runner-0", "runner-1"])} if rng.random() < 0.3 else set()
        )
        self.take(set_leaving(state, self.listed, self.now))
        slots = {f"runner-{i}": rng.randint(2, SLOTS) for i in range(ENDPOINTS)}
        self.take(set_shares(state, slots, self.now))
        set_lease(state, self.now + rng.choice([0.3, 5.0, 5.0]))
        free = rng.randint(0, 4)
        load = PeerLoad("vm-9", "dc-b", {"booking": ServiceLoad(free, free)})
        self.take(set_peers(state, [load], self.now))
        self.take(configure(state, replace(state.cfg), self.now))
        if len(self.submitted) < requests:
            self.at(CHANGE_SECONDS, self.change, requests)
        else:
            self.faults.clear()
            set_lease(state, float("inf"))

    def take(self, effects: list[ServingEffect]) -> None:
        """Carry out effects, then schedule the next wake."""
        for effect in effects:
            match effect:
                case SendAttempt():
                    self.send(effect)
                case ForwardAttempt():
                    self.forward(effect)
                case GiveAnswer(answer, req):
                    assert self.submitted[req.request_id] is req
                    self.answers.setdefault(req.request_id, []).append(answer)
        due = next_wake(self.state, self.now)
        if due is not None:
            assert due >= self.now
            self.at(due - self.now, self.wake, due)

    def wake(self, due: float) -> None:
        """Wake the decisions when this is still the next time they asked for."""
        if next_wake(self.state, self.now) == due:
            self.take(wake(self.state, self.now))

    def send(self, effect: SendAttempt) -> None:
        """Start an attempt on an endpoint, as the endpoint's fault has it."""
        name, req = effect.endpoint.name, effect.req
        fault = self.faults.get(name, "")
        self.seen[fault] += 1
        assert effect.seconds > 0, effect
        if name in self.listed:
            self.sent_while_leaving.append(name)
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
        self.most_running = max(self.most_running, self.running[name])
        self.at(seconds, self.leave_slot, name)
        self.end(effect, seconds, result)

    def leave_slot(self, name: str) -> None:
        """Free a slot of an endpoint."""
        self.running[name] -= 1

    def end(self, effect: SendAttempt, seconds: float, result: AttemptResult) -> None:
        """Give a result after some seconds; a few come after the deadline."""
        if self.rng.random() < 0.02:
            seconds += LATE_SECONDS
        self.at(seconds, self.finish, effect.attempt_id, result)

    def finish(self, attempt_id: str, result: AttemptResult) -> None:
        """Give a result, and sometimes the same one again."""
        self.take(handle_result(self.state, attempt_id, result, self.now))
        if self.rng.random() < 0.02:
            self.take(handle_result(self.state, attempt_id, result, self.now))

    def forward(self, effect: ForwardAttempt) -> None:
        """Let a peer run, refuse, lose or miss a forwarded request."""
        self.seen["forwarded"] += 1
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
        self.at(0.01, self.finish, effect.attempt_id, result)


def make_random_world(seed: int) -> RandomWorld:
    """Return a world whose every choice follows from the seed."""
    state = ServingState("vm-1", "dc-a", rng=Random(f"state/{seed}"))
    configure(state, make_configuration(ENDPOINTS, SLOTS), 0.0)
    set_shares(state, {f"runner-{i}": SLOTS for i in range(ENDPOINTS)}, 0.0)
    set_lease(state, 5.0)
    return RandomWorld(Random(f"world/{seed}"), state)
