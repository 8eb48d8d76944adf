"""Decides what a caller does after each exchange; without I/O or clock."""

import msgspec

from lavenderfold.replay._records import Attempt, CallOutcome, Step
from lavenderfold.replay._trace import TraceRequest

ATTEMPTS_LIMIT = 12
BACKOFF_BASE_S = 0.1
BACKOFF_LIMIT_S = 2.0
NOT_FOUND = 404
# Refusals that a later attempt can turn into an answer.
RETRYABLE_STATUSES = frozenset({429, 502, 503, 504})
FINAL_REASONS = frozenset({"budget_spent"})
# Refusals that concern the router rather than the request.
LEAVING_REASONS = frozenset({"draining", "not_ready"})


class Decision(msgspec.Struct, frozen=True):
    """The next step, how long to wait before it, and whether to change router."""

    step: Step
    wait_s: float = 0.0
    change_router: bool = False


STOP = Decision(Step.STOP)


def next_step(request: TraceRequest, attempts: list[Attempt]) -> Decision:
    """Return what to do after the last of ``attempts``.

    A request that may not repeat is posted again only if nothing of it was
    sent or an answer said that it was not run.
    """
    last = attempts[-1]
    if last.outcome is CallOutcome.RAN or len(attempts) >= ATTEMPTS_LIMIT:
        return STOP
    if not last.sent:
        return _next(last.step, attempts)
    if last.status == 0:
        step = (
            Step.GET_STATE
            if last.step is Step.GET_STATE
            else _after_lost_answer(request)
        )
        return _next(step, attempts)
    return _after_answer(request, attempts)


def final_outcome(request: TraceRequest, attempts: list[Attempt]) -> CallOutcome:
    """Return what the caller knows of its request after these attempts.

    A refusal says only that its own attempt was not run. An earlier attempt of
    a repeatable request that lost its answer may have run nevertheless; for one
    that must not repeat the refusal speaks of the whole request.
    """
    last = attempts[-1].outcome
    if last is not CallOutcome.NOT_RUN or not request.idempotent:
        return last
    refused = all(attempt.outcome is CallOutcome.NOT_RUN for attempt in attempts)
    return CallOutcome.NOT_RUN if refused else CallOutcome.MAY_HAVE_RUN


def _after_lost_answer(request: TraceRequest) -> Step:
    # A fetch is cheaper to repeat than to search for at all agents.
    is_fetch = request.idempotent and not request.kind.is_model
    return Step.POST if is_fetch else Step.RESUME


def _after_answer(request: TraceRequest, attempts: list[Attempt]) -> Decision:
    last = attempts[-1]
    if last.step is not Step.POST and last.status == NOT_FOUND:
        return _after_not_found(request, attempts)
    if last.active:
        return _next(Step.RESUME, attempts)
    if last.outcome is CallOutcome.NOT_RUN:
        return _after_refusal(attempts)
    if last.step is not Step.POST and last.status in RETRYABLE_STATUSES:
        return _next(last.step, attempts)
    if request.idempotent and last.status in RETRYABLE_STATUSES:
        return _next(Step.POST, attempts)
    return STOP


def _after_not_found(request: TraceRequest, attempts: list[Attempt]) -> Decision:
    if request.idempotent:
        return _next(Step.POST, attempts)
    if attempts[-1].step is Step.RESUME:
        return _next(Step.GET_STATE, attempts)
    # Nobody knows the request; whether it ran can't be learnt any more.
    return STOP


def _after_refusal(attempts: list[Attempt]) -> Decision:
    last = attempts[-1]
    asked = last.step is Step.GET_STATE
    if last.reason in FINAL_REASONS:
        return STOP
    if not asked and last.status not in RETRYABLE_STATUSES:
        return STOP
    return _next(Step.POST, attempts)


def _next(step: Step, attempts: list[Attempt]) -> Decision:
    last = attempts[-1]
    wait_s = min(BACKOFF_LIMIT_S, BACKOFF_BASE_S * 2 ** (len(attempts) - 1))
    return Decision(
        step,
        wait_s=max(wait_s, last.retry_after_s),
        change_router=last.status == 0 or last.reason in LEAVING_REASONS,
    )
