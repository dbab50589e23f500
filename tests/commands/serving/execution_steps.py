"""Steps for execution tickets, without processes."""

from random import Random

from behave import then, when
from behave.runner import Context

from geraniumwell.commands.serving.execution import (
    cache_outcome,
    claim_ticket,
    expire_tickets,
    find_cached_outcome,
    issue_tickets,
    lookup_ticket,
    make_ended,
    parse_ticket,
    record_outcome,
)
from geraniumwell.const import (
    OUTCOME_COPY_LIMIT,
    TICKET_BATCH_LIMIT,
    TICKET_COUNT_LIMIT,
    TICKET_LIFETIME_SECONDS,
    TICKET_RETENTION_SECONDS,
)
from geraniumwell.model.execution import (
    Claimed,
    Ended,
    OutcomeCopyCache,
    TicketRegistry,
)
from geraniumwell.model.request import Outcome

ORGANISATIONS = ("desks", "others")


def make_registry() -> TicketRegistry:
    """Return a ticket registry without tickets."""
    return TicketRegistry("dc-a", "vm-1", "ab12")


def simulate_history(seed: int) -> list[str]:
    """Simulate a random ticket history and return the violations."""
    rng = Random(seed)
    registry, now = make_registry(), 100.0
    issued: dict[int, tuple[str, float]] = {}
    claims: dict[int, Ended | None] = {}
    violations: list[str] = []
    for _ in range(200):
        now += rng.choice((0.0, 1.0, 30.0, 200.0))
        expire_tickets(registry, now)
        org = rng.choice(ORGANISATIONS)
        for text in issue_tickets(registry, org, rng.randrange(3), 2, now):
            issued[parse_ticket(text).sequence] = (org, now)
        sequence = rng.randrange(1, len(issued) + 3)
        state = claim_ticket(registry, sequence, org, now)
        owner, at = issued.get(sequence, ("", 0.0))
        if isinstance(state, Claimed):
            if sequence in claims or owner != org:
                violations.append(
                    f"{sequence} was claimed by {org}, of {owner}, {claims}"
                )
            if now >= at + TICKET_LIFETIME_SECONDS:
                violations.append(f"{sequence} was claimed after it expired")
            claims[sequence] = None
        elif (
            sequence in claims and owner == org and now < at + TICKET_RETENTION_SECONDS
        ):
            found = lookup_ticket(registry, sequence, org, now)
            if isinstance(found, Ended) and found != claims[sequence]:
                violations.append(f"{sequence}: {found} for {claims[sequence]}")
        if claims.get(sequence, 0) is None and rng.random() < 0.5:
            outcome = rng.choice(list(Outcome))
            record_outcome(registry, sequence, outcome, 200)
            claims[sequence] = Ended(outcome, 200)
    expire_tickets(registry, now + TICKET_RETENTION_SECONDS)
    if registry.uses or registry.batches or registry.held:
        violations.append("the registry was not empty after the retention time")
    return violations


@when("{count:d} random ticket histories are simulated")
def step_simulate(context: Context, count: int) -> None:
    context.violations = [
        line for seed in range(count) for line in simulate_history(seed)
    ]


@then("no ticket was claimed twice, after it expired or by another organisation")
def step_no_violation(context: Context) -> None:
    assert not context.violations, context.violations[:5]


@then('"{text}" is not a valid ticket')
def step_no_ticket(context: Context, text: str) -> None:
    assert parse_ticket(text) is None


@when("one of 4 organisations requests tickets until it gets none")
def step_take_all(context: Context) -> None:
    context.registry = make_registry()
    while issue_tickets(context.registry, "desks", TICKET_BATCH_LIMIT, 4, 0.0):
        pass


@then("it holds at most a quarter of the limit")
def step_quarter(context: Context) -> None:
    held = context.registry.held["desks"]
    assert TICKET_BATCH_LIMIT <= held <= TICKET_COUNT_LIMIT // 4, held


@then("another organisation still gets tickets")
def step_other_gets(context: Context) -> None:
    assert len(issue_tickets(context.registry, "others", 10, 4, 0.0)) == 10


@then("no ticket is retained after 15 minutes")
def step_empty(context: Context) -> None:
    expire_tickets(context.registry, TICKET_RETENTION_SECONDS)
    assert not context.registry.batches
    assert not context.registry.held


@when("more outcome copies than the limit are stored")
def step_copies(context: Context) -> None:
    context.copies = OutcomeCopyCache()
    ended = make_ended(Outcome.RAN, 200)
    for number in range(OUTCOME_COPY_LIMIT + 10):
        cache_outcome(context.copies, "desks", f"a.b.c.{number + 1}", ended, 0.0)


@then("only their own organisation finds the newest copies")
def step_found(context: Context) -> None:
    assert len(context.copies.copies) == OUTCOME_COPY_LIMIT
    newest = f"a.b.c.{OUTCOME_COPY_LIMIT + 10}"
    assert find_cached_outcome(context.copies, "desks", newest) is not None
    assert find_cached_outcome(context.copies, "others", newest) is None
