"""Retries: only what is safe to repeat, within a budget."""

from geraniumwell.model.serving import PendingRequest, ServingState
from geraniumwell.model.serving_policy import BudgetedRetry, NoRetry


def earn_retry(state: ServingState) -> None:
    """Add the part of a retry that a first attempt earns."""
    match state.policy.retry:
        case BudgetedRetry(ratio, burst, _):
            state.retry_tokens = min(state.retry_tokens + ratio, burst)


def take_retry(
    state: ServingState, pending: PendingRequest, is_certainly_not_run: bool, now: float
) -> bool:
    """Return whether to retry a request, and take the retry from the budget.

    Parameters
    ----------
    state : ServingState
        The state that holds the budget.
    pending : PendingRequest
        The request whose attempt failed.
    is_certainly_not_run : bool
        Whether it is certain that the attempt did not run.
    now : float
        The time.
    """
    if not is_certainly_not_run and not pending.req.idempotent:
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
