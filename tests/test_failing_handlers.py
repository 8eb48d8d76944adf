"""Requests whose handler fails, and the requests of other callers beside them."""

import os
from contextlib import asynccontextmanager, suppress
from functools import partial

import pytest
import trio
import trio.testing

from lavenderfold.http import HttpResponse, MalformedRequestError, ServerOptions, serve
from lavenderfold.settings import Address
from tests.direct_support import LOOPBACK

REQUEST = b"%s /%s HTTP/1.1\r\nhost: host\r\n\r\n"


@asynccontextmanager
async def running_server(handler, options=None):
    """Run a server with this handler; yield its address."""
    address = Address(host=LOOPBACK, port=0)
    start = partial(serve, handler, address=address, options=options)
    async with trio.open_nursery() as nursery:
        bound = await nursery.start(start)
        yield bound
        nursery.cancel_scope.cancel()


async def ask(address: Address, path: bytes, method: bytes = b"GET") -> bytes:
    """Send a request on a new connection; return the answer's first bytes."""
    async with await trio.open_tcp_stream(address.host, address.port) as stream:
        await stream.send_all(REQUEST % (method, path))
        return await stream.receive_some(65536)


async def write_before_start(writer):
    await writer.write(b"body")


async def send_unencodable(writer):
    await writer.send(HttpResponse(status=200, headers=[("x", "\n")]))


async def start_interim(writer):
    await writer.start(101, [])


async def raise_error(writer):
    raise ValueError


@pytest.mark.parametrize(
    "fault", [write_before_start, send_unencodable, start_interim, raise_error]
)
@pytest.mark.parametrize("method", [b"GET", b"HEAD"])
def test_request_whose_answer_cannot_be_encoded_is_answered(fault, method):
    """Guards against a closed connection without an answer.

    A response that is refused by the encoder must not count as begun.
    """

    async def handler(request, writer):
        await fault(writer)

    async def main():
        with trio.fail_after(10):
            async with running_server(handler) as address:
                answer = await ask(address, b"x", method)
        head, end, body = answer.partition(b"\r\n\r\n")
        assert head.startswith(b"HTTP/1.1 500")
        assert end
        assert bool(body) is (method == b"GET")

    trio.run(main)


def fill(stream: trio.SocketStream) -> None:
    """Write until the socket takes no more."""
    with suppress(BlockingIOError):
        while True:
            os.write(stream.socket.fileno(), b"x" * 65536)


@pytest.mark.parametrize("cancels_on_disconnect", [True, False])
@pytest.mark.parametrize("error", [ValueError(), MalformedRequestError("odd")])
def test_unread_answer_to_a_failed_request_ends_its_own_connection_only(
    error, cancels_on_disconnect
):
    """Guards against a server that ends, with all its requests.

    The error of a caller that reads too slowly came out of the answer to the failure.
    """
    is_closed = trio.Event()

    async def handler(request, writer):
        if request.path == "/slow":
            await is_closed.wait()
            await writer.send(HttpResponse(status=200))
            return
        fill(writer._stream)
        writer.deadline = trio.current_time()
        raise error

    def record_close(reason):
        is_closed.set()

    async def main():
        options = ServerOptions(
            cancels_on_disconnect=cancels_on_disconnect, on_closed=record_close
        )
        with trio.fail_after(10):
            async with running_server(handler, options) as address:
                host, port = address.host, address.port
                async with await trio.open_tcp_stream(host, port) as stream:
                    await stream.send_all(REQUEST % (b"GET", b"fail"))
                    answer = await ask(address, b"slow")
        assert answer.startswith(b"HTTP/1.1 200")

    trio.run(main)


def test_error_outside_a_handler_ends_its_own_connection_only():
    """Guards against a server that ends, with all its requests."""
    closed = 0

    async def handler(request, writer):
        await writer.send(HttpResponse(status=200))

    def fail_once(reason):
        nonlocal closed
        closed += 1
        if closed == 1:
            raise ValueError

    async def main():
        options = ServerOptions(on_closed=fail_once)
        with trio.fail_after(10):
            async with running_server(handler, options) as address:
                for _ in range(3):
                    assert (await ask(address, b"x")).startswith(b"HTTP/1.1 200")
                    await trio.testing.wait_all_tasks_blocked(0.05)

    trio.run(main)
