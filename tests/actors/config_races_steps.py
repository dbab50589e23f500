"""Seeded random runs of configuration managers in a single thread."""

from collections import deque
from random import Random
from typing import Any

from behave import then, when
from behave.runner import Context
from loguru import logger
from pykka import ThreadingFuture

from geraniumwell.actors.config_manager import ConfigManager
from geraniumwell.clients.platform import Row, Transaction
from geraniumwell.codec.config import (
    CONFIG_PREFIX,
    HISTORY_PREFIX,
    decode_records,
    decode_stored,
)
from geraniumwell.messages.operators import (
    ChangeApplied,
    ChangeOutcomeUnknown,
    PeerVersionReported,
    SubmitChange,
)
from geraniumwell.messages.peer import PeerAnswered, PeerRequestReceived, PeersChanged
from geraniumwell.messages.platform import (
    PlatformFailed,
    ReadRows,
    RowsRead,
    Transact,
    Transacted,
    TransactionRefused,
)
from geraniumwell.messages.serving import Tick
from geraniumwell.model.change import SetOrganisation
from geraniumwell.model.config import Organisation
from tests.actors.config_manager_steps import Recorder

# Enough changes for a compaction on each seed.
STEPS = 5_000


class Inbox(Recorder):
    """A link whose messages wait until the simulation takes them."""

    def __init__(self) -> None:
        super().__init__()
        self.queue: deque[Any] = deque()

    def tell(self, message: Any) -> None:
        """Queue a message."""
        self.queue.append(message)


class Simulation:
    """A table that loses and delays calls, and the managers that use it."""

    def __init__(self, seed: int, count: int) -> None:
        self.rng = Random(seed)
        self.rows: dict[str, Row] = {}
        self.late: list[Transaction] = []
        self.results: list[tuple[str, ThreadingFuture[Any]]] = []
        self.links = [Inbox() for _ in range(count)]
        self.calls = [Inbox() for _ in range(count)]
        self.subscribers = [Recorder() for _ in range(count)]
        self.managers: list[Any] = []
        for index in range(count):
            args: Any = (self.links[index], Recorder(), (self.subscribers[index],))
            # An actor that is not started handles messages in this thread.
            manager = ConfigManager(*args, f"vm-{index}")
            peers: Any = {f"vm-{n}": self.calls[n] for n in range(count) if n != index}
            manager.on_receive(PeersChanged(peers, dict.fromkeys(peers, "dc-a")))
            self.managers.append(manager)

    def apply(self, transaction: Transaction) -> str | None:
        """Apply a transaction; return the key whose condition failed, or None."""
        for condition in transaction.conditions:
            row = self.rows.get(condition.key)
            if (row.version if row else 0) != condition.version:
                return condition.key
        for put in transaction.puts:
            row = self.rows.get(put.key)
            version = (row.version if row else 0) + 1
            self.rows[put.key] = Row(put.key, version, put.value)
        for key in transaction.deletes:
            self.rows.pop(key, None)
        return None

    def read(self, prefix: str, after: str = "") -> tuple[Row, ...]:
        """Return the rows of a prefix above a key."""
        keys = sorted(k for k in self.rows if k.startswith(prefix) and k > after)
        return tuple(self.rows[key] for key in keys)

    def serve(self, index: int, fault: float) -> None:
        """Answer the next call of one manager, or lose it with a probability."""
        if not self.links[index].queue:
            return
        is_lost = self.rng.random() < fault
        match self.links[index].queue.popleft():
            case ReadRows(tag, _, prefix, after):
                answer: Any = RowsRead(tag, self.read(prefix, after))
            case Transact(tag, _, transaction):
                if is_lost and self.rng.random() < 0.6:
                    self.late.append(transaction)
                    answer = None
                else:
                    key = self.apply(transaction)
                    answer = TransactionRefused(tag, key) if key else Transacted(tag)
        self.managers[index].on_receive(
            PlatformFailed(tag, "lost") if is_lost else answer
        )

    def serve_peer(self, index: int) -> None:
        """Let one manager answer the next call of a peer."""
        if not self.calls[index].queue:
            return
        call = self.calls[index].queue.popleft()
        reply: ThreadingFuture[Any] = ThreadingFuture()
        self.managers[index].on_receive(PeerRequestReceived(call.body, reply))
        caller = next(k for k in self.managers if k.actor_ref == call.receiver)
        caller.on_receive(PeerAnswered(call.tag, f"vm-{index}", reply.get()))

    def submit(self, index: int) -> None:
        """Submit a new command, or repeat an earlier one."""
        known = [command_id for command_id, _ in self.results]
        is_repeated = known and self.rng.random() < 0.3
        command_id = self.rng.choice(known) if is_repeated else f"id-{len(known)}"
        name = f"org-{int(command_id[3:]) % 5}"
        change = SetOrganisation(Organisation(name, int(command_id[3:]) + 1.0))
        reply: ThreadingFuture[Any] = ThreadingFuture()
        self.results.append((command_id, reply))
        msg = SubmitChange(change, "ana", "test", command_id, reply)
        self.managers[index].on_receive(msg)

    def step(self) -> None:
        """Perform one random action."""
        index = self.rng.randrange(len(self.managers))
        choice = self.rng.random()
        if choice < 0.1:
            self.submit(index)
        elif choice < 0.2:
            self.managers[index].on_receive(Tick("config"))
        elif choice < 0.25 and self.late:
            self.apply(self.late.pop(self.rng.randrange(len(self.late))))
        elif choice < 0.35:
            self.serve_peer(index)
        elif choice < 0.38:
            version = self.managers[index - 1]._cfg.version
            seen = PeerVersionReported(
                f"vm-{(index - 1) % len(self.managers)}", version
            )
            self.managers[index].on_receive(seen)
        else:
            self.serve(index, 0.15)

    def converge(self) -> None:
        """Apply all late writes and run until no call is left, without losses."""
        while self.late:
            self.apply(self.late.pop())
        for _ in range(40):
            for index, manager in enumerate(self.managers):
                manager.on_receive(Tick("config"))
                for _ in range(20):
                    self.serve_peer(index)
                    self.serve(index, 0.0)


