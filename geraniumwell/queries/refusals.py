"""Tables of this daemon's counters of requests and refusals."""

from dataclasses import dataclass

from geraniumwell.model.request import RefusalCode
from geraniumwell.model.table import Table, make_table

REASONS = {
    RefusalCode.BODY_TOO_LARGE: "the body exceeds the limit in the settings",
    RefusalCode.CLASS_UNKNOWN: "no request class of this name; see show classes",
    RefusalCode.DEADLINE_EXPIRED: "the window or deadline of the request has passed",
    RefusalCode.DUPLICATE_IN_PROGRESS: "the same request id is still in progress",
    RefusalCode.ENDPOINT_FAILED: "the endpoint failed or sent no complete response",
    RefusalCode.ISSUER_UNREACHABLE: "the daemon that issued the ticket did not respond",
    RefusalCode.NO_CONFIGURATION: "no configuration was read yet",
    RefusalCode.NO_ENDPOINT: "no endpoint of the service accepts new work",
    RefusalCode.NO_LEASE: "this daemon's lease has expired; others use its slots",
    RefusalCode.OVERLOADED: "the wait would be longer than the window of the class",
    RefusalCode.SERVICE_UNKNOWN: "no service of this name; see show services",
    RefusalCode.STOPPING: "this daemon is stopping",
    RefusalCode.TICKET_EXPIRED: "the execution ticket has expired",
    RefusalCode.TICKET_REQUIRED: "a non-idempotent request needs an execution ticket",
    RefusalCode.TICKET_UNKNOWN: "the ticket was not issued to this organisation",
    RefusalCode.UNAUTHORISED: "the caller's token is not in the settings",
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
