"""Steps for the planning of gang jobs."""

from dataclasses import replace

from behave import given, then, when
from behave.runner import Context

from geraniumwell.model.config import PlannedStop
from geraniumwell.model.gang_view import (
    RecordWaitReasons,
    RejectJob,
    StartGang,
    StopGang,
)
from geraniumwell.model.guarantee import Guarantee
from tests.commands.gangs.gang_world import GangWorld, make_workers, parse_shape


@given("{count:d} gang workers of {accelerators:d} accelerators, {in_rack:d} to a rack")
def step_workers(context: Context, count: int, accelerators: int, in_rack: int) -> None:
    context.gangs = GangWorld(make_workers(count, accelerators, in_rack))


@given("gang workers {names} without accelerators")
def step_core_only_workers(context: Context, names: str) -> None:
    for name in names.split():
        worker = replace(context.gangs.workers["w0"], name=name, accelerators=0)
        context.gangs.workers[name] = worker


@given('{count:d} guaranteed "{shape}" for "{owner}" as "{name}"')
def step_guarantee(
    context: Context, count: int, shape: str, owner: str, name: str
) -> None:
    world = context.gangs
    world.quotas.setdefault(owner, None)
    guarantee = Guarantee(name, owner, "dc", parse_shape(shape), count)
    world.guarantees[name] = guarantee


@given('a gang quota of {quota:d} accelerators for "{organisation}"')
def step_quota(context: Context, quota: int, organisation: str) -> None:
    context.gangs.quotas[organisation] = quota


@given('a planned stop of gang worker "{worker}" in {seconds:d} s')
def step_stop(context: Context, worker: str, seconds: int) -> None:
    at = context.gangs.now + seconds
    context.gangs.stops[worker] = PlannedStop(worker, at, at + 600.0)


@given('gang worker "{worker}" is unreachable')
def step_unreachable(context: Context, worker: str) -> None:
    context.gangs.unreachable |= {worker}


@given("these running gangs")
def step_running(context: Context) -> None:
    for row in context.table:
        context.gangs.add_running(row.as_dict())


@given("these waiting gangs")
def step_waiting(context: Context) -> None:
    for row in context.table:
        context.gangs.add_waiting(row.as_dict())


@when("the gangs are planned")
def step_plan(context: Context) -> None:
    context.gangs.effects = context.gangs.plan()


def find_start_slots(context: Context, job_id: str) -> list[str] | None:
    """Return the slots on which a job starts, or ``None`` if it does not start."""
    for effect in context.gangs.effects:
        if isinstance(effect, StartGang) and effect.job_id == job_id:
            return [
                f"{lease.worker}/{lease.first_accelerator}" for lease in effect.leases
            ]
    return None


@then('"{job_id}" starts at "{places}"')
def step_starts_at(context: Context, job_id: str, places: str) -> None:
    assert find_start_slots(context, job_id) == places.split(), context.gangs.effects


@then('"{job_id}" starts')
def step_starts(context: Context, job_id: str) -> None:
    assert find_start_slots(context, job_id) is not None, context.gangs.effects


@then('"{job_id}" waits because "{text}"')
def step_waits(context: Context, job_id: str, text: str) -> None:
    assert find_start_slots(context, job_id) is None, context.gangs.effects
    lines = [
        line
        for effect in context.gangs.effects
        if isinstance(effect, RecordWaitReasons) and effect.job_id == job_id
        for line in effect.lines
    ]
    assert any(text in line for line in lines), context.gangs.effects


@then('the stopped gangs are "{job_ids}"')
def step_stopped(context: Context, job_ids: str) -> None:
    stops = [e for e in context.gangs.effects if isinstance(e, StopGang)]
    wanted = [] if job_ids == "none" else job_ids.split()
    assert sorted(e.job_id for e in stops) == sorted(wanted), stops


@then('"{job_id}" is rejected because "{text}"')
def step_rejected(context: Context, job_id: str, text: str) -> None:
    rejected = [e for e in context.gangs.effects if isinstance(e, RejectJob)]
    found = [e.reason for e in rejected if e.job_id == job_id]
    assert any(text in reason for reason in found), context.gangs.effects


@then("planning again gives the same effects")
def step_same(context: Context) -> None:
    assert context.gangs.plan() == context.gangs.effects
