"""Answers to callers that read late, while limits change or the event loop is late."""

import socket
from contextlib import suppress

import msgspec
import trio

from lavenderfold.fleet import RepeatPolicy
from lavenderfold.http import HttpResponse
from tests.direct_support import make_config, make_route, run_scenario, valid_headers
from tests.test_late_answers import suspend
from tests.test_stalled_callers import open_slow_reader

SHORT_S = 0.4
LONG_S = 10.0
# Longer than the socket buffers of both sides hold.
BODY = b"x" * 16_000_000
ROUTES = (make_route("read", RepeatPolicy.IDEMPOTENT, timeout_s=12.0),)
HEADERS = (
    b"POST /read/x HTTP/1.1\r\nhost: host\r\nx-key: secret\r\nx-tokens: 1,2\r\n"
    b"x-patience: 12\r\ncontent-length: 0\r\n"
)


def config(version: int, idle_timeout_s: float):
    limits = msgspec.structs.replace(
        make_config().limits, idle_timeout_s=idle_timeout_s
    )
    return make_config(version=version, limits=limits, routes=ROUTES)


async def answer_at_length(request, writer):
    """Answer with a long body, unless the request asks for a short one."""
    body = b"" if request.header("x-attempt") == "short" else BODY
    headers = valid_headers(request)
    await writer.send(HttpResponse(status=200, headers=headers, body=body))


async def receive_body(stream: trio.SocketStream) -> int:
    """Return how many bytes of a long body arrive before it or the stream ends."""
    data = await stream.receive_some(1_000_000)
    assert data.startswith(b"HTTP/1.1 200")
    received = len(data.partition(b"\r\n\r\n")[2])
    while received < len(BODY):
        try:
            data = await stream.receive_some(1_000_000)
        except trio.BrokenResourceError:
            break
        if not data:
            break
        received += len(data)
    return received


def test_answer_outlasts_a_limit_that_was_raised_before_its_request():
    """Guards against an answer cut by the limit of the request before it."""

    async def scenario(fleet):
        async with await open_slow_reader(fleet) as stream:
            await stream.send_all(HEADERS + b"x-attempt: short\r\n\r\n")
            assert (await stream.receive_some(65536)).startswith(b"HTTP/1.1 200")
            fleet.configure(config(2, LONG_S))
            await fleet.wait_until(lambda: fleet.router._config.table.version == 2)
            await stream.send_all(HEADERS + b"x-attempt: long\r\n\r\n")
            await trio.sleep(SHORT_S + 1.0)
            assert await receive_body(stream) == len(BODY)

    run_scenario(scenario, answer_at_length, config=config(1, SHORT_S))


def test_answer_outlasts_a_limit_that_was_raised_while_it_is_written():
    """Guards against an answer cut by a limit that is no longer in force."""

    async def scenario(fleet):
        async with await open_slow_reader(fleet) as stream:
            await stream.send_all(HEADERS + b"x-attempt: long\r\n\r\n")
            await trio.sleep(0.5)
            fleet.configure(config(2, LONG_S))
            await trio.sleep(2.0)
            assert await receive_body(stream) == len(BODY)

    run_scenario(scenario, answer_at_length, config=config(1, 1.5))


def receive_all(caller: socket.socket) -> int:
    """Return how many bytes arrive until the last one of a long body or the end."""
    received = 0
    with suppress(ConnectionResetError):
        while received < len(BODY) and (data := caller.recv(1_000_000)):
            received += len(data)
    return received


def test_answer_outlasts_a_suspension_while_its_caller_reads():
    """Guards against an answer cut by a limit that passed during a suspension.

    The caller has read all that was sent; limit and socket are due in one moment.
    """

    async def scenario(fleet):
        async with await open_slow_reader(fleet) as stream:
            await stream.send_all(HEADERS + b"x-attempt: long\r\n\r\n")
            await trio.sleep(0.3)
            caller = stream.socket._sock.dup()
            caller.setblocking(True)
            async with trio.open_nursery() as nursery:
                received = []

                async def read():
                    received.append(await trio.to_thread.run_sync(receive_all, caller))

                nursery.start_soon(read)
                await trio.sleep(0.05)
                suspend(SHORT_S + 0.6)
            caller.close()
            assert received[0] >= len(BODY)

    run_scenario(scenario, answer_at_length, config=config(1, SHORT_S))
