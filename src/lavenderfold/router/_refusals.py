"""Error responses to callers: HTTP status and JSON body."""

import math

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
    """The outcome of a request whose claim records that it has already run."""

    outcome: Ran


class TemporaryRefusal(NotRun, frozen=True, kw_only=True):
    """A refusal of requests of one kind, for the next ``retry_after_s`` seconds."""

    retry_after_s: float


class RefusedError(Exception):
    """The request is answered with an error response.

    ``kind`` is the error type in the response. ``outcome`` tells the caller
    whether the request didn't run, may have run or ran. ``retry_after_s`` is when a
    caller may ask again after a refusal with status 503.
    """

    def __init__(
        self,
        *,
        status: int,
        kind: str,
        message: str,
        outcome: str = "not_run",
        request_id: str | None = None,
        retry_after_s: float = RETRY_AFTER_S,
    ):
        super().__init__(message)
        self.status = status
        self.kind = kind
        self.message = message
        self.outcome = outcome
        self.request_id = request_id
        self.retry_after_s = retry_after_s


def request_error(
    message: str, *, status: int = 400, kind: str = "invalid_request"
) -> RefusedError:
    """Return the error for a call that the router doesn't carry out."""
    return RefusedError(status=status, kind=kind, message=message)


def unknown_request_error(message: str) -> RefusedError:
    """Return the error for a request id that isn't found; the request may have run."""
    return RefusedError(
        status=404, kind="unknown_request", message=message, outcome="may_have_run"
    )


def error_for_outcome(outcome: Outcome, *, request_id: str | None) -> RefusedError:
    """Return the error that reports an outcome for which there is no answer."""
    if isinstance(outcome, NotRun):
        status = STATUS_BY_NOT_RUN_REASON.get(outcome.reason, NOT_RUN_STATUS)
        outcome_name = "not_run"
    elif isinstance(outcome, MayHaveRun):
        status = STATUS_BY_MAY_HAVE_RUN_REASON.get(outcome.reason, MAY_HAVE_RUN_STATUS)
        outcome_name = "may_have_run"
    else:
        return RefusedError(
            status=409,
            kind="already_ran",
            message=_already_ran_message(outcome),
            outcome="ran",
            request_id=request_id,
        )
    return RefusedError(
        status=status,
        kind=outcome.reason.value,
        message=outcome.detail or outcome.reason.value.replace("_", " "),
        outcome=outcome_name,
        request_id=request_id,
        retry_after_s=_retry_after_s(outcome),
    )


def _retry_after_s(outcome: Outcome) -> float:
    if isinstance(outcome, TemporaryRefusal):
        return outcome.retry_after_s
    return RETRY_AFTER_S


def _already_ran_message(outcome: Ran) -> str:
    return (
        f"the request ran; its answer of {outcome.length} bytes with SHA-256 "
        f"{outcome.digest} is no longer buffered"
    )


def error_response(error: RefusedError) -> HttpResponse:
    """Return the HTTP response for an error."""
    error_fields = {
        "type": error.kind,
        "message": error.message,
        "request_id": error.request_id,
        "outcome": error.outcome,
    }
    response = json_response(error.status, {"error": error_fields})
    if error.request_id is not None:
        response.headers.append(("x-request-id", error.request_id))
    if error.status == NOT_RUN_STATUS:
        response.headers.append(("retry-after", str(math.ceil(error.retry_after_s))))
    return response
