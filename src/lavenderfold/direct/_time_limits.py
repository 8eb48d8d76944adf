"""Until when a request is to be answered, and whether there is time for it."""

import msgspec

from lavenderfold.direct._requests import CallerRequest
from lavenderfold.fleet import Route

# A slow event loop takes at most this part of a request's time for its answer; a
# request that needs more is refused.
ANSWER_RESERVE_SHARE = 0.25


class TimeLimits(msgspec.Struct, frozen=True, kw_only=True):
    """The time limits of one request, on the trio clock.

    Its caller waits since ``waits_since``, which is before the request was read, and
    leaves at ``caller_deadline``. The timeout of the route ends at ``deadline``. A
    request without an answer is ended ``answer_reserve_s`` before that, so that what
    the router answers instead is written in time.
    """

    waits_since: float
    deadline: float
    caller_deadline: float
    answer_reserve_s: float


def time_limits(
    route: Route, request: CallerRequest, *, waits_since: float, request_delay_s: float
) -> TimeLimits:
    """Return the limits of a request, if the event loop delays it by so much."""
    caller_timeout_s = request.caller_timeout_s or route.timeout_s
    timeout_s = min(caller_timeout_s, route.timeout_s)
    return TimeLimits(
        waits_since=waits_since,
        deadline=waits_since + timeout_s,
        caller_deadline=waits_since + caller_timeout_s,
        answer_reserve_s=min(request_delay_s, ANSWER_RESERVE_SHARE * timeout_s),
    )


def is_too_late(
    route: Route, limits: TimeLimits, *, now: float, request_delay_s: float
) -> bool:
    """Return whether a request that is begun now can't be answered in time."""
    due_at = limits.deadline - limits.answer_reserve_s
    if route.patience_s is not None:
        due_at = min(due_at, limits.waits_since + route.patience_s)
    return now + request_delay_s >= due_at
