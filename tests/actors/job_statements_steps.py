"""Steps for job statements, with scripted links to peers and a scripted decider."""

from typing import Any

from behave import given, then, when
from behave.runner import Context
from pykka import ThreadingFuture

from geraniumwell.actors.statements import StatementRunner, StatementServer
from geraniumwell.codec.json import encode_json
from geraniumwell.codec.settings import parse_settings
from geraniumwell.exceptions import GeraniumwellError
from geraniumwell.language.parser import parse_statements
from geraniumwell.messages.gangs import JobAccepted, JobRefused, ListJobs, SubmitJob
from geraniumwell.messages.operators import ManagerState, ReadState
from geraniumwell.messages.peer import (
    PeerAnswered,
    PeerCallFailed,
    PeerRequestReceived,
    RunStatement,
    StatementResult,
)
from geraniumwell.model.config import Configuration, Organisation
from geraniumwell.model.job import Job, JobRecord, JobState, Shape, Stoppable
from geraniumwell.model.table import Table
from geraniumwell.queries.show import show_jobs, show_version
from tests.actors.config_manager_steps import REPLY_SECONDS, ActorHandle
from tests.support.processes import make_settings

JOB = (
    "submit job for desks in {} members 2 accelerators 8 lasting 1h "
    'because "caravan forecast"'
)


class ScriptedManager:
    """Replies with a fixed state and counts requests to change it."""

    def __init__(self, state: ManagerState) -> None:
        self.state = state
        self.changes = 0

    def tell(self, message: Any) -> None:
        """Answer a message."""
        match message:
            case ReadState(reply):
                reply.set(self.state)
            case _:
                self.changes += 1


class ScriptedDecider:
    """Accepts every job, or refuses with a code."""

    def __init__(self) -> None:
        self.code = ""
        self.job_id = ""
        self.submitted: list[Job] = []

    def tell(self, message: Any) -> None:
        """Answer a message."""
        match message:
            case SubmitJob(job, reply):
                self.submitted.append(job)
                refused = JobRefused(job.job_id, self.code, "scripted")
                reply.set(refused if self.code else JobAccepted(job.job_id))
            case ListJobs(reply):
                reply.set((make_record(self.job_id),) if self.job_id else ())


class ScriptedLink:
    """Answers each call with a result, or fails it."""

    def __init__(self, vm: str) -> None:
        self.vm = vm
        self.calls: list[Any] = []
        self.is_sent: bool | None = None
        self.table: Table | None = None

    def tell(self, call: Any) -> None:
        """Answer a call."""
        self.calls.append(call.body)
        if self.is_sent is not None:
            failed = PeerCallFailed(call.tag, self.vm, self.is_sent, "scripted")
            call.receiver.tell(failed)
            return
        table = self.table or Table(lines=("done by a peer",))
        result = StatementResult(json_text=encode_json(table).decode())
        call.receiver.tell(PeerAnswered(call.tag, self.vm, result))


def make_record(job_id: str) -> JobRecord:
    """Return a record of an accepted job."""
    job = Job(job_id, "desks", "dc-a", Shape(1, 1), 60.0, Stoppable(), 0.0)
    return JobRecord(job, JobState.ACCEPTED)


@given('a daemon in "{data_centre}" that knows the organisation "{name}"')
def step_daemon(context: Context, data_centre: str, name: str) -> None:
    context.data_centre = data_centre
    context.cfg = Configuration(5, organisations={name: Organisation(name)})
    context.decider = ScriptedDecider()


@given('peers "{first}" in "{dc_1}" and "{second}" in "{dc_2}"')
def step_peers(context: Context, first: str, dc_1: str, second: str, dc_2: str) -> None:
    context.links = {first: ScriptedLink(first), second: ScriptedLink(second)}
    centres = {first: dc_1, second: dc_2}
    links: Any = context.links
    state = ManagerState(context.cfg, False, (), links, centres)
    context.scripted_manager = ScriptedManager(state)
    settings = make_settings("vm-1", context.data_centre, "127.0.0.1:1")
    cfg = parse_settings(encode_json(settings))
    dependencies: Any = (context.scripted_manager, None, context.decider)
    context.runner = StatementRunner(cfg, *dependencies, tuple)


@given('the local decider refuses with "{code}"')
def step_refuses(context: Context, code: str) -> None:
    context.decider.code = code


