"""Tests of the fake link between regions, on which partition tests rely."""

from functools import partial

import pytest
import trio

from lavenderfold.http import (
    HttpClient,
    HttpRequest,
    HttpResponse,
    ResponseLostError,
    serve,
)
from lavenderfold.settings import Address
from standins.link_relay import LinkFaults, LinkRelay

ANY_PORT = Address(host="127.0.0.1", port=0)


async def run_relay(check):
    async def echo(request, writer):
        await writer.send(HttpResponse(status=200, body=request.body))

    relay = LinkRelay(faults=LinkFaults())
    async with trio.open_nursery() as nursery:
        target = await nursery.start(partial(serve, echo, address=ANY_PORT))
        forward = partial(relay.run_forward, ANY_PORT, target)
        (listener,) = await nursery.start(forward)
        port = listener.socket.getsockname()[1]
        control = await nursery.start(partial(serve, relay.handle, address=ANY_PORT))
        with trio.fail_after(30):
            await check(
                HttpClient(address=Address(host="127.0.0.1", port=port)),
                HttpClient(address=control),
            )
        nursery.cancel_scope.cancel()


async def post(client, path, body):
    request = HttpRequest(method="POST", target=path, body=body)
    return await client.request(request)


def test_cut_link_holds_bytes_back_and_delivers_them_after_the_partition():
    """If the link reset connections, tests would cover crashes, not partitions."""

    async def check(client, control):
        assert (await post(client, "/", b"one")).body == b"one"
        await post(control, "/faults", b'{"cut": true}')
        bodies = []

        async def send():
            bodies.append((await post(client, "/", b"two")).body)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(send)
            await trio.sleep(0.3)
            assert bodies == []
            await post(control, "/faults", b'{"cut": false}')
        assert bodies == [b"two"]
        stats = (await control.request(HttpRequest(method="GET", target="/stats"))).body
        assert b'"connections":1' in stats

    trio.run(run_relay, check)


def test_link_that_is_down_closes_connections_until_it_is_up_again():
    async def check(client, control):
        assert (await post(client, "/", b"one")).body == b"one"
        await post(control, "/faults", b'{"down": true}')
        for _ in range(2):
            with pytest.raises(ResponseLostError):
                await post(client, "/", b"two")
        await post(control, "/faults", b'{"down": false}')
        assert (await post(client, "/", b"three")).body == b"three"

    trio.run(run_relay, check)


def test_link_limits_and_counts_bytes():
    async def check(client, control):
        await post(control, "/faults", b'{"bytes_per_s": 200000}')
        started_at = trio.current_time()
        await post(client, "/", b"x" * 100_000)
        # Each direction takes 0.5 s; the two may overlap.
        assert trio.current_time() - started_at >= 0.5
        stats = await control.request(HttpRequest(method="GET", target="/stats"))
        assert b'"bytes_to_target":1000' in stats.body

    trio.run(run_relay, check)
