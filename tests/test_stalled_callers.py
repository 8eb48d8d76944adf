"""Callers that don't read their answers, or only slowly."""

import msgspec
import pytest
import trio

from lavenderfold.fleet import RepeatPolicy
from tests.direct_support import (
    answer_successfully,
    event,
    make_config,
    make_route,
    run_scenario,
    valid_headers,
)
from tests.raw_answers import EVENT_STREAM

IDLE_TIMEOUT_S = 1.0
# Small, so that answers fill it soon.
RECEIVE_BUFFER_BYTES = 4096
HEADERS = b"host: host\r\nx-attempt: a\r\nx-key: secret\r\nx-tokens: 1,2\r\n"
UNKNOWN_ROUTE = b"GET /nowhere/x HTTP/1.1\r\n" + HEADERS + b"\r\n"
READ = b"GET /read/x HTTP/1.1\r\n" + HEADERS + b"\r\n"


def short_idle_config():
    limits = msgspec.structs.replace(
        make_config().limits, idle_timeout_s=IDLE_TIMEOUT_S
    )
    return make_config(limits=limits)


async def open_slow_reader(fleet) -> trio.SocketStream:
    """Connect with a receive buffer that holds only a few answers."""
    caller = trio.socket.socket()
    caller.setsockopt(
        trio.socket.SOL_SOCKET, trio.socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
    )
    await caller.connect((fleet.address.host, fleet.address.port))
    return trio.SocketStream(caller)


@pytest.mark.parametrize("request_bytes", [UNKNOWN_ROUTE, READ])
@pytest.mark.parametrize("read_period_s", [None, 0.2])
def test_connection_of_a_caller_that_does_not_read_is_closed(
    request_bytes, read_period_s
):
    """Guards against handlers that wait for ever, also if a byte is read at times."""

    async def scenario(fleet):
        stream = await open_slow_reader(fleet)
        async with stream, trio.open_nursery() as nursery:
            if read_period_s is not None:
                nursery.start_soon(read_bytes, stream)
            with trio.fail_after(12), pytest.raises(trio.BrokenResourceError):
                while True:
                    await stream.send_all(request_bytes * 100)
            nursery.cancel_scope.cancel()
        await fleet.wait_until(lambda: fleet.router.active == 0)

    async def read_bytes(stream):
        try:
            while True:
                await trio.sleep(read_period_s)
                await stream.receive_some(1)
        except trio.BrokenResourceError:
            pass

    run_scenario(scenario, answer_successfully, config=short_idle_config())


def test_caller_that_reads_slowly_but_steadily_gets_its_whole_answer():
    """Guards against cutting a sound caller: it takes longer than an idle one may."""
    count = 40
    events = [
        event(number) + b": " + b"x" * 16_000 + b"\n\n" for number in range(count)
    ]

    async def large(request, writer):
        await writer.start(200, [*valid_headers(request), EVENT_STREAM])
        for each in events:
            await writer.write(each)
        await writer.finish()

    async def scenario(fleet):
        received = b""
        async with await open_slow_reader(fleet) as stream:
            request = READ.replace(b"/read/x", b"/chat/x")
            await stream.send_all(
                request.replace(b"\r\n\r\n", b"\r\nx-patience: 15\r\n\r\n")
            )
            started_at = trio.current_time()
            while not received.endswith(b"0\r\n\r\n"):
                data = await stream.receive_some(16_384)
                assert data, "the answer was cut"
                received += data
                await trio.sleep(0.03)
        assert trio.current_time() - started_at > IDLE_TIMEOUT_S
        assert received.count(b"data: piece") == count

    route = make_route("chat", RepeatPolicy.STREAM, timeout_s=15.0)
    config = msgspec.structs.replace(short_idle_config(), routes=(route,))
    run_scenario(scenario, large, config=config)
