"""Answers to callers of HTTP/1.0, which are sent without framing, that break off."""

import pytest
import trio

from tests.direct_support import event, run_scenario, stream, valid_headers
from tests.raw_answers import EVENT_STREAM

REQUEST = (
    b"POST /chat/x HTTP/1.0\r\nx-attempt: a\r\nx-key: secret\r\nx-tokens: 1,2\r\n"
    b"content-length: 0\r\n\r\n"
)


async def receive(stream: trio.SocketStream) -> bytes:
    """Receive up to the end of the stream; raises an error if it is reset."""
    received = b""
    while data := await stream.receive_some(65536):
        received += data
    return received


async def open_caller(fleet) -> trio.SocketStream:
    address = fleet.address
    caller = await trio.open_tcp_stream(address.host, address.port)
    await caller.send_all(REQUEST)
    return caller


def test_stream_that_its_target_broke_off_is_reset():
    """Guards against a part of a stream that looks like the whole one."""

    async def scenario(fleet):
        async with await open_caller(fleet) as caller:
            with pytest.raises(trio.BrokenResourceError):
                await receive(caller)

    run_scenario(scenario, stream(cut=True))


def test_stream_that_the_end_of_the_router_cuts_is_reset():
    """Guards against a part of a stream that looks like the whole one."""

    async def endless(request, writer):
        await writer.start(200, [*valid_headers(request), EVENT_STREAM])
        await writer.write(event(1))
        await trio.sleep_forever()

    async def scenario(fleet):
        caller = await open_caller(fleet)
        assert b"piece 1" in await caller.receive_some(65536)
        fleet.nursery.cancel_scope.cancel()
        with trio.CancelScope(shield=True), pytest.raises(trio.BrokenResourceError):
            await receive(caller)
        caller.socket.close()

    run_scenario(scenario, endless)


def test_whole_stream_ends_without_a_reset():
    """Guards against a whole answer that its caller takes for a broken one."""

    async def scenario(fleet):
        async with await open_caller(fleet) as caller:
            received = await receive(caller)
        assert received.endswith(event(4))

    run_scenario(scenario, stream())
