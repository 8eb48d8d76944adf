"""A real router whose event loop is slow, as found in a review."""

import time

import trio

from lavenderfold.fleet import RepeatPolicy
from tests.direct_support import make_config, make_route, run_scenario

TIMEOUT_S = 0.6


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

        async with trio.open_nursery() as nursery:
            nursery.start_soon(load_event_loop)
            with trio.move_on_after(8.0):
                answer = await fleet.send_request("/sign/x", patience="0.6")
                assert answer.status in (502, 504)
                nursery.cancel_scope.cancel()
                return
            nursery.cancel_scope.cancel()
        assert not fleet.router.event_loop_monitor.is_refusing
        raise AssertionError("no answer 7.4 s after the timeout")

    route = make_route("sign", RepeatPolicy.SINGLE_RUN, timeout_s=TIMEOUT_S)
    run_scenario(scenario, never, config=make_config(routes=(route,)))
