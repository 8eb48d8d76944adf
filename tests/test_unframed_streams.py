"""Streams of targets that give neither a length nor chunks and end by closing."""

import pytest
import trio

from lavenderfold.http import HttpRequest, ResponseLostError, ResponseWriter
from tests.direct_support import event, run_scenario, stream, valid_headers

RESET_ON_CLOSE = b"\x01\x00\x00\x00\x00\x00\x00\x00"
FIRST_EVENTS = event(1) + event(2)
CUT_EVENT = event(3)[:7]


def unframed_stream(data: bytes, *, is_reset: bool = False):
    """Return a script that sends ``data`` as an unframed stream and closes."""

    async def script(request: HttpRequest, writer: ResponseWriter) -> None:
        connection = writer._stream
        headers = [*valid_headers(request), ("content-type", "text/event-stream")]
        head = "".join(f"{name}: {value}\r\n" for name, value in headers)
        await connection.send_all(f"HTTP/1.1 200 OK\r\n{head}\r\n".encode() + data)
        await trio.sleep(0.1)
        if is_reset:
            connection.setsockopt(
                trio.socket.SOL_SOCKET, trio.socket.SO_LINGER, RESET_ON_CLOSE
            )
        await connection.aclose()

    return script


def test_unframed_stream_that_closes_after_an_event_is_whole():
    async def scenario(fleet):
        answer = await fleet.send_request("/chat/x")
        assert (answer.status, answer.body) == (200, FIRST_EVENTS)

    run_scenario(scenario, unframed_stream(FIRST_EVENTS))


@pytest.mark.parametrize(
    "script",
    [
        unframed_stream(FIRST_EVENTS + CUT_EVENT),
        unframed_stream(FIRST_EVENTS, is_reset=True),
    ],
    ids=["inside an event", "reset"],
)
def test_unframed_stream_that_breaks_off_does_not_look_whole(script):
    """A caller that gets a complete answer would take the first events for all."""

    async def scenario(fleet):
        with pytest.raises(ResponseLostError):
            await fleet.send_request("/chat/x")

    run_scenario(scenario, script)


@pytest.mark.parametrize("is_reset", [True, False])
def test_unframed_stream_that_breaks_off_goes_on_elsewhere_if_it_may(is_reset):
    """Neither the cut event nor its beginning may reach the caller twice."""

    async def scenario(fleet):
        whole = stream()
        cut = unframed_stream(FIRST_EVENTS + CUT_EVENT, is_reset=is_reset)

        async def first_cut(request, writer):
            if request.header("x-last") is None:
                await cut(request, writer)
            else:
                await whole(request, writer)

        for target in fleet.target_by_id.values():
            target.script = first_cut
        answer = await fleet.send_request("/draft/x")
        assert answer.body == b"".join(event(number) for number in range(1, 5))

    run_scenario(scenario, stream(), stream())