@given('the local decider knows the job "{job_id}"')
def step_knows(context: Context, job_id: str) -> None:
    context.decider.job_id = job_id


@given('the call to "{vm}" fails with {sending}')
def step_fails(context: Context, vm: str, sending: str) -> None:
    context.links[vm].is_sent = sending == "the request sent"


@given('"{vm}" answers a list with the job "{job_id}"')
def step_list(context: Context, vm: str, job_id: str) -> None:
    context.links[vm].table = show_jobs([make_record(job_id)])


@given('"{vm}" answers that it applies version {version:d}')
def step_applies(context: Context, vm: str, version: int) -> None:
    context.links[vm].table = show_version(Configuration(version), ())


def run(context: Context, text: str, command_id: str) -> None:
    """Run a statement of ana and keep its table or its error."""
    (statement,) = parse_statements(text)
    context.error, context.result = None, None
    try:
        context.result = context.runner.run(statement, "ana", command_id)
    except GeraniumwellError as exc:
        context.error = exc


@when('ana submits a job in "{data_centre}" as the command "{command_id}"')
def step_submit(context: Context, data_centre: str, command_id: str) -> None:
    run(context, JOB.format(data_centre), command_id)


@when('ana asks "{text}"')
def step_ask(context: Context, text: str) -> None:
    run(context, text, "cmd")


@when('a peer sends a submission in "{data_centre}"')
def step_peer_submits(context: Context, data_centre: str) -> None:
    text = JOB.format(data_centre).replace("job for", "job j-1 for")
    step_peer_sends(context, text)


@when('a peer sends "{text}"')
def step_peer_sends(context: Context, text: str) -> None:
    server = StatementServer.start(context.runner)
    context.processes.append(ActorHandle(server))
    reply: ThreadingFuture[Any] = ThreadingFuture()
    server.tell(PeerRequestReceived(RunStatement(text.replace("'", '"'), "ana"), reply))
    context.result = reply.get(timeout=REPLY_SECONDS)


@then('"{vm}" is sent the submission of job "{job_id}" by ana')
def step_sent(context: Context, vm: str, job_id: str) -> None:
    (body,) = context.links[vm].calls
    assert body.author == "ana"
    (statement,) = parse_statements(body.text)
    assert statement.job_id == job_id, body.text
    assert statement.reason == "caravan forecast", body.text


@then('"{vm}" is sent nothing')
def step_sent_nothing(context: Context, vm: str) -> None:
    assert context.links[vm].calls == []


@then('the operator is told that job "{job_id}" is accepted')
def step_accepted(context: Context, job_id: str) -> None:
    assert context.error is None, context.error
    assert context.result.lines == ("done by a peer",), context.result
    assert context.decider.submitted == [], job_id


@then('the operator\'s statement fails with "{code}"')
def step_fails_with(context: Context, code: str) -> None:
    assert context.error is not None, context.result
    assert context.error.code == code, context.error


@then('the peer is answered with "{code}"')
def step_peer_answered(context: Context, code: str) -> None:
    assert context.result.error_code == code, context.result
    assert context.scripted_manager.changes == 0


@then('the list holds "{first}" and "{second}" and names "{vm}"')
def step_holds(context: Context, first: str, second: str, vm: str) -> None:
    found = sorted(row["job"] for row in context.result.rows)
    assert found == [first, second], found
    assert any(vm in line for line in context.result.lines), context.result.lines


@then('the states are "{vm_1}" {state_1}, "{vm_2}" {state_2} and "{vm_3}" {state_3}')
def step_states(context: Context, **wanted: str) -> None:
    found = {row["vm"]: row["state"] for row in context.result.rows}
    assert found == {wanted[f"vm_{n}"]: wanted[f"state_{n}"] for n in (1, 2, 3)}, found


@then('the effect is "{effect}" because "{text}"')
def step_effect(context: Context, effect: str, text: str) -> None:
    assert context.error is None, context.error
    assert context.result.rows[0]["effect"] == effect, context.result
    assert text in "\n".join(context.result.lines), context.result


@then("neither the decider nor the configuration manager was asked to change")
def step_unchanged(context: Context) -> None:
    assert context.decider.submitted == []
    assert context.scripted_manager.changes == 0
