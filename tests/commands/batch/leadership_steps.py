"""Steps of the leader claim."""

from behave import given, then
from behave.runner import Context

from geraniumwell.commands.batch.leadership import (
    CLAIM_AFTER_SECONDS,
    HOLDER_VALID_SECONDS,
    LeaderObservation,
    find_claim_delay,
    find_handover_targets,
    make_claim,
    may_claim,
    record_leader_row,
)
from geraniumwell.model.batch.leader import LeaderRow


@given("no daemon has claimed leadership yet")
def step_unclaimed(context: Context) -> None:
    context.observation = LeaderObservation()
    record_leader_row(context.observation, None, 0, 0.0)


@given(
    '"{holder}" is leader in epoch {epoch:d} and its row last changed at second {at:g}'
)
def step_leader(context: Context, holder: str, epoch: int, at: float) -> None:
    context.observation = LeaderObservation()
    record_leader_row(context.observation, LeaderRow(holder, epoch, 7, {}), 3, at)
    record_leader_row(context.observation, LeaderRow(holder, epoch, 7, {}), 3, at + 0.5)


@given('"" is leader in epoch {epoch:d} and its row last changed at second {at:g}')
def step_released(context: Context, epoch: int, at: float) -> None:
    step_leader(context, "", epoch, at)


@then('"{name}" may claim leadership at second {now:g} with epoch {epoch:d}')
def step_may(context: Context, name: str, now: float, epoch: int) -> None:
    assert may_claim(context.observation, name, now)
    assert make_claim(context.observation, name) == LeaderRow(name, epoch, 0, {})


@then('"{name}" may not claim leadership at second {now:g}')
def step_may_not(context: Context, name: str, now: float) -> None:
    assert not may_claim(context.observation, name, now)


@then("a leader stops issuing orders before another daemon may claim leadership")
def step_validity_ends_first(context: Context) -> None:
    assert HOLDER_VALID_SECONDS < CLAIM_AFTER_SECONDS


@then(
    "a VM with {cores:g} cores, the strongest having {best:g}, may claim leadership"
    " at second {now:g}"
)
def step_vm_may(context: Context, cores: float, best: float, now: float) -> None:
    assert may_claim(
        context.observation,
        "a",
        now,
        find_claim_delay(context.observation, cores, best),
    )


@then(
    "a VM with {cores:g} cores, the strongest having {best:g}, may not claim"
    " leadership at second {now:g}"
)
def step_vm_may_not(context: Context, cores: float, best: float, now: float) -> None:
    assert not may_claim(
        context.observation,
        "a",
        now,
        find_claim_delay(context.observation, cores, best),
    )


@given('peers with the cores "{peers}"')
def step_peers(context: Context, peers: str) -> None:
    pairs = (item.split("=") for item in peers.split())
    context.peers = {name: float(cores) for name, cores in pairs}


@then('a VM with {cores:g} cores hands leadership over to "{names}"')
def step_handover_targets(context: Context, cores: float, names: str) -> None:
    assert find_handover_targets(cores, context.peers) == names.split()


@then('a VM with {cores:g} cores hands leadership over to ""')
def step_no_handover_target(context: Context, cores: float) -> None:
    step_handover_targets(context, cores, "")
