"""Decides what a caller does after each exchange; uses neither I/O nor a clock."""

import msgspec

from lavenderfold.replay._records import Attempt, CallOutcome, Step
from lavenderfold.replay._trace import TraceRequest

ATTEMPTS_LIMIT = 12
BACKOFF_BASE_S = 0.1
BACKOFF_LIMIT_S = 2.0
HTTP_NOT_FOUND = 404
# Statuses of refusals after which a later attempt may succeed.
RETRYABLE_STATUSES = frozenset({429, 502, 503, 504})
NON_RETRYABLE_REASONS = frozenset({"budget_spent"})
# Refusals that are due to the state of the router, not to the request.
ROUTER_UNAVAILABLE_REASONS = frozenset({"draining", "not_ready"})


class Decision(msgspec.Struct, frozen=True):
    """The next step, how long to wait before it, and whether to change router."""

    step: Step
    wait_s: float = 0.0
    change_router: bool = False


STOP = Decision(Step.STOP)


def next_step(request: TraceRequest, attempts: list[Attempt]) -> Decision:
    """Return what to do after the last of ``attempts``.

    A request that is not idempotent is posted again only if none of it was sent
    or a router said that it was not run.
    """
    last = attempts[-1]
    if last.outcome is CallOutcome.RAN or len(attempts) >= ATTEMPTS_LIMIT:
        return STOP
    if not last.sent:
        return _retry(last.step, attempts)
    if last.status == 0:
        step = (
            Step.GET_STATE
            if last.step is Step.GET_STATE
            else _step_after_lost_answer(request)
        )
        return _retry(step, attempts)
    return _decide_after_answer(request, attempts)


def final_outcome(request: TraceRequest, attempts: list[Attempt]) -> CallOutcome:
    """Return the outcome of a request, as far as its attempts show it.

    A refusal of an idempotent request only says that this attempt was not run; an
    earlier attempt whose answer was lost may have run. A refusal of a request that
    is not idempotent applies to the request as a whole.
    """
    last = attempts[-1].outcome
    if last is not CallOutcome.NOT_RUN or not request.idempotent:
        return last
    was_never_run = all(attempt.outcome is CallOutcome.NOT_RUN for attempt in attempts)
    return CallOutcome.NOT_RUN if was_never_run else CallOutcome.MAY_HAVE_RUN


def _step_after_lost_answer(request: TraceRequest) -> Step:
    # Repeating a fetch costs less than asking all agents for its answer.
    is_fetch = request.idempotent and not request.kind.is_model
    return Step.POST if is_fetch else Step.RESUME


def _decide_after_answer(request: TraceRequest, attempts: list[Attempt]) -> Decision:
    last = attempts[-1]
    if last.step is not Step.POST and last.status == HTTP_NOT_FOUND:
        return _decide_after_not_found(request, attempts)
    if last.active:
        return _retry(Step.RESUME, attempts)
    if last.outcome is CallOutcome.NOT_RUN:
        return _decide_after_refusal(attempts)
    if last.step is not Step.POST and last.status in RETRYABLE_STATUSES:
        return _retry(last.step, attempts)
    if request.idempotent and last.status in RETRYABLE_STATUSES:
        return _retry(Step.POST, attempts)
    return STOP


def _decide_after_not_found(request: TraceRequest, attempts: list[Attempt]) -> Decision:
    if request.idempotent:
        return _retry(Step.POST, attempts)
    if attempts[-1].step is Step.RESUME:
        return _retry(Step.GET_STATE, attempts)
    # No router or agent knows the request, so its outcome can't be found out.
    return STOP


def _decide_after_refusal(attempts: list[Attempt]) -> Decision:
    last = attempts[-1]
    is_state_answer = last.step is Step.GET_STATE
    if last.reason in NON_RETRYABLE_REASONS:
        return STOP
    if not is_state_answer and last.status not in RETRYABLE_STATUSES:
        return STOP
    return _retry(Step.POST, attempts)


def _retry(step: Step, attempts: list[Attempt]) -> Decision:
    last = attempts[-1]
    wait_s = min(BACKOFF_LIMIT_S, BACKOFF_BASE_S * 2 ** (len(attempts) - 1))
    return Decision(
        step,
        wait_s=max(wait_s, last.retry_after_s),
        change_router=last.status == 0 or last.reason in ROUTER_UNAVAILABLE_REASONS,
    )
