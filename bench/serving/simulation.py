"""Simulation of daemons, endpoints and callers on virtual time."""

from dataclasses import dataclass, field, replace
from heapq import heappop, heappush
from itertools import count
from random import Random

from bench.serving.fakes import CONNECT_SECONDS, FAIL_SECONDS, FakeEndpoint
from bench.serving.scenarios import Fault, Scenario
from bench.serving.traces import Arrival
from bench.serving.users import SERVICE, User, find_shares, make_configuration
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

PEER_LATENCY_SECONDS = 0.001
LOAD_INTERVAL_SECONDS = 1.0
WRONG_SIZE_FACTOR = 10.0
SLOW_FACTOR = 10.0


@dataclass(slots=True, eq=False)
class Record:
    """What happened to one request of the trace.

    ``sent_at`` belongs to the last attempt.
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
    """An entry daemon: state of its decisions and the time of its next wake-up."""

    vm: str
    state: ServingState
    wake_at: float = float("inf")
    forwarded_from: dict[str, tuple["Daemon", str]] = field(default_factory=dict)


class Simulation:
    """Simulation of a trace under one policy."""

    __slots__ = (
        "_cfg",
        "_isolated_data_centre",
        "_daemons",
        "_endpoints",
        "_events",
        "_event_numbers",
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
        self._event_numbers = count()
        self._isolated_data_centre: str | None = None
        self.records: dict[str, Record] = {}
        declared_factors = {}
        if scenario.is_declared_wrong:
            declared_factors = dict.fromkeys(
                (k.name for k in user.kinds), WRONG_SIZE_FACTOR
            )
            declared_factors[user.long] = 1 / WRONG_SIZE_FACTOR
        cfg = self._cfg = make_configuration(user, declared_factors)
        self._endpoints = {
            ep.name: FakeEndpoint(ep.name, ep.slots)
            for ep in cfg.services[SERVICE].endpoints
        }
        self._daemons: dict[str, Daemon] = {}
        for vm, data_centre in user.daemons.items():
            state = ServingState(vm, data_centre, policy, Random(f"{vm}/{seed}"))
            set_lease(state, float("inf"))
            set_shares(state, find_shares(user, vm, cfg), 0.0)
            configure(state, cfg, 0.0)
            set_shares(state, find_shares(user, vm, cfg), 0.0)
            self._daemons[vm] = Daemon(vm, state)

    def run(self, trace: list[Arrival]) -> list[Record]:
        """Run the trace until every request has an answer."""
        for arrival in trace:
            self._push_event(arrival.at, self._handle_arrival, arrival)
        if self._scenario.fault is not None:
            self._push_event(self._scenario.fault_from, self._begin_fault)
            self._push_event(self._scenario.fault_to, self._end_fault)
        self._push_event(0.0, self._exchange_loads)
        while self._events:
            now, _, action, args = heappop(self._events)
            action(now, *args)
        return list(self.records.values())

    def _push_event(self, at: float, action: object, *args: object) -> None:
        heappush(self._events, (at, next(self._event_numbers), action, args))

    def _handle_arrival(self, now: float, arrival: Arrival) -> None:
        daemons = list(self._daemons.values())
        daemon = daemons[int(arrival.position * len(daemons))]
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
        self._apply_effects(daemon, submit(daemon.state, req, now), now)

    def _apply_effects(
        self, daemon: Daemon, effects: list[ServingEffect], now: float
    ) -> None:
        for effect in effects:
            match effect:
                case SendAttempt():
                    self._send(daemon, effect, now)
                case ForwardAttempt():
                    self._forward(daemon, effect, now)
                case SendAnswer(answer, req):
                    self._handle_answer(daemon, answer, req, now)
        due = next_wake(daemon.state, now)
        if due is not None and (due < daemon.wake_at or daemon.wake_at <= now):
            daemon.wake_at = due
            self._push_event(due, self._wake, daemon)

    def _wake(self, now: float, daemon: Daemon) -> None:
        if daemon.wake_at == now:
            daemon.wake_at = float("inf")
        self._apply_effects(daemon, wake(daemon.state, now), now)

    def _send(self, daemon: Daemon, effect: SendAttempt, now: float) -> None:
        record = self.records[effect.req.request_id]
        record.sent_at = now
        record.attempts += 1
        endpoint = self._endpoints[effect.endpoint.name]
        attempt_id = effect.attempt_id
        match endpoint.fault:
            case Fault.DEAD | Fault.OUTAGE:
                result = NotSent("connection refused")
                self._push_event(
                    now + CONNECT_SECONDS,
                    self._handle_result,
                    daemon,
                    attempt_id,
                    result,
                )
            case Fault.FAILING:
                record.executions += 1
                result = Answered(500, b"", "text/plain")
                self._push_event(
                    now + FAIL_SECONDS, self._handle_result, daemon, attempt_id, result
                )
            case Fault.SILENT:
                result = Lost("no answer in time")
                self._push_event(
                    now + effect.seconds,
                    self._handle_result,
                    daemon,
                    attempt_id,
                    result,
                )
            case _:
                self._run_work(daemon, effect, endpoint, record, now)

    def _run_work(
        self,
        daemon: Daemon,
        effect: SendAttempt,
        endpoint: FakeEndpoint,
        record: Record,
        now: float,
    ) -> None:
        """Run an attempt, which is lost if it exceeds its time limit."""
        record.executions += 1
        endpoint.start(effect.attempt_id, daemon)
        seconds = record.arrival.seconds
        if endpoint.fault is Fault.SLOW:
            seconds *= SLOW_FACTOR
        is_complete = seconds <= effect.seconds
        seconds = min(seconds, effect.seconds)
        result = (
            Answered(200, b"", "text/plain")
            if is_complete
            else Lost("no answer in time")
        )
        self._push_event(
            now + seconds,
            self._finish_work,
            daemon,
            effect.attempt_id,
            endpoint,
            result,
        )

    def _finish_work(
        self,
        now: float,
        daemon: Daemon,
        attempt_id: str,
        endpoint: FakeEndpoint,
        result: Answered | Lost,
    ) -> None:
        if not endpoint.end(attempt_id):
            return
        if endpoint.fault is Fault.SILENT:
            ends_by = daemon.state.attempts[attempt_id].ends_by
            timeout = Lost("no answer in time")
            self._push_event(
                max(now, ends_by),
                self._handle_result,
                daemon,
                attempt_id,
                timeout,
            )
            return
        self._handle_result(now, daemon, attempt_id, result)

    def _handle_result(
        self, now: float, daemon: Daemon, attempt_id: str, result: object
    ) -> None:
        self._apply_effects(
            daemon, handle_result(daemon.state, attempt_id, result, now), now
        )

    def _forward(self, daemon: Daemon, effect: ForwardAttempt, now: float) -> None:
        self.records[effect.req.request_id].forwards += 1
        peer = self._daemons[effect.vm]
        if not self._is_reachable(daemon, peer):
            result = ForwardNotSent("peer unreachable")
            self._push_event(
                now + CONNECT_SECONDS,
                self._handle_result,
                daemon,
                effect.attempt_id,
                result,
            )
            return
        req = replace(effect.req, forwarded=True)
        peer.forwarded_from[req.request_id] = (daemon, effect.attempt_id)
        self._push_event(now + PEER_LATENCY_SECONDS, self._submit_forwarded, peer, req)

    def _submit_forwarded(self, now: float, peer: Daemon, req: Request) -> None:
        self._apply_effects(peer, submit(peer.state, req, now), now)

    def _handle_answer(
        self, daemon: Daemon, answer: Answer, req: Request, now: float
    ) -> None:
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
        self._push_event(
            now + PEER_LATENCY_SECONDS, self._handle_result, origin, attempt_id, result
        )

    def _is_reachable(self, first: Daemon, second: Daemon) -> bool:
        data_centres = (first.state.data_centre, second.state.data_centre)
        return (
            data_centres[0] == data_centres[1]
            or self._isolated_data_centre not in data_centres
        )

    def _exchange_loads(self, now: float) -> None:
        loads = {vm: measure_load(d.state, now) for vm, d in self._daemons.items()}
        for daemon in self._daemons.values():
            peers = [
                loads[other.vm]
                for other in self._daemons.values()
                if other is not daemon and self._is_reachable(daemon, other)
            ]
            self._apply_effects(daemon, set_peers(daemon.state, peers, now), now)
        if now < self._scenario.ends_at:
            self._push_event(now + LOAD_INTERVAL_SECONDS, self._exchange_loads)

    def _begin_fault(self, now: float) -> None:
        fault = self._scenario.fault
        if fault is Fault.CUT:
            self._isolated_data_centre = self._user.data_centres[0]
            return
        faulty = list(self._endpoints) if fault is Fault.OUTAGE else ["runner-0"]
        for name in faulty:
            endpoint = self._endpoints[name]
            endpoint.fault = fault
            if fault in (Fault.DEAD, Fault.OUTAGE):
                lost_attempts, endpoint.running = endpoint.running, {}
                for attempt_id, daemon in lost_attempts.items():
                    self._handle_result(
                        now, daemon, attempt_id, Lost("connection reset")
                    )

    def _end_fault(self, now: float) -> None:
        self._isolated_data_centre = None
        for endpoint in self._endpoints.values():
            endpoint.fault = None
