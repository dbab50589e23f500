"""Virtual-time run of daemons, endpoints and callers."""

from dataclasses import dataclass, field, replace
from heapq import heappop, heappush
from itertools import count
from random import Random

from bench.serving.fakes import CONNECT_SECONDS, FAIL_SECONDS, FakeEndpoint
from bench.serving.scenarios import Fault, Scenario
from bench.serving.traces import Arrival
from bench.serving.users import SERVICE, User, make_configuration, shares_of
from geraniumwell.commands.serving.scheduler import (
    configure,
    handle_result,
    measure_load,
    next_wake,
    set_lease,
    set_peers,
    set_shares,
    submit,
    wake,
)
from geraniumwell.model.request import Answer, Request
from geraniumwell.model.serving import (
    Answered,
    ForwardAnswered,
    ForwardAttempt,
    ForwardLost,
    ForwardNotSent,
    Lost,
    NotSent,
    SendAnswer,
    SendAttempt,
    ServingEffect,
    ServingState,
)
from geraniumwell.model.serving_policy import ServingPolicy

LATENCY_SECONDS = 0.001
LOAD_INTERVAL_SECONDS = 1.0
DECLARED_WRONG_FACTOR = 10.0
SLOW_FACTOR = 10.0


@dataclass(slots=True, eq=False)
class Record:
    """What happened to one request of the trace.

    ``sent_at`` and ``slot_seconds`` belong to the last attempt.
    """

    arrival: Arrival
    answer: Answer | None = None
    answered_at: float = 0.0
    sent_at: float | None = None
    attempts: int = 0
    forwards: int = 0
    executions: int = 0


@dataclass(slots=True, eq=False)
class Daemon:
    """One entry daemon: its decisions and its next wake."""

    vm: str
    state: ServingState
    wake_at: float = float("inf")
    forwarded_from: dict[str, tuple["Daemon", str]] = field(default_factory=dict)


