"""Targets that send single bytes without end to requests that may run only once."""

import pytest
import trio

from lavenderfold.direct._load import SILENCE_PROBE_S
from lavenderfold.fleet import RepeatPolicy
from lavenderfold.http import HttpClientError
from tests.direct_support import (
    answer_successfully,
    count_target_requests,
    event,
    make_config,
    make_route,
    run_scenario,
    stream,
)
from tests.raw_answers import EVENT_STREAM, encode_success

TIMEOUT_S = 1.5
# After this time a target that stood still gets requests again, if it isn't ejected.
PROBE_PAUSE_S = SILENCE_PROBE_S + 0.05


async def send_bytes_slowly(request, writer):
    """Send a head without end, one byte now and then."""
    try:
        while True:
            await writer._stream.send_all(b"x")
            await trio.sleep(0.05)
    except trio.BrokenResourceError:
        pass


def test_target_that_never_completes_a_head_gets_no_further_single_runs():
    """Guards against one lost request after another at the same target.

    A single run can't be sent elsewhere, but the next ones can be.
    """

    async def scenario(fleet):
        # The choice among idle targets depends on the attempt id only.
        assert (await fleet.send_request("/sign/x", attempt="a")).status == 200
        targets = fleet.target_by_id.values()
        bad = next(target for target in targets if target.received)
        bad.script = send_bytes_slowly
        assert (await fleet.send_request("/sign/x", attempt="a")).status == 504
        before = len(bad.received)
        assert (await fleet.send_request("/sign/x", attempt="a")).status == 200
        assert len(bad.received) == before

    route = make_route("sign", RepeatPolicy.SINGLE_RUN, timeout_s=TIMEOUT_S)
    config = make_config(routes=(route,))
    run_scenario(scenario, answer_successfully, answer_successfully, config=config)


def find_failures(fleet, target) -> int:
    states = fleet.router._services.load_tracker._state_by_key
    return sum(state.failures for key, state in states.items() if key.id == target.id)


async def find_chosen_target(fleet, path: str):
    """Return the target that requests go to while all are idle."""
    await fleet.send_request(path, attempt="a")
    return next(each for each in fleet.target_by_id.values() if each.received)


def run_with_chosen(check, *, script, path="/sign/x", good=answer_successfully):
    """Call ``check`` with a fleet whose chosen target runs ``script``."""

    async def scenario(fleet):
        target = await find_chosen_target(fleet, path)
        target.script = script
        await check(fleet, target)

    routes = [
        make_route("sign", RepeatPolicy.SINGLE_RUN, timeout_s=TIMEOUT_S),
        make_route("chat", RepeatPolicy.STREAM, timeout_s=TIMEOUT_S),
        make_route("read", RepeatPolicy.IDEMPOTENT, timeout_s=TIMEOUT_S),
    ]
    config = make_config(routes=tuple(routes))
    run_scenario(scenario, good, good, config=config)


async def begin_event_slowly(request, writer):
    """Send an event without end, one byte now and then."""
    await writer._stream.send_all(encode_success(request, EVENT_STREAM, body=b"data:"))
    await send_bytes_slowly(request, writer)


def test_each_lost_single_run_prolongs_the_ejection():
    """Guards against a target that loses a request each time it is tried again."""

    async def check(fleet, bad):
        for _ in range(2):
            answer = await fleet.send_request("/sign/x", attempt="a")
            assert answer.status == 504
            await trio.sleep(PROBE_PAUSE_S)
        before = len(bad.received)
        assert (await fleet.send_request("/sign/x", attempt="a")).status == 200
        assert len(bad.received) == before
        assert find_failures(fleet, bad) == 2

    run_with_chosen(check, script=send_bytes_slowly)


def test_target_that_never_completes_an_event_gets_no_further_streams():
    """Guards against bytes without end that pass for a sign of a sound target."""

    async def check(fleet, bad):
        assert (await fleet.send_request("/chat/x", attempt="a")).status == 504
        before = len(bad.received)
        assert (await fleet.send_request("/chat/x", attempt="a")).status == 200
        assert len(bad.received) == before
        assert find_failures(fleet, bad) == 1

    run_with_chosen(check, script=begin_event_slowly, path="/chat/x", good=stream())


