"""Steps for the membership decisions, on simulated time."""

from dataclasses import replace

from behave import given, then, when
from behave.runner import Context

from geraniumwell.commands.membership.leases import build_heartbeat, record_heartbeat
from tests.commands.membership.fake_data_centre import (
    ENDPOINT,
    STEP_SECONDS,
    FakeDataCentre,
)

FAULT_PROBABILITY = 0.01
RECOVERY_SECONDS = 40.0


def run(context: Context, seconds: float) -> None:
    """Advance simulated time and record the highest number of claimed slots."""
    for _ in range(round(seconds / STEP_SECONDS)):
        context.dc.step()
        context.max_claimed_slots = max(
            context.max_claimed_slots, context.dc.count_claimed_slots()
        )


@given("a data centre with {count:d} daemons")
def step_data_centre(context: Context, count: int) -> None:
    step_seeded(context, count, 0)


@given("a data centre with {count:d} daemons and seed {seed:d}")
def step_seeded(context: Context, count: int, seed: int) -> None:
    context.dc = FakeDataCentre(seed, count)
    context.max_claimed_slots = 0


@when("{seconds:d} seconds pass")
def step_pass(context: Context, seconds: int) -> None:
    run(context, seconds)


@when('"{vm}" crashes')
def step_crash(context: Context, vm: str) -> None:
    context.dc.members[vm].is_dead = True


@when('"{vm}" gets a heartbeat of a new incarnation of "{other}" and then its old row')
def step_old_row(context: Context, vm: str, other: str) -> None:
    old = build_heartbeat(context.dc.members[other].state)
    new = replace(old, incarnation="new", counter=old.counter + 1000)
    for row in (new, old):
        record_heartbeat(context.dc.members[vm].state, row, context.dc.now)


@when('"{vm}" gets a heartbeat of an incarnation of "{other}" with a lower counter')
def step_lower_counter(context: Context, vm: str, other: str) -> None:
    old = build_heartbeat(context.dc.members[other].state)
    new = replace(old, incarnation="new", counter=old.counter - 1000)
    record_heartbeat(context.dc.members[vm].state, new, context.dc.now)


@then('"{vm}" knows the new incarnation of "{other}"')
def step_knows_new(context: Context, vm: str, other: str) -> None:
    known = context.dc.members[vm].state.observed[other].row.incarnation
    assert known == "new", known


@when('"{vm}" is paused for {seconds:d} seconds')
def step_pause(context: Context, vm: str, seconds: int) -> None:
    context.dc.members[vm].paused_until = context.dc.now + seconds


@when("the simulated platform becomes unavailable")
def step_platform_down(context: Context) -> None:
    context.dc.table.is_up = False


@when("random faults are injected for {seconds:d} seconds")
def step_random_faults(context: Context, seconds: int) -> None:
    for _ in range(round(seconds / STEP_SECONDS)):
        if context.dc.random.random() < FAULT_PROBABILITY:
            change_fault(context.dc)
        run(context, STEP_SECONDS)


def change_fault(dc: FakeDataCentre) -> None:
    """Start or clear one fault chosen at random."""
    vm = dc.random.choice(sorted(dc.members))
    match dc.random.randrange(7):
        case 0:
            dc.members[vm].paused_until = dc.now + dc.random.uniform(1, 20)
        case 1:
            dc.members[vm].is_dead = True
        case 2 | 3:
            dc.start(vm)
        case 4:
            dc.table.is_up = not dc.table.is_up
        case 5:
            dc.table.loses_answers = not dc.table.loses_answers
        case 6:
            other = dc.random.choice(sorted(dc.members))
            dc.cut_links ^= {frozenset((vm, other))}


@then("no slot was ever oversubscribed")
def step_never_oversubscribed(context: Context) -> None:
    assert context.max_claimed_slots <= ENDPOINT.slots, context.max_claimed_slots


@then("the daemons together may use {slots:d} slots once the faults end")
def step_recovered(context: Context, slots: int) -> None:
    context.dc.table.is_up = True
    context.dc.table.loses_answers = False
    context.dc.cut_links.clear()
    run(context, RECOVERY_SECONDS)
    step_together(context, slots)
    assert context.max_claimed_slots <= ENDPOINT.slots, context.max_claimed_slots


@then("the daemons together may use {slots:d} slots")
def step_together(context: Context, slots: int) -> None:
    assert context.dc.count_claimed_slots() == slots, context.dc.count_claimed_slots()


@then("every daemon may use {slots:d} slots")
def step_every(context: Context, slots: int) -> None:
    for member in context.dc.members.values():
        assert member.usable_slots == slots, member.usable_slots


@then('"{vm}" may use {slots:d} slots')
def step_one(context: Context, vm: str, slots: int) -> None:
    member = context.dc.members[vm]
    assert context.dc.has_lease(member), "no lease"
    assert member.usable_slots == slots, member.usable_slots


@then('"{vm}" has no lease')
def step_no_lease(context: Context, vm: str) -> None:
    assert not context.dc.has_lease(context.dc.members[vm])
