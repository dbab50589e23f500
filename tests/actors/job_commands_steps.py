"""Steps for a decider in the test process, with real workers and platform."""

from math import inf
from typing import Any

from behave import given, step, then, when
from behave.runner import Context
from msgspec import convert
from pykka import ActorRef, ThreadingFuture

from geraniumwell.actors.decider import Decider
from geraniumwell.actors.platform_link import PlatformLink
from geraniumwell.actors.ticker import Ticker
from geraniumwell.clients.platform import HttpPlatformClient
from geraniumwell.clients.worker import HttpWorkerClient
from geraniumwell.messages.gangs import (
    CancelJob,
    DeciderElected,
    DeciderRetired,
    ExplainJob,
    JobAccepted,
    JobOutcomeUnknown,
    JobRefused,
    ListJobs,
    SubmitJob,
)
from geraniumwell.messages.membership import LeaseExtended
from geraniumwell.messages.platform import RowsRead
from geraniumwell.messages.serving import ConfigurationChanged, Tick
from geraniumwell.model.config import Configuration
from geraniumwell.model.job import Job
from tests.support.gangs import DATA_CENTRE, LONG_WAIT_SECONDS, GangCluster, make_job
from tests.support.processes import wait_until

NAMES = {JobAccepted: "accepted", JobRefused: "refused", JobOutcomeUnknown: "unknown"}


class LocalDecider:
    """A decider with its ticker and configuration, stopped with the scenario."""

    def __init__(self, cluster: GangCluster, epoch: int) -> None:
        self._ticker = Ticker()
        self._ticker.start()
        link = PlatformLink.start(HttpPlatformClient(cluster.platform.address))
        self.ref = Decider.start(
            DATA_CENTRE, "vm-1", link, self._ticker, HttpWorkerClient
        )
        self._actors: list[ActorRef] = [self.ref, link]
        self.ref.tell(ConfigurationChanged(convert(cluster.cfg, Configuration)))
        self.ref.tell(LeaseExtended(inf))
        self.ref.tell(DeciderElected(epoch))

    def ask(self, kind: type, *args: Any) -> Any:
        """Send a message with a reply and return the answer."""
        future: ThreadingFuture = ThreadingFuture()
        self.ref.tell(kind(*args, future))
        return future.get(timeout=LONG_WAIT_SECONDS)

    def is_active(self) -> bool:
        """Return whether it is active; only then it knows which jobs don't exist."""
        return self.ask(CancelJob, "none", "ana", "test").code == "job_unknown"

    def close(self) -> None:
        """Stop the actors."""
        for actor in self._actors:
            actor.stop(block=False)
        self._ticker.stop()


def submit(context: Context, job_id: str, members: int, accelerators: int = 8) -> Any:
    """Submit a job and return the answer."""
    context.jobs = getattr(context, "jobs", {})
    job = convert(make_job(job_id, members, accelerators), Job)
    return context.decider.ask(SubmitJob, context.jobs.setdefault(job_id, job))


def state_of(context: Context, job_id: str) -> str:
    """Return the state of a job as the decider knows it."""
    records = context.decider.ask(ListJobs)
    return next((r.state for r in records if r.job.job_id == job_id), "")


@given("a decider in this process")
def step_decider(context: Context) -> None:
    context.decider = LocalDecider(context.cluster, 1)
    context.processes.append(context.decider)
    wait_until(context.decider.is_active, "the decider being active")


@when('the job "{job_id}" of {members:d} members is submitted')
def step_submit(context: Context, job_id: str, members: int) -> None:
    context.answer = submit(context, job_id, members)


@when("{number:d} jobs of {members:d} members with {size:d} accelerators are submitted")
def step_submit_all(context: Context, number: int, members: int, size: int) -> None:
    for index in range(1, number + 1):
        answer = submit(context, f"j-{index}", members, size)
        assert isinstance(answer, JobAccepted), answer


@step('the job "{job_id}" reaches the state "{state}"')
def step_reaches(context: Context, job_id: str, state: str) -> None:
    wait_until(
        lambda: state_of(context, job_id) == state,
        f"job {job_id} being {state}",
        LONG_WAIT_SECONDS,
    )


@step('all {number:d} jobs reach the state "{state}"')
def step_all_reach(context: Context, number: int, state: str) -> None:
    for index in range(1, number + 1):
        step_reaches(context, f"j-{index}", state)


@when('the job "{job_id}" is cancelled')
def step_cancel(context: Context, job_id: str) -> None:
    context.answer = context.decider.ask(CancelJob, job_id, "ana", "no longer needed")


