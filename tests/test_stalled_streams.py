"""Streams of targets that send a byte now and then, but no event."""

import pytest
import trio

from lavenderfold.fleet import RepeatPolicy
from tests.direct_support import (
    count_target_requests,
    event,
    make_config,
    make_route,
    run_scenario,
    stream,
)
from tests.raw_answers import CHUNKED, EVENT_STREAM, encode_chunk, encode_success

# Shorter than the wait for an event after which another target takes over.
BYTE_PERIOD_S = 0.1
WHOLE_STREAM = b"".join(event(number) for number in range(1, 5))
# The stream goes on elsewhere long before this.
TIMEOUT_S = 10.0


def stall_after(events: int, *, is_chunked: bool):
    """Return a script that begins one event more and never ends it."""

    is_first = True

    async def script(request, writer):
        nonlocal is_first
        if not is_first:
            await stream()(request, writer)
            return
        is_first = False
        headers = [EVENT_STREAM, CHUNKED] if is_chunked else [EVENT_STREAM]
        encode = encode_chunk if is_chunked else bytes
        connection = writer._stream
        await connection.send_all(encode_success(request, *headers))
        for number in range(1, events + 1):
            await connection.send_all(encode(event(number)))
        with pytest.raises(trio.BrokenResourceError):
            while True:
                await connection.send_all(encode(b"x"))
                await trio.sleep(BYTE_PERIOD_S)

    return script


@pytest.mark.parametrize("events", [0, 2])
@pytest.mark.parametrize("is_chunked", [False, True])
def test_stalled_stream_goes_on_elsewhere_although_bytes_arrive(events, is_chunked):
    """Guards against streams that end only at the timeout of their route."""
    script = stall_after(events, is_chunked=is_chunked)
    route = make_route(
        "draft", RepeatPolicy.STREAM, is_resumable=True, timeout_s=TIMEOUT_S
    )

    async def scenario(fleet):
        started_at = trio.current_time()
        answer = await fleet.send_request("/draft/x", patience=str(TIMEOUT_S))
        assert (answer.status, answer.body) == (200, WHOLE_STREAM)
        assert trio.current_time() - started_at < TIMEOUT_S / 2
        assert count_target_requests(fleet) == 2

    run_scenario(scenario, script, script, config=make_config(routes=(route,)))


def test_slow_stream_whose_events_arrive_in_parts_is_not_cut():
    """Guards against cutting a sound stream: its events come often enough."""

    async def send_in_parts(request, writer):
        connection = writer._stream
        await connection.send_all(encode_success(request, EVENT_STREAM))
        for number in range(1, 5):
            for byte in event(number):
                await connection.send_all(bytes([byte]))
                await trio.sleep(0.01)
        await connection.aclose()

    async def scenario(fleet):
        answer = await fleet.send_request("/draft/x")
        assert (answer.status, answer.body) == (200, WHOLE_STREAM)
        assert count_target_requests(fleet) == 1

    run_scenario(scenario, send_in_parts, send_in_parts)
