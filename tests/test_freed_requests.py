"""A router frees a request and its answer when the request ends.

It must not wait for the garbage collector, which counts objects and not their bytes.
"""

from contextlib import suppress
from functools import partial

import msgspec
import pytest
import trio

from lavenderfold.direct._attempt import Attempt
from lavenderfold.direct._request_execution import RequestExecution
from lavenderfold.direct._requests import CallerRequest
from lavenderfold.direct._take_over import TakeOver
from lavenderfold.http import HttpClientError, HttpRequest, ResponseWriter
from lavenderfold.timers import TimerService
from tests.direct_support import (
    DirectFleet,
    answer_successfully,
    crash,
    fail,
    reject,
    run_scenario,
    stream,
)
from tests.freed_support import nothing_is_kept

KEPT_TYPES = (Attempt, CallerRequest, RequestExecution)
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
LEAVES_AFTER_S = 0.2
SETTLING_S = 0.3


async def stall(request: HttpRequest, writer: ResponseWriter) -> None:
    """Never answer."""
    await trio.sleep_forever()


async def ask(fleet: DirectFleet, path: str) -> None:
    with trio.move_on_after(LEAVES_AFTER_S):
        try:
            await fleet.send_request(path)
        except HttpClientError:
            return


CASES = {
    "answered once": ("/sign/x", answer_successfully),
    "answered": ("/read/x", answer_successfully),
    "streamed": ("/chat/x", stream()),
    "cut": ("/chat/x", stream(cut=True)),
    "rejected": ("/read/x", reject),
    "failed": ("/read/x", fail),
    "crashed": ("/read/x", crash),
    "crashed once": ("/sign/x", crash),
    "left": ("/read/x", stall),
    "unknown": ("/none/x", answer_successfully),
}


@pytest.mark.parametrize("name", CASES)
def test_ended_request_is_freed_at_once(name):
    """Guards against bodies and answers that nothing counts any more."""
    path, script = CASES[name]

    async def scenario(fleet: DirectFleet) -> None:
        await ask(fleet, path)
        await trio.sleep(SETTLING_S)
        with nothing_is_kept(*KEPT_TYPES):
            for _ in range(3):
                await ask(fleet, path)
            await trio.sleep(SETTLING_S)

    run_scenario(scenario, script, script)


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


def test_request_is_freed_whose_answer_breaks_off():
    """Guards against a request that is kept with the error that ended it."""

    async def work(request: CallerRequest) -> None:
        raise trio.BrokenResourceError

    async def run_take_over() -> None:
        take_over = TakeOver(
            timers=TimerService(),
            start=lambda _: None,
            on_accepted=lambda: None,
            on_end=lambda started, outcome: None,
            on_outcome=lambda started, outcome: None,
            accepts_unanswered=True,
        )
        request = msgspec.convert(CALLER_REQUEST, CallerRequest)
        with suppress(trio.BrokenResourceError):
            await take_over.run(partial(work, request))

    with nothing_is_kept(CallerRequest):
        trio.run(run_take_over)
