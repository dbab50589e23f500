"""Retries of attempts that are safe to repeat, limited by a token budget."""

from geraniumwell.model.serving import PendingRequest, ServingState
from geraniumwell.model.serving_policy import BudgetedRetry, NoRetry


def add_retry_tokens(state: ServingState) -> None:
    """Add the fraction of a retry token that each first attempt earns."""
    match state.policy.retry:
        case BudgetedRetry(ratio, burst, _):
            state.retry_tokens = min(state.retry_tokens + ratio, burst)


def consume_retry_token(
    state: ServingState, pending: PendingRequest, is_known_not_run: bool, now: float
) -> bool:
    """Return whether to retry a request, and deduct the retry from the budget.

    Parameters
    ----------
    state : ServingState
        Holds the retry budget.
    pending : PendingRequest
        The request whose attempt failed.
    is_known_not_run : bool
        Whether the failed attempt is known not to have run.
    now : float
        Monotonic seconds.
    """
    if not is_known_not_run and not pending.req.idempotent:
        return False
    if pending.is_answered or now >= pending.req.deadline:
        return False
    match state.policy.retry:
        case NoRetry():
            return False
        case BudgetedRetry(attempts_max=limit):
            if pending.attempts >= limit or state.retry_tokens < 1:
                return False
            state.retry_tokens -= 1
            return True
