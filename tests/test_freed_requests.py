"""A router frees a request and its answer when the request ends.

It must not wait for the garbage collector, which counts objects and not their bytes.
"""

from functools import partial

import msgspec

from lavenderfold.direct._requests import CallerRequest
from lavenderfold.timers import TimerService
from tests.freed_support import nothing_is_kept

CALLER_REQUEST = {
    "attempt_id": "a",
    "host": "h",
    "method": "POST",
    "target": "/x",
    "path": "/x",
    "forwarded_headers": [],
    "body": b"body",
    "caller_timeout_s": None,
}


def record(request: CallerRequest, now: float) -> None:
    """Do nothing at the time of a timer."""


def test_cancelled_timer_keeps_nothing():
    """Guards against requests that their timers keep until these would be due."""
    timers = TimerService(clock=lambda: 0.0)
    with nothing_is_kept(CallerRequest):
        request = msgspec.convert(CALLER_REQUEST, CallerRequest)
        subscription = timers.once(60.0, partial(record, request))
        del request
        subscription.cancel()
