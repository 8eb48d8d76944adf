"""Waits, deadlines and retries of the direct router, as found in a review."""

import socket
import time

import pytest
import trio
from trio.testing import MockClock

from lavenderfold.direct import _request_execution
from lavenderfold.direct._target_wait import RECHECK_S, TargetWait
from lavenderfold.fleet import RepeatPolicy
from lavenderfold.http import ResponseLostError
from lavenderfold.settings import Address
from lavenderfold.timers import TimerService
from tests.direct_support import (
    HttpResponse,
    event,
    make_config,
    make_route,
    reject,
    run_scenario,
    stream,
    valid_headers,
)

TIMEOUT_S = 0.6
WHOLE_STREAM = b"".join(event(number) for number in range(1, 5))


def suspend(duration_s: float) -> None:
    """Stop the event loop, and with it the process."""
    time.sleep(duration_s)


def stream_config(**changes):
    changes = {"is_resumable": True, **changes}
    return make_config(routes=(make_route("draft", RepeatPolicy.STREAM, **changes),))


@pytest.mark.parametrize("late_s", [0.0, 0.06])
def test_stream_ends_at_the_timeout_if_its_events_are_close_together(late_s):
    """Guards against a stream that goes on for as long as its target sends events.

    The event loop is ``late_s`` late at the timeout, which is reset to the past by
    each read and then counts as a late check again.
    """

    async def tokens(request, writer):
        headers = [*valid_headers(request), ("content-type", "text/event-stream")]
        await writer.start(200, headers)
        for number in range(1, 80):
            await writer.write(event(number))
            await trio.sleep(0.05)

    async def scenario(fleet):
        started_at = trio.current_time()

        async def delay_event_loop():
            await trio.sleep_until(started_at + TIMEOUT_S - 0.02)
            suspend(0.02 + late_s)

        async with trio.open_nursery() as nursery:
            if late_s:
                nursery.start_soon(delay_event_loop)
            with pytest.raises(ResponseLostError):
                await fleet.send_request("/draft/x", patience="3")
        assert trio.current_time() - started_at < TIMEOUT_S + 0.6

    run_scenario(scenario, tokens, config=stream_config(timeout_s=TIMEOUT_S))


@pytest.mark.parametrize("turn_s", [0.01, 0.05, 0.07, 0.15, 0.3])
def test_wait_ends_at_the_deadline_on_a_slow_event_loop(turn_s):
    """Guards against waits that never end while each turn of the event loop is long.

    Delays below 0.5 s are within what a router accepts requests with.
    """
    clock = MockClock()

    async def main():
        timers = TimerService(clock=trio.current_time)
        ended_at = []

        async def wait():
            target_wait = TargetWait(
                timers=timers, deadline=2.0, try_take_over=lambda: False
            )
            with target_wait.until_silent(1.0):
                await trio.sleep_forever()
            ended_at.append(trio.current_time())

        async with trio.open_nursery() as nursery:
            nursery.start_soon(timers.run)
            nursery.start_soon(wait)
            while trio.current_time() < 30.0 and not ended_at:
                # Each turn of the event loop takes ``turn_s``.
                await trio.testing.wait_all_tasks_blocked()
                clock.jump(turn_s)
            nursery.cancel_scope.cancel()
        assert ended_at, "the wait hasn't ended 28 s after its deadline"
        assert ended_at[0] < 2.0 + 2 * turn_s + 0.5

    trio.run(main, clock=clock)


def test_wait_is_checked_at_its_own_limit_after_a_longer_wait():
    """Guards against a silent target that is replaced only by the first wait's limit.

    The check that is scheduled for the head comes late for the next event, and is
    taken for a late event loop.
    """

    async def main():
        timers = TimerService(clock=trio.current_time)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(timers.run)
            target_wait = TargetWait(
                timers=timers,
                deadline=trio.current_time() + 60.0,
                try_take_over=lambda: True,
            )
            with target_wait.until_silent(trio.current_time() + 5.0):
                await trio.sleep(0.1)
            silent_since = trio.current_time()
            with target_wait.until_silent(silent_since + 0.6):
                await trio.sleep_forever()
            nursery.cancel_scope.cancel()
            return trio.current_time() - silent_since

    silent_s = trio.run(main, clock=MockClock(autojump_threshold=0))
    assert silent_s <= 0.6 + RECHECK_S


def pause_then(other):
    """Return a script for two targets: the first pauses in its stream.

    The target that takes over runs ``other``.
    """

    async def script(request, writer):
        if request.header("x-last") is not None or script.begun:
            await other(request, writer)
            return
        script.begun = True
        headers = [*valid_headers(request), ("content-type", "text/event-stream")]
        await writer.start(200, headers)
        for number in range(1, 5):
            if number == 3:
                await trio.sleep(1.0)
            await writer.write(event(number))
        await writer.finish()

    script.begun = False
    return script


