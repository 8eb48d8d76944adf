"""Streams through a router that was suspended while events arrived."""

import time

import pytest
import trio

from lavenderfold.http import HttpRequest, ResponseWriter
from tests.direct_support import event, run_scenario, stream, valid_headers

# Longer than the router waits for the next event of a target.
SUSPENSION_S = 0.9
EVENTS = 4


def suspend() -> None:
    """Stop the event loop, and with it the router."""
    time.sleep(SUSPENSION_S)


def suspend_router_after(number: int):
    """Return a script that suspends the router with an event on its way.

    When the router goes on, the event and the end of its wait are both due.
    """

    async def script(request: HttpRequest, writer: ResponseWriter) -> None:
        if request.header("x-last") is not None:
            await stream()(request, writer)
            return
        headers = [*valid_headers(request), ("content-type", "text/event-stream")]
        head = "".join(f"{name}: {value}\r\n" for name, value in headers)
        connection = writer._stream
        await connection.send_all(f"HTTP/1.1 200 OK\r\n{head}\r\n".encode())
        for each in range(1, EVENTS + 1):
            await trio.sleep(0.05)
            # Sends without giving the router a chance to read before it stops.
            connection.socket._sock.send(event(each))
            if each == number:
                suspend()
        await connection.aclose()

    return script


@pytest.mark.parametrize("number", range(1, EVENTS + 1))
def test_no_event_is_lost_when_a_router_was_suspended(number):
    """Guards against a gap in the stream after the router's wait has passed.

    The event was counted as relayed, its write was cancelled, and the stream went on
    at another target after it.
    """

    async def scenario(fleet):
        answer = await fleet.send_request("/draft/x")
        assert answer.body == b"".join(event(each) for each in range(1, EVENTS + 1))

    script = suspend_router_after(number)
    run_scenario(scenario, script, script)
