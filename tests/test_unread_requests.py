"""Requests that wait before a busy server reads them."""

import math
import time

import pytest
import trio
from trio.testing import MockClock

from lavenderfold.http import HttpRequest, HttpResponse, ServerOptions, serve
from lavenderfold.settings import Address
from tests.direct_support import (
    answer_successfully,
    count_target_requests,
    run_scenario,
)
from tests.raw_callers import (
    ANSWER_SLACK_S,
    TIMEOUT_S,
    CallersInBurst,
    encode_request,
    make_short_config,
    send_raw,
)

LOOPBACK = "127.0.0.1"
TURN_S = 0.0625
CALLERS = 60
# A few turns: one each to accept, to receive and to handle.
UNREAD_LIMIT_S = 6 * TURN_S


async def skip_turns(count: int) -> None:
    for _ in range(count):
        await trio.lowlevel.checkpoint()


def stall(duration_s: float) -> None:
    """Let one turn of the event loop take this long."""
    time.sleep(duration_s)


def test_connections_of_a_busy_server_do_not_wait_for_each_other():
    """Guards against callers that wait one turn for each connection before theirs."""
    clock = MockClock()
    unread_s = []

    async def make_turns_slow():
        while True:
            clock.jump(TURN_S)
            await trio.lowlevel.checkpoint()

    async def main():
        async def answer(request, writer):
            unread_s.append(trio.current_time() - sent_at)
            await writer.send(HttpResponse(status=200))

        async with trio.open_nursery() as nursery:
            listen = Address(host=LOOPBACK, port=0)

            async def start(task_status):
                await serve(answer, address=listen, task_status=task_status)

            address = await nursery.start(start)
            nursery.start_soon(make_turns_slow)
            await skip_turns(3)
            sent_at = trio.current_time()
            callers = [
                send_raw(address, encode_request(f"a{number}"))
                for number in range(CALLERS)
            ]
            await skip_turns(3 * CALLERS)
            nursery.cancel_scope.cancel()
        for each in callers:
            each.close()

    trio.run(main, clock=clock)
    assert len(unread_s) == CALLERS
    assert max(unread_s) <= UNREAD_LIMIT_S


@pytest.mark.parametrize("is_kept", [False, True])
def test_request_whose_caller_left_before_it_was_read_is_not_handled(is_kept):
    """Guards against requests that are sent on for callers that are gone."""
    handled = []

    async def main():
        async def answer(request: HttpRequest, writer):
            handled.append(request.header("x-attempt"))
            await writer.send(HttpResponse(status=200))

        async with trio.open_nursery() as nursery:
            listen = Address(host=LOOPBACK, port=0)
            options = ServerOptions(cancels_on_disconnect=True)

            async def start(task_status):
                await serve(
                    answer, address=listen, options=options, task_status=task_status
                )

            address = await nursery.start(start)
            if is_kept:
                caller = send_raw(address, encode_request("first"))
                await trio.lowlevel.wait_readable(caller)
                caller.recv(65536)
                caller.sendall(encode_request("left"))
            else:
                caller = send_raw(address, encode_request("left"))
            caller.close()
            await trio.sleep(0.1)
            nursery.cancel_scope.cancel()

    trio.run(main)
    assert "left" not in handled


def test_request_whose_timeout_passed_before_it_was_read_is_not_run():
    """Guards against requests that targets run when nobody waits for them any more."""

    async def scenario(fleet):
        caller = send_raw(fleet.address, encode_request("late"))
        stall(TIMEOUT_S + 0.2)
        with caller:
            await trio.lowlevel.wait_readable(caller)
            answer = caller.recv(65536)
        assert answer.startswith(b"HTTP/1.1 503 "), answer
        assert b"retry-after: " in answer
        assert b'"not_run"' in answer
        assert count_target_requests(fleet) == 0

    run_scenario(scenario, answer_successfully, config=make_short_config())


def test_time_that_a_request_waited_unread_is_a_part_of_its_timeout():
    """Guards against requests that are held past their route's timeout."""

    async def hang(request, writer):
        await trio.sleep_forever()

    async def scenario(fleet):
        sent_at = time.monotonic()
        caller = send_raw(fleet.address, encode_request("slow"))
        stall(0.4)
        with caller:
            await trio.lowlevel.wait_readable(caller)
        assert time.monotonic() - sent_at < TIMEOUT_S + 0.2

    run_scenario(scenario, hang, config=make_short_config())


def test_requests_of_a_burst_at_a_busy_router_are_not_held_past_their_timeout():
    """Guards against issue 53: sent on to a target when their time was long over."""
    run_s = []

    async def scenario(fleet):
        callers = CallersInBurst(address=fleet.address, count=CALLERS)

        async def record(request, writer):
            sent_at = callers.sent_at_by_id[request.header("x-attempt")]
            run_s.append(time.monotonic() - sent_at)
            await answer_successfully(request, writer)

        async def make_turns_slow():
            while True:
                stall(0.04)
                await trio.lowlevel.checkpoint()

        fleet.target_by_id["t0"].script = record
        async with trio.open_nursery() as nursery:
            nursery.start_soon(make_turns_slow)
            await trio.to_thread.run_sync(callers.run)
            nursery.cancel_scope.cancel()
        assert len(callers.answered_s) == CALLERS
        latest_s = max(callers.answered_s)
        assert latest_s <= TIMEOUT_S + ANSWER_SLACK_S
        assert max(run_s, default=-math.inf) <= TIMEOUT_S + ANSWER_SLACK_S

    run_scenario(scenario, answer_successfully, config=make_short_config())


@pytest.mark.parametrize("is_kept", [False, True])
def test_request_that_is_sent_slowly_or_late_has_its_whole_time(is_kept):
    """Guards against refusals of callers that the router itself waited for."""

    async def scenario(fleet):
        caller = send_raw(fleet.address, encode_request("first") if is_kept else b"")
        with caller:
            if is_kept:
                await trio.lowlevel.wait_readable(caller)
                assert caller.recv(65536).startswith(b"HTTP/1.1 200 ")
            # Longer than the timeout of the route, each time.
            for part in (encode_request("slow")[:-2], b"dy"):
                await trio.sleep(TIMEOUT_S + 0.2)
                caller.sendall(part)
            await trio.lowlevel.wait_readable(caller)
            assert caller.recv(65536).startswith(b"HTTP/1.1 200 ")

    run_scenario(scenario, answer_successfully, config=make_short_config())


def test_request_that_is_sent_in_many_parts_has_its_whole_time():
    """Guards against a small error for each part that adds up to a refusal."""

    def send_parts(caller):
        data = encode_request("parts")
        for position in range(len(data)):
            caller.sendall(data[position : position + 1])
            time.sleep(0.03)

    async def scenario(fleet):
        with send_raw(fleet.address, b"") as caller:
            await trio.to_thread.run_sync(send_parts, caller)
            await trio.lowlevel.wait_readable(caller)
            assert caller.recv(65536).startswith(b"HTTP/1.1 200 ")

    run_scenario(scenario, answer_successfully, config=make_short_config())