def test_stream_goes_on_if_the_target_that_takes_over_refuses_it():
    """Guards against a stream that is cut for a target that doesn't take it.

    Its first target would have gone on 0.4 s later. A refusal that is certainly not
    run uses up the last attempt.
    """

    async def scenario(fleet):
        answer = await fleet.send_request("/draft/x", patience="6")
        assert answer.body == WHOLE_STREAM

    script = pause_then(reject)
    run_scenario(scenario, script, script, config=stream_config(timeout_s=6.0))


def test_request_is_answered_if_the_target_that_takes_over_refuses_it():
    """Guards against 502 for a request that its silent target was about to answer."""
    begun = []

    async def script(request, writer):
        if begun:
            await reject(request, writer)
            return
        begun.append(request)
        await trio.sleep(1.0)
        headers = valid_headers(request)
        await writer.send(HttpResponse(status=200, headers=headers, body=b"done"))

    async def scenario(fleet):
        answer = await fleet.send_request("/read/x", patience="6")
        assert (answer.status, answer.body) == (200, b"done")

    route = make_route("read", RepeatPolicy.IDEMPOTENT, timeout_s=6.0)
    run_scenario(scenario, script, script, config=make_config(routes=(route,)))


def test_reserved_retry_is_used_only_if_another_target_is_usable():
    """Guards against a retry that was reserved once and is acted on much later.

    The first take-over found an event that arrived in the same turn; the other target
    has left before the second silence.
    """
    outcomes = []
    original = _request_execution.RequestExecution._try_take_over

    def race(self, silent):
        # As in a turn in which the event has arrived as well: the retry is reserved,
        # and the wait isn't cancelled any more.
        if not outcomes:
            outcomes.append(original(self, silent))
            return False
        return original(self, silent)

    async def script(request, writer):
        headers = [*valid_headers(request), ("content-type", "text/event-stream")]
        await writer.start(200, headers)
        for number in range(1, 5):
            if number in (2, 4):
                await trio.sleep(0.9)
            await writer.write(event(number))
        await writer.finish()

    async def scenario(fleet):
        answers = []

        async def send():
            answers.append(await fleet.send_request("/draft/x", patience="6"))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(send)
            await fleet.wait_until(lambda: bool(outcomes))
            for target in fleet.target_by_id.values():
                if not target.received:
                    fleet.register(target, is_draining=True)
        assert outcomes == [True]
        assert answers[0].body == WHOLE_STREAM

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(_request_execution.RequestExecution, "_try_take_over", race)
        config = stream_config(timeout_s=6.0)
        run_scenario(scenario, script, script, config=config)


def test_refusal_to_a_caller_that_reads_nothing_ends():
    """Guards against a request without an end: the write of a refusal has no limit."""

    async def scenario(fleet):
        address = fleet.address
        api = fleet.router._caller_api
        request = b"POST /none HTTP/1.1\r\nhost: host\r\ncontent-length: 0\r\n\r\n"
        sender = trio.socket.socket()
        # Answers pile up until the socket buffers of both sides are full.
        sender.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        await sender.connect((address.host, address.port))
        with sender, trio.move_on_after(8.0):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(trio.SocketStream(sender).send_all, request * 40_000)
                was_idle = True
                while was_idle:
                    was_idle = False
                    for _ in range(150):
                        await trio.sleep(0.02)
                        was_idle |= not api.active
                pytest.fail("a refusal has been written for 3 s")

    run_scenario(scenario, stream())


def test_caller_is_charged_nothing_if_its_request_was_never_sent():
    """Guards against a charge for a request that timed out while connecting."""
    listener = socket.socket()
    listener.bind(("127.0.0.1", 0))
    listener.listen(0)
    # Connections to a listener whose queue is full are neither accepted nor refused.
    fillers = [socket.socket() for _ in range(4)]
    for each in fillers:
        each.setblocking(False)
        each.connect_ex(listener.getsockname())

    async def scenario(fleet):
        target = fleet.target_by_id["t0"]
        target.address = Address(host="127.0.0.1", port=listener.getsockname()[1])
        fleet.register(target)
        await trio.sleep(0.3)
        answer = await fleet.send_request("/draft/x", patience="0.2")
        assert answer.status != 200
        balance = fleet.router._balance_manager.balances.by_organisation["org"]
        assert balance.spent == 0

    try:
        run_scenario(scenario, stream(), config=stream_config(timeout_s=0.2))
    finally:
        for each in [*fillers, listener]:
            each.close()
