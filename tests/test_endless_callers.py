"""Callers that send a head or a body without end, and callers that don't read.

A router keeps at most its limits of a head and of a body, and 64 KiB received at once.
"""

import msgspec
import pytest
import trio

from tests.direct_support import (
    answer_successfully,
    count_target_requests,
    make_config,
    run_scenario,
)

START = b"POST /sign/x HTTP/1.1\r\nhost: host\r\n"
HEAD = START + b"x-attempt: a\r\nx-key: secret\r\n"
CHUNKED_HEAD = HEAD + b"transfer-encoding: chunked\r\n\r\n"
HEADER_BYTES = 4096
BODY_BYTES = 8192
READ_TIMEOUT_S = 1.0
SOCKET_BYTES = 16 * 1024 * 1024
MAX_LOOP_DELAY_S = 1.0
# Place of the endless bytes: what precedes them, what is repeated.
ENDLESS_BY_PLACE = {
    "request line": (b"POST /", b"x"),
    "headers": (START, b"x-more: x\r\n"),
    "header line": (START + b"x-more: ", b"x"),
    "body": (HEAD + b"content-length: 8000\r\n\r\n", b""),
    "chunks": (CHUNKED_HEAD, b"4\r\nbody\r\n"),
    "small chunks": (CHUNKED_HEAD, b"1\r\nx\r\n"),
    "chunk size": (CHUNKED_HEAD, b"0"),
    "chunk extension": (CHUNKED_HEAD + b"5;", b"x"),
    "trailers": (CHUNKED_HEAD + b"0\r\n", b"x-more: x\r\n"),
}
REFUSALS = (b"HTTP/1.1 400", b"HTTP/1.1 408", b"HTTP/1.1 413", b"HTTP/1.1 431")


def bounded_config():
    limits = msgspec.structs.replace(
        make_config().limits,
        header_bytes=HEADER_BYTES,
        body_bytes=BODY_BYTES,
        header_timeout_s=READ_TIMEOUT_S,
    )
    return make_config(limits=limits)


class Caller:
    """Sends bytes without end and keeps what the router answers."""

    def __init__(self, stream: trio.SocketStream):
        self.answer = b""
        self.sent = 0
        self._stream = stream

    async def send(self, start: bytes, repeated: bytes, *, is_slow: bool) -> None:
        """Send until the router closes the connection."""
        try:
            await self._stream.send_all(start)
            block = repeated if is_slow else repeated * 2000
            while block:
                if is_slow:
                    for byte in block:
                        await self._stream.send_all(bytes([byte]))
                        await trio.sleep(0.02)
                else:
                    await self._stream.send_all(block)
                self.sent += len(block)
        except trio.BrokenResourceError:
            pass

    async def receive(self) -> None:
        """Receive until the router closes the connection."""
        try:
            while data := await self._stream.receive_some(65536):
                self.answer += data
        except trio.BrokenResourceError:
            pass


@pytest.mark.parametrize("is_slow", [False, True])
@pytest.mark.parametrize("place", ENDLESS_BY_PLACE)
def test_endless_request_is_refused_and_its_connection_closed(place, is_slow):
    """Guards against a request that holds memory and a connection for ever."""
    start, repeated = ENDLESS_BY_PLACE[place]

    async def scenario(fleet):
        address = fleet.address
        started_at = trio.current_time()
        async with await trio.open_tcp_stream(address.host, address.port) as stream:
            caller = Caller(stream)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(send, caller)
                await caller.receive()
                nursery.cancel_scope.cancel()
        assert caller.answer.startswith(REFUSALS), caller.answer[:40]
        assert trio.current_time() - started_at < READ_TIMEOUT_S + 4.0
        assert caller.sent < HEADER_BYTES + BODY_BYTES + SOCKET_BYTES
        assert count_target_requests(fleet) == 0

    async def send(caller):
        await caller.send(start, repeated, is_slow=is_slow)

    run_scenario(scenario, answer_successfully, config=bounded_config())


def test_refusal_reaches_a_caller_that_reads_only_after_it_has_sent():
    """Guards against a reset that discards the refusal before the caller reads it."""
    start, repeated = ENDLESS_BY_PLACE["chunks"]

    async def scenario(fleet):
        address = fleet.address
        for _ in range(20):
            stream = await trio.open_tcp_stream(address.host, address.port)
            async with stream:
                caller = Caller(stream)
                await caller.send(start, repeated, is_slow=False)
                await caller.receive()
            assert caller.answer.startswith(b"HTTP/1.1 413")

    run_scenario(scenario, answer_successfully, config=bounded_config())


def test_bytes_without_end_after_a_request_leave_its_answer_whole():
    """What follows a request is kept only up to a limit while the request runs."""

    async def answer_late(request, writer):
        await trio.sleep(0.5)
        await answer_successfully(request, writer)

    async def scenario(fleet):
        address = fleet.address
        async with await trio.open_tcp_stream(address.host, address.port) as stream:
            caller = Caller(stream)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(send, caller)
                await caller.receive()
                nursery.cancel_scope.cancel()
        answers = caller.answer.split(b"HTTP/1.1 ")[1:]
        assert answers[0].startswith(b"200") and answers[0].endswith(b"done")
        assert [each[:3] for each in answers[1:]] == [b"400"]
        assert caller.sent < HEADER_BYTES + SOCKET_BYTES
        assert count_target_requests(fleet) == 1

    async def send(caller):
        start = HEAD + b"x-tokens: 1,2\r\ncontent-length: 0\r\n\r\n"
        await caller.send(start, b"\x01", is_slow=False)

    run_scenario(scenario, answer_late, config=bounded_config())