def test_target_is_ejected_although_the_caller_leaves_first():
    """Guards against callers whose own deadline ends before that of the router."""

    async def check(fleet, bad):
        with trio.move_on_after(TIMEOUT_S - 0.4):
            await fleet.send_request("/sign/x", attempt="a")
        await fleet.wait_until(lambda: find_failures(fleet, bad) == 1)

    run_with_chosen(check, script=send_bytes_slowly)


def test_single_run_is_never_repeated_after_bytes_without_end():
    """Guards against a request that runs twice because its target was ejected."""

    async def check(fleet, bad):
        before = count_target_requests(fleet)
        assert (await fleet.send_request("/sign/x", attempt="a")).status == 504
        assert count_target_requests(fleet) == before + 1

    run_with_chosen(check, script=send_bytes_slowly)


def test_bytes_without_end_to_a_repeatable_request_are_one_failure():
    """Guards against an ejection that is twice as long for one request."""

    async def check(fleet, bad):
        for each in fleet.target_by_id.values():
            each.script = send_bytes_slowly
        assert (await fleet.send_request("/read/x", attempt="a")).status == 504
        for each in fleet.target_by_id.values():
            assert find_failures(fleet, each) == 1

    run_with_chosen(check, script=send_bytes_slowly, path="/read/x")


def test_silence_that_was_recorded_is_no_second_failure():
    """Guards against an ejection that is twice as long if no other target is left."""

    async def scenario(fleet):
        assert (await fleet.send_request("/read/x", attempt="a")).status == 504
        assert find_failures(fleet, fleet.target_by_id["t0"]) == 1

    run_scenario(scenario, send_bytes_slowly)


async def answer_late(request, writer):
    await trio.sleep(TIMEOUT_S + 0.3)
    await answer_successfully(request, writer)


async def pause_within_head(request, writer):
    """Send a part of the head, and nothing more until the timeout."""
    await writer._stream.send_all(encode_success(request)[:20])
    await trio.sleep(TIMEOUT_S + 0.3)


async def announce_work(request, writer):
    """Send whole interim responses until the timeout."""
    with pytest.raises(trio.BrokenResourceError):
        while True:
            await writer._stream.send_all(b"HTTP/1.1 102 Processing\r\n\r\n")
            await trio.sleep(0.2)


async def send_body_slowly(request, writer):
    """Send a long body, one part now and then."""
    length = ("content-length", "1000")
    await writer._stream.send_all(encode_success(request, length))
    await send_bytes_slowly(request, writer)


async def send_events_slowly(request, writer):
    """Send the end of one event with the beginning of the next, without an end."""
    await writer._stream.send_all(encode_success(request, EVENT_STREAM))
    with pytest.raises(trio.BrokenResourceError):
        await writer._stream.send_all(event(1)[:9])
        for number in range(1, 1000):
            await trio.sleep(0.15)
            await writer._stream.send_all(event(number)[9:] + event(number + 1)[:9])


@pytest.mark.parametrize(
    "script",
    [answer_late, pause_within_head, announce_work, send_body_slowly],
)
def test_slow_target_stays_in_use_after_a_timeout(script):
    """Guards against sound targets that are ejected for a caller's short deadline."""

    async def check(fleet, slow):
        answer = await fleet.send_request("/sign/x", attempt="a", patience="1.2")
        assert answer.status == 504
        assert find_failures(fleet, slow) == 0
        slow.script = answer_successfully
        await trio.sleep(PROBE_PAUSE_S)
        before = len(slow.received)
        assert (await fleet.send_request("/sign/x", attempt="a")).status == 200
        assert len(slow.received) == before + 1

    run_with_chosen(check, script=script)


def test_stream_that_is_cut_by_its_timeout_is_no_failure():
    """Guards against ejections for long streams whose events arrive in parts."""

    async def check(fleet, slow):
        with pytest.raises(HttpClientError):
            await fleet.send_request("/chat/x", attempt="a")
        assert find_failures(fleet, slow) == 0

    run_with_chosen(check, script=send_events_slowly, path="/chat/x", good=stream())
