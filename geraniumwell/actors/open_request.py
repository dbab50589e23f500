"""Open requests, and conversions between requests, messages and results."""

from dataclasses import dataclass

from pykka import Future

from geraniumwell.clients.endpoint import EndpointAnswer
from geraniumwell.messages.peer import ForwardRequest, PeerReply
from geraniumwell.model.request import Answer, Request
from geraniumwell.model.serving import (
    Answered,
    ForwardAnswered,
    ForwardLost,
    ForwardNotSent,
    Lost,
    NotSent,
)

# Reasons of a retry by the kind of result of the previous attempt.
RETRY_REASONS = {
    Answered: "refused_by_endpoint",
    NotSent: "not_sent",
    Lost: "answer_lost",
    ForwardAnswered: "refused_by_peer",
    ForwardNotSent: "forward_not_sent",
    ForwardLost: "forward_lost",
}


@dataclass(slots=True)
class OpenRequest:
    """A request that is not answered yet, and the receivers of its answer."""

    req: Request
    arrived_at: float
    caller: Future[Answer] | None = None
    peer: Future[PeerReply] | None = None
    sequence: int | None = None
    attempts: int = 0
    last_failure: str = ""


def make_answered(answer: EndpointAnswer) -> Answered:
    """Return an endpoint's response as the result of its attempt."""
    return Answered(
        answer.status, answer.body, answer.content_type, answer.not_run, answer.leaving
    )


def make_request(body: ForwardRequest, now: float) -> Request:
    """Return the request that a peer has forwarded."""
    return Request(
        request_id=body.request_id,
        organisation=body.organisation,
        service=body.service,
        class_name=body.class_name,
        idempotent=body.idempotent,
        deadline=now + body.remaining_ms / 1000,
        body=body.body,
        content_type=body.content_type,
        forwarded=True,
    )
