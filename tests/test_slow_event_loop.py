"""A router whose event loop is slow, but not slow enough to refuse requests."""

import time

import pytest
import trio

from lavenderfold.fleet import Organisation, RepeatPolicy
from tests.direct_support import make_config, make_route, run_scenario
from tests.raw_callers import (
    ANSWER_SLACK_S,
    TIMEOUT_S,
    CallersInBurst,
    make_short_config,
)

REQUESTS = 8
TURN_S = 0.15
# Enough for the router to notice that its event loop is slow.
MONITOR_WAIT_S = 3.0
# Several times the longer timeout and the time that sending takes.
WAIT_S = 8.0


def suspend(duration_s: float) -> None:
    """Stop the event loop, and with it the process."""
    time.sleep(duration_s)


async def never_answer(request, writer) -> None:
    await trio.sleep(30)


async def load_event_loop() -> None:
    """Let each turn of the event loop take TURN_S, until cancelled."""
    while True:
        suspend(TURN_S)
        await trio.lowlevel.checkpoint()


@pytest.mark.parametrize("timeout_s", [0.6, 3.0])
def test_request_ends_on_a_slow_event_loop(timeout_s):
    """Guards against a request that is neither answered nor refused at its timeout.

    Each turn of the event loop takes 0.15 s, less than the delay from which on the
    router refuses all requests. With the shorter timeout some can't reach a target in
    time; what is answered 503 must never reach one.
    """

    async def scenario(fleet):
        ended_s = []
        refused_ids = set()

        async def send(number):
            started_at = trio.current_time()
            answer = await fleet.send_request(
                "/sign/x", attempt=f"a{number}", patience=str(timeout_s)
            )
            assert answer.status in (502, 503, 504)
            if answer.status == 503:
                refused_ids.add(f"a{number}")
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
        received = fleet.target_by_id["t0"].received
        sent_on_ids = {each.header("x-attempt") for each in received}
        assert not refused_ids & sent_on_ids
        assert sent_on_ids or timeout_s < 1

    route = make_route("sign", RepeatPolicy.SINGLE_RUN, timeout_s=timeout_s)
    # Without a limit, so that no reservation has to be waited for.
    organisation = Organisation(name="org", keys=("secret",), limit_tokens=None)
    config = make_config(routes=(route,), organisations=(organisation,))
    run_scenario(scenario, never_answer, config=config)


def test_requests_at_a_slow_router_are_answered_by_their_timeout():
    """Guards against answers that the turns of the event loop make late.

    A request takes several turns until it reaches a target, and several more from its
    timeout to its answer.
    """

    async def scenario(fleet):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(load_event_loop)
            await trio.sleep(MONITOR_WAIT_S)
            callers = CallersInBurst(address=fleet.address, count=REQUESTS)
            await trio.to_thread.run_sync(callers.run)
            nursery.cancel_scope.cancel()
        assert len(callers.answered_s) == REQUESTS
        assert max(callers.answered_s) <= TIMEOUT_S + ANSWER_SLACK_S

    run_scenario(scenario, never_answer, config=make_short_config())
