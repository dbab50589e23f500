"""Tables of this daemon's counters of requests and refusals."""

from dataclasses import dataclass

from geraniumwell.model.request import RefusalCode
from geraniumwell.model.table import Table, make_table

REASONS = {
    RefusalCode.BODY_TOO_LARGE: "the body is above the limit of the settings",
    RefusalCode.CLASS_UNKNOWN: "no request class of this name; see show classes",
    RefusalCode.DEADLINE_EXPIRED: "the caller's time was over before a slot was free",
    RefusalCode.DUPLICATE_IN_PROGRESS: "the same request id is still in progress",
    RefusalCode.ENDPOINT_FAILED: "the endpoint failed or gave no whole answer",
    RefusalCode.ISSUER_UNREACHABLE: "the daemon that issued the ticket gave no answer",
    RefusalCode.NO_CONFIGURATION: "no configuration was read yet",
    RefusalCode.NO_ENDPOINT: "no endpoint of the service takes new work",
    RefusalCode.NO_LEASE: "this daemon's lease is over; others serve in its place",
    RefusalCode.OVERLOADED: "the wait would be longer than the window of the class",
    RefusalCode.SERVICE_UNKNOWN: "no service of this name; see show services",
    RefusalCode.STOPPING: "this daemon is stopping",
    RefusalCode.TICKET_EXPIRED: "the execution ticket is too old",
    RefusalCode.TICKET_REQUIRED: "work that may run once only needs a ticket",
    RefusalCode.TICKET_UNKNOWN: "the ticket was not issued to this organisation",
    RefusalCode.UNAUTHORISED: "no settings name the caller's token",
}


@dataclass(slots=True, frozen=True)
class CounterSample:
    """Value of a counter for one set of labels."""

    name: str
    labels: dict[str, str]
    value: float


def explain_refusals(samples: tuple[CounterSample, ...]) -> Table:
    """Return the number of refused requests by code, with the meaning of the code."""
    rows = []
    for sample in samples:
        code = sample.labels.get("code") or sample.labels.get("reason") or ""
        if "refus" not in sample.name or not sample.value:
            continue
        others = {k: v for k, v in sample.labels.items() if v != code}
        labels = " ".join(f"{key}={value}" for key, value in sorted(others.items()))
        meaning = REASONS.get(code, "")  # type: ignore[call-overload]
        rows.append((code, int(sample.value), labels, meaning))
    rows.sort(key=lambda row: -row[1])
    note = "counted by this daemon since its start"
    return make_table("code count labels meaning", rows, note)


def show_requests(samples: tuple[CounterSample, ...]) -> Table:
    """Return a table of the request counters."""
    rows = [
        (
            sample.name,
            " ".join(f"{key}={value}" for key, value in sorted(sample.labels.items())),
            sample.value,
        )
        for sample in samples
    ]
    note = "counted by this daemon since its start"
    return make_table("counter labels value", rows, note)