@when("all {number:d} jobs are cancelled at once")
def step_cancel_all(context: Context, number: int) -> None:
    futures = [ThreadingFuture() for _ in range(number)]
    for index, future in enumerate(futures, 1):
        context.decider.ref.tell(CancelJob(f"j-{index}", "ana", "wave", future))
    answers = [future.get(timeout=LONG_WAIT_SECONDS) for future in futures]
    assert all(isinstance(a, JobAccepted) for a in answers), answers


@then('the submission is "{name}"')
@then('the cancellation is "{name}"')
def step_answer(context: Context, name: str) -> None:
    assert NAMES[type(context.answer)] == name, context.answer


@then('the submission is refused with the code "{code}"')
@then('the cancellation is refused with the code "{code}"')
def step_answer_code(context: Context, code: str) -> None:
    assert isinstance(context.answer, JobRefused), context.answer
    assert context.answer.code == code, context.answer


@then('the job "{job_id}" has {number:d} tasks that run')
def step_tasks(context: Context, job_id: str, number: int) -> None:
    step_reaches(context, job_id, "running")
    runs = [run for run in context.cluster.runs() if run["job"] == job_id]
    assert len(runs) == number, runs
    assert all(run["ended"] is None for run in runs), runs


@then('no row and no task of "{job_id}" exist')
def step_nothing_recorded(context: Context, job_id: str) -> None:
    assert context.cluster.record(job_id) == {}
    assert not [run for run in context.cluster.runs() if run["job"] == job_id]


@then('nothing of "{job_id}" runs and its reason names the author')
def step_stopped(context: Context, job_id: str) -> None:
    runs = [run for run in context.cluster.runs() if run["job"] == job_id]
    assert all(run["ended"] is not None for run in runs), runs
    lines = context.decider.ask(ExplainJob, job_id).lines
    assert any("cancelled by ana" in line for line in lines), lines


@when("the decider has detected the outage")
def step_outage_detected(context: Context) -> None:
    def is_detected() -> bool:
        answer = context.decider.ask(CancelJob, "none", "ana", "test")
        return answer.code == "platform_unavailable"

    wait_until(is_detected, "the decider detecting the outage")


@when("the decider is retired")
def step_retire(context: Context) -> None:
    context.decider.ref.tell(DeciderRetired(1))


@when("the decider receives a message that its handler fails on")
def step_error(context: Context) -> None:
    # A response without its fields makes the handler fail.
    context.decider.ref.tell(RowsRead.__new__(RowsRead))


@when(
    'the job "{job_id}" of {members:d} members '
    "is submitted once the decider is active again"
)
def step_submit_again(context: Context, job_id: str, members: int) -> None:
    wait_until(context.decider.is_active, "the decider being active again")
    context.answer = submit(context, job_id, members)


@when("another decider is elected in epoch {epoch:d} while the first is still active")
def step_second(context: Context, epoch: int) -> None:
    context.old = context.decider
    context.decider = LocalDecider(context.cluster, epoch)
    context.processes.append(context.decider)
    wait_until(context.decider.is_active, "the second decider being active")


@when("another decider is elected in epoch {epoch:d} and its polls fail")
def step_unclaimed(context: Context, epoch: int) -> None:
    late = LocalDecider(context.cluster, epoch)
    context.processes.append(late)
    # Three polls of the platform, each of which fails.
    for _ in range(3):
        late.ref.tell(Tick("poll"))
        late.ask(ListJobs)
    before = len(context.cluster.calls(0, "renew"))
    wait_until(lambda: len(context.cluster.calls(0, "renew")) > before, "a renewal")


@then("no worker has seen epoch {epoch:d}")
def step_unseen(context: Context, epoch: int) -> None:
    calls = [c for w in range(2) for c in context.cluster.log(w)["calls"]]
    assert all(call["epoch"] < epoch for call in calls), calls


@then("the first decider is refused by a worker and steps down")
def step_old_retires(context: Context) -> None:
    wait_until(lambda: not context.old.is_active(), "the retirement")
    answer = context.old.ask(CancelJob, "none", "ana", "test")
    assert answer.code == "not_decider", answer
    calls = [c for w in range(2) for c in context.cluster.log(w)["calls"]]
    assert any(call["refused"] for call in calls), calls


@when("another decider claims the data centre in epoch {epoch:d}")
def step_claim(context: Context, epoch: int) -> None:
    context.cluster.put(f"decider/{DATA_CENTRE}", {"epoch": epoch, "vm": "vm-9:0"})