@when(
    "{count:d} configuration managers make random changes with losses "
    "on {seeds:d} seeds"
)
def step_run(context: Context, count: int, seeds: int) -> None:
    context.simulations = [Simulation(seed, count) for seed in range(seeds)]
    logger.disable("geraniumwell")
    for simulation in context.simulations:
        for _ in range(STEPS):
            simulation.step()
        simulation.converge()
    logger.enable("geraniumwell")


def read_history(simulation: Simulation) -> dict[int, str]:
    """Return the command ids by version."""
    records = decode_records(simulation.read(HISTORY_PREFIX), HISTORY_PREFIX)
    assert [r.version for r in records] == list(range(1, len(records) + 1))
    return {record.version: record.command_id for record in records}


@then("every command appears at most once in the history")
def step_at_most_once(context: Context) -> None:
    for simulation in context.simulations:
        ids = list(read_history(simulation).values())
        assert len(ids) > STEPS // 100, "too few changes to tell anything"
        assert len(ids) == len(set(ids)), ids


@then("every command reported as applied appears there at its version")
def step_applied(context: Context) -> None:
    for simulation in context.simulations:
        history = read_history(simulation)
        for command_id, reply in simulation.results:
            result = reply.get(timeout=0)
            if isinstance(result, ChangeApplied):
                assert history[result.version] == command_id


@then("no command that was only refused appears there")
def step_refused(context: Context) -> None:
    for simulation in context.simulations:
        ids = set(read_history(simulation).values())
        open_ids = {
            command_id
            for command_id, reply in simulation.results
            if isinstance(reply.get(timeout=0), ChangeApplied | ChangeOutcomeUnknown)
        }
        assert ids <= open_ids, ids - open_ids


@then("no actor moved to a lower version and all end with the table's configuration")
def step_converged(context: Context) -> None:
    for simulation in context.simulations:
        cfg = decode_stored(simulation.read(CONFIG_PREFIX)).cfg
        for manager, subscriber in zip(
            simulation.managers, simulation.subscribers, strict=True
        ):
            versions = [message.cfg.version for message in subscriber.messages]
            assert versions == sorted(set(versions)), versions
            assert manager._cfg == cfg
