"""What a caller sent is freed when its request or connection ends.

It must not wait for the garbage collector, which runs when many objects are new,
however many bytes a few of them hold.
"""

from collections.abc import Awaitable, Callable
from contextlib import suppress
from functools import partial

import pytest
import trio
import trio.testing

from lavenderfold.http import (
    HttpClient,
    HttpClientError,
    HttpRequest,
    HttpResponse,
    ResponseWriter,
    ServerLimits,
    ServerOptions,
    _server,
    serve,
)
from lavenderfold.http._client import _ClientConnection
from lavenderfold.http._server import ServerConnection
from lavenderfold.process_memory import MIB, ProcessMemory
from lavenderfold.settings import Address
from tests.freed_support import nothing_is_kept

LOOPBACK = Address(host="127.0.0.1", port=0)
BODY_BYTES = 256 * 1024
MEMORY_BYTES = 4 * MIB
READ_TIMEOUT_S = 0.3
TIMEOUT_S = 10.0
KEPT_TYPES = (ServerConnection, HttpRequest, _ClientConnection)

Caller = Callable[[trio.SocketStream], Awaitable[None]]


def head(*lines: str) -> bytes:
    return "\r\n".join(["POST /x HTTP/1.1", "host: h", *lines, "", ""]).encode()


async def read_to_end(stream: trio.SocketStream) -> None:
    while await stream.receive_some(65536):
        pass


async def announce_too_much(stream: trio.SocketStream) -> None:
    await stream.send_all(head(f"content-length: {2 * BODY_BYTES}"))
    await read_to_end(stream)


async def send_too_much(stream: trio.SocketStream) -> None:
    await stream.send_all(head("transfer-encoding: chunked"))
    body = b"%x\r\n%s\r\n" % (2 * BODY_BYTES, b"x" * 2 * BODY_BYTES)
    await stream.send_all(body)
    await stream.send_eof()
    await read_to_end(stream)


async def stop_short(stream: trio.SocketStream) -> None:
    await stream.send_all(head(f"content-length: {BODY_BYTES}"))
    await stream.send_all(b"x" * (BODY_BYTES - 1))
    await read_to_end(stream)


async def leave_in_body(stream: trio.SocketStream) -> None:
    await stream.send_all(head(f"content-length: {BODY_BYTES}"))
    await stream.send_all(b"x" * (BODY_BYTES - 1))


async def break_framing(stream: trio.SocketStream) -> None:
    await stream.send_all(head("transfer-encoding: chunked"))
    await stream.send_all(b"2000\r\n" + b"x" * 0x2000 + b"\r\nnone\r\n")
    await read_to_end(stream)


async def send_whole(stream: trio.SocketStream) -> None:
    await stream.send_all(head(f"content-length: {BODY_BYTES}"))
    await stream.send_all(b"x" * BODY_BYTES)
    await stream.receive_some(65536)


async def leave_before_the_answer(stream: trio.SocketStream) -> None:
    await stream.send_all(head("x-slow: 1", f"content-length: {BODY_BYTES}"))
    await stream.send_all(b"x" * BODY_BYTES)
    await trio.sleep(0.1)


async def have_handler_fail(stream: trio.SocketStream) -> None:
    await stream.send_all(head("x-fails: 1", f"content-length: {BODY_BYTES}"))
    await stream.send_all(b"x" * BODY_BYTES)
    await stream.receive_some(65536)


async def break_the_answer(stream: trio.SocketStream) -> None:
    await stream.send_all(head("x-breaks: 1", f"content-length: {BODY_BYTES}"))
    await stream.send_all(b"x" * BODY_BYTES)
    await read_to_end(stream)


async def answer(request: HttpRequest, writer: ResponseWriter) -> None:
    if request.header("x-slow"):
        await trio.sleep(TIMEOUT_S)
    if request.header("x-breaks"):
        raise trio.BrokenResourceError
    if request.header("x-fails"):
        raise ValueError("planned")
    await writer.send(HttpResponse(status=200))


async def play(caller: Caller, *, memory: ProcessMemory) -> None:
    """Have one caller after the other use a server, and wait until all have ended."""
    ended: list[object] = []
    limits = ServerLimits(body_bytes=BODY_BYTES, read_timeout_s=READ_TIMEOUT_S)
    options = ServerOptions(
        limits=lambda: limits,
        cancels_on_disconnect=True,
        on_closed=ended.append,
        memory=memory,
    )
    with trio.fail_after(TIMEOUT_S):
        async with trio.open_nursery() as nursery:
            address = await nursery.start(
                partial(serve, answer, address=LOOPBACK, options=options)
            )
            for count in (1, 2, 3):
                async with await trio.open_tcp_stream(
                    address.host, address.port
                ) as stream:
                    await caller(stream)
                while len(ended) < count:
                    await trio.testing.wait_all_tasks_blocked(0.01)
            nursery.cancel_scope.cancel()


CALLERS = (
    announce_too_much,
    send_too_much,
    stop_short,
    leave_in_body,
    break_framing,
    send_whole,
    leave_before_the_answer,
    have_handler_fail,
    break_the_answer,
)


@pytest.mark.parametrize("caller", CALLERS, ids=lambda each: each.__name__)
def test_ended_connection_is_freed_at_once(caller, monkeypatch):
    """Guards against bodies that nothing counts, and that only the collector frees."""
    # pytest keeps each logged error with its frames.
    monkeypatch.setattr(_server.logger, "disabled", True)
    memory = ProcessMemory(limit_bytes=MEMORY_BYTES)
    with nothing_is_kept(*KEPT_TYPES):
        trio.run(partial(play, caller, memory=memory))
    assert memory.held_bytes == 0


ANSWERS = {
    "none": b"",
    "malformed": b"none\r\n\r\n",
    "cut": b"HTTP/1.1 200 \r\ncontent-length: 10\r\n\r\n12345",
}


@pytest.mark.parametrize("body_bytes", (10, BODY_BYTES))
@pytest.mark.parametrize("name", ANSWERS)
def test_call_without_a_whole_answer_is_freed_at_once(name, body_bytes):
    """Guards against calls that are kept with the error that ended them."""

    async def answer_raw(stream: trio.SocketStream) -> None:
        await stream.receive_some(1000)
        await stream.send_all(ANSWERS[name])

    async def call() -> None:
        async with trio.open_nursery() as nursery:
            serving = partial(trio.serve_tcp, answer_raw, 0, host="127.0.0.1")
            (listener,) = await nursery.start(serving)
            _, port = listener.socket.getsockname()
            client = HttpClient(address=Address(host="127.0.0.1", port=port))
            for _ in range(3):
                body = b"x" * body_bytes
                with suppress(HttpClientError):
                    await client.request(
                        HttpRequest(method="POST", target="/x", body=body)
                    )
            await client.close()
            nursery.cancel_scope.cancel()

    with nothing_is_kept(_ClientConnection, HttpRequest):
        trio.run(call)
