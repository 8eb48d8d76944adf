"""Error responses of the router itself."""

import msgspec

from lavenderfold.admission import retry_after_s
from lavenderfold.http import HttpResponse, json_response
from lavenderfold.outcomes import Reason

# How long the cause of a refusal is expected to last if nothing is known of it.
DEFAULT_EXPECTED_S = 0.25

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
    """A refusal by the router, with an optional Retry-After in seconds.

    ``expected_s`` is how long its cause is expected to last. The Retry-After is spread
    from there, unless ``retry_after_s`` gives it.
    """

    status: int
    reason: str
    outcome: str
    expected_s: float | None = None
    retry_after_s: float | None = None


def not_run(
    reason: Reason,
    *,
    expected_s: float | None = None,
    retry_after_s: float | None = None,
) -> Refusal:
    """Return the refusal of a request that hasn't run and won't run.

    See Refusal for the times; without both there is no Retry-After.
    """
    return Refusal(
        status=STATUS_BY_REASON[reason],
        reason=reason.value,
        outcome="not_run",
        expected_s=expected_s,
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
    return not_run(Reason.CONNECTION_FAILED, expected_s=DEFAULT_EXPECTED_S)


def refusal_response(
    refusal: Refusal,
    headers: list[tuple[str, str]],
    *,
    caller_left_s: float,
    draw: float,
) -> HttpResponse:
    """Return the refusal as an HTTP response.

    See ``retry_after_s`` for the caller's time and the random number.
    """
    body = {"error": {"type": refusal.reason, "outcome": refusal.outcome}}
    response = json_response(refusal.status, body)
    response.headers += headers
    after_s = refusal.retry_after_s
    if after_s is None and refusal.expected_s is not None:
        after_s = retry_after_s(
            expected_s=refusal.expected_s, caller_left_s=caller_left_s, draw=draw
        )
    if after_s is not None:
        response.headers.append(("retry-after", f"{after_s:.3f}"))
    return response
