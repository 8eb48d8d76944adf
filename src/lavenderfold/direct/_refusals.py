"""Error responses of the router itself."""

import msgspec

from lavenderfold.http import HttpResponse, json_response
from lavenderfold.outcomes import Reason

DEFAULT_RETRY_AFTER_S = 0.25

STATUS_BY_REASON = {
    Reason.BUDGET_SPENT: 402,
    Reason.BUDGET_UNAVAILABLE: 503,
    Reason.CONNECTION_FAILED: 503,
    Reason.CONNECTION_LOST: 502,
    Reason.DEADLINE_PASSED: 504,
    Reason.DRAINING: 503,
    Reason.ISOLATED: 503,
    Reason.NO_TARGET: 503,
    Reason.NOT_READY: 503,
    Reason.OVERLOADED: 503,
    Reason.PATIENCE_OVER: 504,
    Reason.PROMPT_QUARANTINED: 503,
    Reason.TARGET_FAILED: 502,
    Reason.TARGETS_PAUSED: 503,
}


class Refusal(msgspec.Struct, frozen=True, kw_only=True):
    """A refusal by the router, with an optional Retry-After in seconds."""

    status: int
    reason: str
    outcome: str
    retry_after_s: float | None = None


def not_run(reason: Reason, *, retry_after_s: float | None = None) -> Refusal:
    """Return the refusal of a request that hasn't run and won't run."""
    return Refusal(
        status=STATUS_BY_REASON[reason],
        reason=reason.value,
        outcome="not_run",
        retry_after_s=retry_after_s,
    )


def may_have_run(reason: Reason, *, status: int | None = None) -> Refusal:
    """Return the refusal of a request that may have run.

    Its status must not be one that guarantees that the request didn't run.
    """
    usual_status = STATUS_BY_REASON[reason]
    return Refusal(
        status=status or (usual_status if usual_status in (502, 504) else 502),
        reason=reason.value,
        outcome="may_have_run",
    )


def unanswered(reason: Reason, *, is_uncertain: bool) -> Refusal:
    """Return the refusal of a request whose time for an answer is over.

    ``reason`` is why; if it's certain that the request didn't run, the refusal says
    that no target could be reached.
    """
    if is_uncertain:
        return may_have_run(reason)
    return not_run(Reason.CONNECTION_FAILED, retry_after_s=DEFAULT_RETRY_AFTER_S)


def refusal_response(refusal: Refusal, headers: list[tuple[str, str]]) -> HttpResponse:
    """Return the refusal as an HTTP response."""
    body = {"error": {"type": refusal.reason, "outcome": refusal.outcome}}
    response = json_response(refusal.status, body)
    response.headers += headers
    if refusal.retry_after_s is not None:
        response.headers.append(("retry-after", f"{refusal.retry_after_s:.3f}"))
    return response
