"""A router whose event loop is slow, but not slow enough to refuse requests."""

import time

import trio

from lavenderfold.fleet import Organisation, RepeatPolicy
from tests.direct_support import make_config, make_route, run_scenario

TIMEOUT_S = 0.6
REQUESTS = 8
# Several times the timeout and the time that sending takes on the slow event loop.
WAIT_S = 8.0


def suspend(duration_s: float) -> None:
    """Stop the event loop, and with it the process."""
    time.sleep(duration_s)


def test_request_ends_on_a_slow_event_loop():
    """Guards against a request that is neither answered nor refused at its timeout.

    Each turn of the event loop takes 0.15 s, less than the delay from which on the
    router refuses requests.
    """

    async def never(request, writer):
        await trio.sleep(30)

    async def scenario(fleet):
        async def load_event_loop():
            while True:
                suspend(0.15)
                await trio.lowlevel.checkpoint()

        ended_s = []

        async def send(number):
            started_at = trio.current_time()
            answer = await fleet.send_request(
                "/sign/x", attempt=f"a{number}", patience="0.6"
            )
            assert answer.status in (502, 504)
            ended_s.append(trio.current_time() - started_at)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(load_event_loop)
            with trio.move_on_after(WAIT_S):
                async with trio.open_nursery() as callers:
                    for number in range(REQUESTS):
                        callers.start_soon(send, number)
            is_refusing = fleet.router.event_loop_monitor.is_refusing
            nursery.cancel_scope.cancel()
        assert not is_refusing
        assert len(ended_s) == REQUESTS, f"ended after {ended_s} s"

    route = make_route("sign", RepeatPolicy.SINGLE_RUN, timeout_s=TIMEOUT_S)
    # Without a limit, so that no reservation has to be waited for.
    organisation = Organisation(name="org", keys=("secret",), limit_tokens=None)
    config = make_config(routes=(route,), organisations=(organisation,))
    run_scenario(scenario, never, config=config)
