"""Connections that the router closes after an answer while their caller sends."""

import trio

from lavenderfold.http import HttpResponse
from tests.direct_support import run_scenario, valid_headers
from tests.test_stalled_callers import open_slow_reader

# Fits the socket buffers of the router but not those of its caller.
BODY = b"x" * 12_000
REQUEST = (
    b"POST /read/x HTTP/1.1\r\nhost: host\r\nx-attempt: a\r\nx-key: secret\r\n"
    b"x-tokens: 1,2\r\ncontent-length: 0\r\n\r\n"
)


async def answer_at_length(request, writer):
    headers = valid_headers(request)
    await writer.send(HttpResponse(status=200, headers=headers, body=BODY))


async def receive_body(stream: trio.SocketStream) -> bytes:
    """Receive up to the end of the stream; return what follows the first head."""
    received = bytearray()
    while data := await stream.receive_some(65536):
        received += data
    return bytes(received).partition(b"\r\n\r\n")[2]


def test_answer_is_whole_if_its_caller_sends_the_next_request_meanwhile():
    """Guards against an answer that a reset cuts.

    Bytes that arrive at a closed socket discard what its peer hasn't received yet.
    """

    async def scenario(fleet):
        async with await open_slow_reader(fleet) as stream:
            fleet.router.drain()
            await stream.send_all(REQUEST)
            await fleet.wait_until(lambda: fleet.target_by_id["t0"].received)
            await fleet.wait_until(lambda: fleet.router.active == 0)
            await trio.sleep(0.1)
            await stream.send_all(REQUEST)
            await trio.sleep(0.1)
            assert await receive_body(stream) == BODY
        assert len(fleet.target_by_id["t0"].received) == 1

    run_scenario(scenario, answer_at_length)
