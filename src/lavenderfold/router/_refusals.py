"""Refusals as callers see them: HTTP status and error JSON."""

import msgspec

from lavenderfold.http import HttpResponse, json_response
from lavenderfold.outcomes import MayHaveRun, NotRun, Outcome, Ran, Reason

RETRY_AFTER_S = 2

STATUS_BY_NOT_RUN_REASON = {
    Reason.BUDGET_SPENT: 402,
    Reason.CLAIMED_ELSEWHERE: 409,
    Reason.INVALID: 400,
    Reason.REQUEST_TOO_OLD: 400,
}
STATUS_BY_MAY_HAVE_RUN_REASON = {
    Reason.CLAIMED_ELSEWHERE: 409,
    Reason.DEADLINE_PASSED: 504,
}
NOT_RUN_STATUS = 503
MAY_HAVE_RUN_STATUS = 502


class AlreadyRan(msgspec.Struct, frozen=True):
    """The request's claim records that it ran before, with this outcome."""

    outcome: Ran


class RefusedError(Exception):
    """The request is answered with an error. ``outcome`` says what is known."""

    def __init__(
        self,
        *,
        status: int,
        kind: str,
        message: str,
        outcome: str = "not_run",
        request_id: str | None = None,
    ):
        super().__init__(message)
        self.status = status
        self.kind = kind
        self.message = message
        self.outcome = outcome
        self.request_id = request_id


def bad_request(
    message: str, *, status: int = 400, kind: str = "invalid_request"
) -> RefusedError:
    """Return the error for input that the router can't accept."""
    return RefusedError(status=status, kind=kind, message=message)


def unknown_request(what: str) -> RefusedError:
    """Return the error for a request that can't be found; it may have run."""
    return RefusedError(
        status=404, kind="unknown_request", message=what, outcome="may_have_run"
    )


def refusal_of(outcome: Outcome, *, request_id: str | None) -> RefusedError:
    """Return the error that tells the caller an outcome without an answer."""
    if isinstance(outcome, NotRun):
        status = STATUS_BY_NOT_RUN_REASON.get(outcome.reason, NOT_RUN_STATUS)
        name = "not_run"
    elif isinstance(outcome, MayHaveRun):
        status = STATUS_BY_MAY_HAVE_RUN_REASON.get(outcome.reason, MAY_HAVE_RUN_STATUS)
        name = "may_have_run"
    else:
        return RefusedError(
            status=409,
            kind="already_ran",
            message=_already_ran(outcome),
            outcome="ran",
            request_id=request_id,
        )
    return RefusedError(
        status=status,
        kind=outcome.reason.value,
        message=outcome.detail or outcome.reason.value.replace("_", " "),
        outcome=name,
        request_id=request_id,
    )


def _already_ran(outcome: Ran) -> str:
    return (
        f"the request ran; its answer of {outcome.length} bytes with SHA-256 "
        f"{outcome.digest} is no longer buffered"
    )


def error_response(error: RefusedError) -> HttpResponse:
    """Return the HTTP response for a refusal."""
    fault = {
        "type": error.kind,
        "message": error.message,
        "request_id": error.request_id,
        "outcome": error.outcome,
    }
    response = json_response(error.status, {"error": fault})
    if error.request_id is not None:
        response.headers.append(("x-request-id", error.request_id))
    if error.status == NOT_RUN_STATUS:
        response.headers.append(("retry-after", str(RETRY_AFTER_S)))
    return response
