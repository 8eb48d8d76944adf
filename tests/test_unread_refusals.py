"""Refusals that their callers don't read."""

import socket
from contextlib import suppress

import msgspec
import pytest
import trio

from tests.direct_support import make_config, run_scenario, stream


async def send_until_closed(sender: trio.socket.SocketType, data: bytes) -> None:
    with suppress(trio.BrokenResourceError):
        await trio.SocketStream(sender).send_all(data)


def test_refusal_to_a_caller_that_reads_nothing_ends():
    """Guards against a request without an end: the write of a refusal has no limit."""

    async def scenario(fleet):
        address = fleet.address
        api = fleet.router._caller_api
        request = b"POST /none HTTP/1.1\r\nhost: host\r\ncontent-length: 0\r\n\r\n"
        sender = trio.socket.socket()
        # Answers pile up until the socket buffers of both sides are full.
        sender.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        await sender.connect((address.host, address.port))
        with sender, trio.move_on_after(8.0):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(send_until_closed, sender, request * 40_000)
                was_idle = True
                while was_idle:
                    was_idle = False
                    for _ in range(150):
                        await trio.sleep(0.02)
                        was_idle |= not api.active
                pytest.fail("a refusal has been written for 3 s")

    limits = msgspec.structs.replace(make_config().limits, idle_timeout_s=1.0)
    run_scenario(scenario, stream(), config=make_config(limits=limits))
