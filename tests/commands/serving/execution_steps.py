"""Steps of execution tickets, without processes."""

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


def make_book() -> TicketRegistry:
    """Return an empty book."""
    return TicketRegistry("dc-a", "vm-1", "ab12")


def play(seed: int) -> list[str]:
    """Play a random history and return what went wrong."""
    rng = Random(seed)
    book, now = make_book(), 100.0
    issued: dict[int, tuple[str, float]] = {}
    claims: dict[int, Ended | None] = {}
    wrong: list[str] = []
    for _ in range(200):
        now += rng.choice((0.0, 1.0, 30.0, 200.0))
        expire_tickets(book, now)
        org = rng.choice(ORGANISATIONS)
        for text in issue_tickets(book, org, rng.randrange(3), 2, now):
            issued[parse_ticket(text).sequence] = (org, now)
        sequence = rng.randrange(1, len(issued) + 3)
        state = claim_ticket(book, sequence, org, now)
        owner, at = issued.get(sequence, ("", 0.0))
        if isinstance(state, Claimed):
            if sequence in claims or owner != org:
                wrong.append(f"{sequence} was claimed by {org}, of {owner}, {claims}")
            if now >= at + TICKET_LIFETIME_SECONDS:
                wrong.append(f"{sequence} was claimed after its life")
            claims[sequence] = None
        elif (
            sequence in claims and owner == org and now < at + TICKET_RETENTION_SECONDS
        ):
            found = lookup_ticket(book, sequence, org, now)
            if isinstance(found, Ended) and found != claims[sequence]:
                wrong.append(f"{sequence}: {found} for {claims[sequence]}")
        if claims.get(sequence, 0) is None and rng.random() < 0.5:
            outcome = rng.choice(list(Outcome))
            record_outcome(book, sequence, outcome, 200)
            claims[sequence] = Ended(outcome, 200)
    expire_tickets(book, now + TICKET_RETENTION_SECONDS)
    if book.uses or book.batches or book.held:
        wrong.append("the book was not empty after all tickets' memory")
    return wrong


@when("{count:d} random histories of tickets are played")
def step_play(context: Context, count: int) -> None:
    context.wrong = [line for seed in range(count) for line in play(seed)]


@then("no ticket was claimed twice, too late or by another organisation")
def step_not_wrong(context: Context) -> None:
    assert not context.wrong, context.wrong[:5]


@then('"{text}" is no ticket')
def step_no_ticket(context: Context, text: str) -> None:
    assert parse_ticket(text) is None


@when("one of 4 organisations asks for as many tickets as it can get")
def step_take_all(context: Context) -> None:
    context.book = make_book()
    while issue_tickets(context.book, "desks", TICKET_BATCH_LIMIT, 4, 0.0):
        pass


@then("it holds no more than a quarter of the limit")
def step_quarter(context: Context) -> None:
    held = context.book.held["desks"]
    assert TICKET_BATCH_LIMIT <= held <= TICKET_COUNT_LIMIT // 4, held


@then("another organisation still gets tickets")
def step_other_gets(context: Context) -> None:
    assert len(issue_tickets(context.book, "others", 10, 4, 0.0)) == 10


@then("after 15 minutes the book is empty")
def step_empty(context: Context) -> None:
    expire_tickets(context.book, TICKET_RETENTION_SECONDS)
    assert not context.book.batches
    assert not context.book.held


@when("copies of more outcomes than the limit are kept")
def step_copies(context: Context) -> None:
    context.copies = OutcomeCopyCache()
    ended = make_ended(Outcome.RAN, 200)
    for number in range(OUTCOME_COPY_LIMIT + 10):
        cache_outcome(context.copies, "desks", f"a.b.c.{number + 1}", ended, 0.0)


@then("the newest copies are found by their organisation only")
def step_found(context: Context) -> None:
    assert len(context.copies.copies) == OUTCOME_COPY_LIMIT
    newest = f"a.b.c.{OUTCOME_COPY_LIMIT + 10}"
    assert find_cached_outcome(context.copies, "desks", newest) is not None
    assert find_cached_outcome(context.copies, "others", newest) is None