class Simulation:
    """One run of a trace under one policy."""

    __slots__ = (
        "_cfg",
        "_cut",
        "_daemons",
        "_endpoints",
        "_events",
        "_order",
        "_scenario",
        "_user",
        "records",
    )

    def __init__(
        self, user: User, scenario: Scenario, policy: ServingPolicy, seed: int
    ) -> None:
        self._user = user
        self._scenario = scenario
        self._events: list = []
        self._order = count()
        self._cut: str | None = None
        self.records: dict[str, Record] = {}
        wrong = {}
        if scenario.is_declared_wrong:
            wrong = dict.fromkeys((k.name for k in user.kinds), DECLARED_WRONG_FACTOR)
            wrong[user.long] = 1 / DECLARED_WRONG_FACTOR
        cfg = self._cfg = make_configuration(user, wrong)
        self._endpoints = {
            ep.name: FakeEndpoint(ep.name, ep.slots)
            for ep in cfg.services[SERVICE].endpoints
        }
        self._daemons: dict[str, Daemon] = {}
        for vm, data_centre in user.daemons.items():
            state = ServingState(vm, data_centre, policy, Random(f"{vm}/{seed}"))
            set_lease(state, float("inf"))
            set_shares(state, shares_of(user, vm, cfg), 0.0)
            configure(state, cfg, 0.0)
            set_shares(state, shares_of(user, vm, cfg), 0.0)
            self._daemons[vm] = Daemon(vm, state)

    def run(self, trace: list[Arrival]) -> list[Record]:
        """Run the trace until every request has its answer."""
        for arrival in trace:
            self._push(arrival.at, self._arrive, arrival)
        if self._scenario.fault is not None:
            self._push(self._scenario.fault_from, self._begin_fault)
            self._push(self._scenario.fault_to, self._end_fault)
        self._push(0.0, self._share_loads)
        while self._events:
            now, _, action, args = heappop(self._events)
            action(now, *args)
        return list(self.records.values())

    def _push(self, at: float, action: object, *args: object) -> None:
        heappush(self._events, (at, next(self._order), action, args))

    def _arrive(self, now: float, arrival: Arrival) -> None:
        vms = list(self._daemons.values())
        daemon = vms[int(arrival.place * len(vms))]
        kind = arrival.kind
        req = Request(
            str(arrival.number),
            arrival.organisation,
            SERVICE,
            kind.name,
            kind.is_idempotent,
            now + kind.deadline_seconds,
        )
        self.records[req.request_id] = Record(arrival)
        self._carry_out(daemon, submit(daemon.state, req, now), now)

    def _carry_out(
        self, daemon: Daemon, effects: list[ServingEffect], now: float
    ) -> None:
        for effect in effects:
            match effect:
                case SendAttempt():
                    self._send(daemon, effect, now)
                case ForwardAttempt():
                    self._forward(daemon, effect, now)
                case SendAnswer(answer, req):
                    self._answer(daemon, answer, req, now)
        due = next_wake(daemon.state, now)
        if due is not None and (due < daemon.wake_at or daemon.wake_at <= now):
            daemon.wake_at = due
            self._push(due, self._wake, daemon)

    def _wake(self, now: float, daemon: Daemon) -> None:
        if daemon.wake_at == now:
            daemon.wake_at = float("inf")
        self._carry_out(daemon, wake(daemon.state, now), now)

    def _send(self, daemon: Daemon, effect: SendAttempt, now: float) -> None:
        record = self.records[effect.req.request_id]
        record.sent_at = now
        record.attempts += 1
        fake = self._endpoints[effect.endpoint.name]
        attempt_id = effect.attempt_id
        match fake.fault:
            case Fault.DEAD | Fault.OUTAGE:
                result = NotSent("connection refused")
                self._push(
                    now + CONNECT_SECONDS, self._finish, daemon, attempt_id, result
                )
            case Fault.FAILING:
                record.executions += 1
                result = Answered(500, b"", "text/plain")
                self._push(now + FAIL_SECONDS, self._finish, daemon, attempt_id, result)
            case Fault.SILENT:
                result = Lost("no answer in time")
                self._push(
                    now + effect.seconds, self._finish, daemon, attempt_id, result
                )
            case _:
                self._run_work(daemon, effect, fake, record, now)

    def _run_work(
        self,
        daemon: Daemon,
        effect: SendAttempt,
        fake: FakeEndpoint,
        record: Record,
        now: float,
    ) -> None:
        """Run an attempt; it ends at its time limit at the latest."""
        record.executions += 1
        fake.start(effect.attempt_id, daemon)
        seconds = record.arrival.seconds
        if fake.fault is Fault.SLOW:
            seconds *= SLOW_FACTOR
        is_whole = seconds <= effect.seconds
        seconds = min(seconds, effect.seconds)
        result = (
            Answered(200, b"", "text/plain") if is_whole else Lost("no answer in time")
        )
        self._push(
            now + seconds, self._end_work, daemon, effect.attempt_id, fake, result
        )

    def _end_work(
        self,
        now: float,
        daemon: Daemon,
        attempt_id: str,
        fake: FakeEndpoint,
        result: Answered | Lost,
    ) -> None:
        if not fake.end(attempt_id):
            return
        if fake.fault is Fault.SILENT:
            ends_by = daemon.state.attempts[attempt_id].ends_by
            lost = Lost("no answer in time")
            self._push(max(now, ends_by), self._finish, daemon, attempt_id, lost)
            return
        self._finish(now, daemon, attempt_id, result)

    def _finish(
        self, now: float, daemon: Daemon, attempt_id: str, result: object
    ) -> None:
        self._carry_out(
            daemon, handle_result(daemon.state, attempt_id, result, now), now
        )

    def _forward(self, daemon: Daemon, effect: ForwardAttempt, now: float) -> None:
        self.records[effect.req.request_id].forwards += 1
        peer = self._daemons[effect.vm]
        if not self._is_reachable(daemon, peer):
            result = ForwardNotSent("peer unreachable")
            self._push(
                now + CONNECT_SECONDS, self._finish, daemon, effect.attempt_id, result
            )
            return
        req = replace(effect.req, forwarded=True)
        peer.forwarded_from[req.request_id] = (daemon, effect.attempt_id)
        self._push(now + LATENCY_SECONDS, self._submit_forwarded, peer, req)

    def _submit_forwarded(self, now: float, peer: Daemon, req: Request) -> None:
        self._carry_out(peer, submit(peer.state, req, now), now)

    def _answer(self, daemon: Daemon, answer: Answer, req: Request, now: float) -> None:
        if not req.forwarded:
            record = self.records[req.request_id]
            if record.answer is not None:
                raise AssertionError(f"second answer of {req.request_id}")
            record.answer, record.answered_at = answer, now
            return
        origin, attempt_id = daemon.forwarded_from.pop(req.request_id)
        result = ForwardAnswered(answer)
        if not self._is_reachable(origin, daemon):
            result = ForwardLost("peer unreachable")
        self._push(now + LATENCY_SECONDS, self._finish, origin, attempt_id, result)

    def _is_reachable(self, one: Daemon, other: Daemon) -> bool:
        centres = (one.state.data_centre, other.state.data_centre)
        return centres[0] == centres[1] or self._cut not in centres

    def _share_loads(self, now: float) -> None:
        loads = {vm: measure_load(d.state, now) for vm, d in self._daemons.items()}
        for daemon in self._daemons.values():
            peers = [
                loads[other.vm]
                for other in self._daemons.values()
                if other is not daemon and self._is_reachable(daemon, other)
            ]
            self._carry_out(daemon, set_peers(daemon.state, peers, now), now)
        if now < self._scenario.ends_at:
            self._push(now + LOAD_INTERVAL_SECONDS, self._share_loads)

    def _begin_fault(self, now: float) -> None:
        fault = self._scenario.fault
        if fault is Fault.CUT:
            self._cut = self._user.data_centres[0]
            return
        names = list(self._endpoints) if fault is Fault.OUTAGE else ["runner-0"]
        for name in names:
            fake = self._endpoints[name]
            fake.fault = fault
            if fault in (Fault.DEAD, Fault.OUTAGE):
                lost, fake.running = fake.running, {}
                for attempt_id, daemon in lost.items():
                    self._finish(now, daemon, attempt_id, Lost("connection reset"))

    def _end_fault(self, now: float) -> None:
        self._cut = None
        for fake in self._endpoints.values():
            fake.fault = None
