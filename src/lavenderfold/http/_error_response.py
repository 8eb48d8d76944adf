"""Responses of the server itself to requests that it doesn't pass to a handler."""

from lavenderfold.http._messages import (
    HttpResponse,
    RefusedForMemoryError,
    json_response,
)

# When a caller that was refused for lack of memory may come again.
MEMORY_RETRY_AFTER_S = 1.0


def error_response(error: Exception) -> HttpResponse:
    """Return the response to a malformed or refused request."""
    status = getattr(error, "status", None) or getattr(error, "error_status_hint", 400)
    details = {"type": "malformed_request", "message": str(error)}
    if isinstance(error, RefusedForMemoryError):
        details["type"] = "overloaded"
    body = {"error": {**details, "request_id": None, "outcome": "not_run"}}
    response = json_response(status, body)
    if isinstance(error, RefusedForMemoryError):
        response.headers.append(("retry-after", f"{MEMORY_RETRY_AFTER_S:.3f}"))
    return response
