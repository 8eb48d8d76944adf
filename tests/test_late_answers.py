"""Answers that are ready when a limit passes: at the timeout, after a suspension."""

import time

import pytest
import trio

from lavenderfold.fleet import RepeatPolicy
from lavenderfold.http import ResponseLostError
from tests.direct_support import (
    event,
    make_config,
    make_route,
    run_scenario,
    valid_headers,
)

TIMEOUT_S = 0.6
# Ends after the timeout of the route.
SUSPENSION_S = 0.8
CONFIG = make_config(
    routes=(
        make_route("read", RepeatPolicy.IDEMPOTENT, timeout_s=TIMEOUT_S),
        make_route("sign", RepeatPolicy.SINGLE_RUN, timeout_s=TIMEOUT_S),
        make_route("chat", RepeatPolicy.STREAM, timeout_s=TIMEOUT_S),
    )
)


def suspend(duration_s: float = SUSPENSION_S) -> None:
    """Stop the event loop, and with it the router."""
    time.sleep(duration_s)


def answer_and_suspend(body: bytes, content_type: str = "text/plain"):
    """Return a script that suspends the router with the answer on its way.

    When the router goes on, the answer and the timeout of the route are both due.
    """

    async def script(request, writer):
        headers = [
            *valid_headers(request),
            ("content-type", content_type),
            ("content-length", str(len(body))),
        ]
        head = "".join(f"{name}: {value}\r\n" for name, value in headers)
        # Sends without giving the router a chance to read before it stops.
        data = f"HTTP/1.1 200 OK\r\n{head}\r\n".encode() + body
        writer._stream.socket._sock.send(data)
        suspend()
        await writer._stream.aclose()

    return script


@pytest.mark.parametrize("path", ["/read/x", "/sign/x"])
def test_answer_that_is_ready_at_the_timeout_is_delivered(path):
    """Guards against a request that ends with neither an answer nor a refusal.

    The write was cancelled before its first byte and counted as begun.
    """

    async def scenario(fleet):
        answer = await fleet.send_request(path)
        assert (answer.status, answer.body) == (200, b"done")

    script = answer_and_suspend(b"done")
    run_scenario(scenario, script, script, config=CONFIG)


def test_stream_that_is_ready_at_the_timeout_is_delivered():
    """Guards against a stream that is closed without an answer at its timeout."""
    body = b"".join(event(number) for number in range(1, 4))

    async def scenario(fleet):
        answer = await fleet.send_request("/chat/x")
        assert (answer.status, answer.body) == (200, body)

    script = answer_and_suspend(body, "text/event-stream")
    run_scenario(scenario, script, config=CONFIG)


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

    route = make_route(
        "draft", RepeatPolicy.STREAM, is_resumable=True, timeout_s=TIMEOUT_S
    )
    run_scenario(scenario, tokens, config=make_config(routes=(route,)))
