"""Which outcomes of an attempt a request is retried after."""

from lavenderfold.outcomes import MayHaveRun, NotRun, Reason
from lavenderfold.router._requests import CallerRequest

# These conditions are short, or not caused by the target's load, so that a retry
# after them doesn't count against the retry budget.
FREE_RETRY_REASONS = frozenset(
    {Reason.DRAINING, Reason.FENCED, Reason.NOT_READY, Reason.NO_TARGET}
)
RETRIED_REASONS = FREE_RETRY_REASONS | {
    Reason.CONNECTION_FAILED,
    Reason.NO_TARGET,
    Reason.OVERLOADED,
    Reason.TARGET_FAILED,
}


def may_retry(request: CallerRequest, outcome: NotRun | MayHaveRun) -> bool:
    """Return whether the outcome allows a retry, apart from all limits."""
    if isinstance(outcome, MayHaveRun):
        return request.route.idempotent
    return outcome.reason in RETRIED_REASONS


def uses_retry_budget(request: CallerRequest, outcome: NotRun | MayHaveRun) -> bool:
    """Return whether the retry counts against the retry budget.

    A request that isn't urgent goes back to the queue if the target was full.
    That counts as waiting and not as a retry.
    """
    if outcome.reason in FREE_RETRY_REASONS:
        return False
    is_urgent = request.request_class.priority == 0
    return is_urgent or outcome.reason is not Reason.OVERLOADED
