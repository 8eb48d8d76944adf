"""Direct routers under malformed input, connection resets, reloads and outages."""

import msgspec
import pytest
import trio

from lavenderfold.direct import RouterOptions
from lavenderfold.escrow import decode_page, page_key
from lavenderfold.fleet import Organisation
from lavenderfold.http import HttpClient, HttpRequest, ResponseLostError
from lavenderfold.http._client import _ClientConnection
from lavenderfold.routing import router_reserve
from lavenderfold.settings import Address
from tests.direct_support import (
    answer_successfully,
    count_target_requests,
    fail,
    make_config,
    run_scenario,
    valid_headers,
)

HEAD = b"POST /read/x HTTP/1.1\r\nhost: host\r\nx-attempt: a\r\nx-key: secret\r\n"


async def send_raw(fleet, data: bytes) -> bytes:
    """Send bytes to the router and return all bytes that it answers."""
    address = fleet.address
    answer = b""
    async with await trio.open_tcp_stream(address.host, address.port) as stream:
        await stream.send_all(data)
        await stream.send_eof()
        with trio.move_on_after(2):
            while chunk := await stream.receive_some(65536):
                answer += chunk
    return answer


SMUGGLED = b"GET /sign/smuggled HTTP/1.1\r\nhost: host\r\n\r\n"


@pytest.mark.parametrize(
    "data",
    [
        HEAD
        + b"content-length: 4\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n"
        + SMUGGLED,
        HEAD + b"content-length: 4\r\ncontent-length: 40\r\n\r\nbody" + SMUGGLED,
        HEAD + b"transfer-encoding: chunked, gzip\r\n\r\n0\r\n\r\n" + SMUGGLED,
        HEAD + b"transfer-encoding : chunked\r\n\r\n0\r\n\r\n" + SMUGGLED,
        HEAD + b"content-length: +4\r\n\r\nbody" + SMUGGLED,
        HEAD + b"transfer-encoding: chunked\r\n\r\n-4\r\nbody\r\n0\r\n\r\n" + SMUGGLED,
        HEAD + b"content-length: 4\r\n content-length: 40\r\n\r\nbody" + SMUGGLED,
        b"POST  /read/x HTTP/1.1\r\nhost: host\r\n\r\n" + SMUGGLED,
        b"\x16\x03\x01 no http\r\n\r\n",
    ],
)
def test_smuggled_request_never_runs(data):
    """Request smuggling hides a second request in the body of the first.

    If router and target disagree on the length of the body, the target runs it.
    """

    async def scenario(fleet):
        answer = await send_raw(fleet, data)
        target = fleet.target_by_id["t0"]
        assert all(b"smuggled" not in each.target.encode() for each in target.received)
        assert answer.count(b"HTTP/1.1 ") <= 1
        assert b"HTTP/1.1 2" not in answer or count_target_requests(fleet) == 1

    run_scenario(scenario, answer_successfully)


def test_incomplete_head_is_answered_after_a_timeout_and_not_run():
    limits = make_config().limits
    config = make_config(limits=msgspec.structs.replace(limits, header_timeout_s=0.2))

    async def scenario(fleet):
        address = fleet.address
        async with await trio.open_tcp_stream(address.host, address.port) as stream:
            await stream.send_all(HEAD)
            with trio.fail_after(2):
                answer = await stream.receive_some(65536)
        assert answer.startswith(b"HTTP/1.1 408")
        assert count_target_requests(fleet) == 0

    run_scenario(scenario, answer_successfully, config=config)


def test_body_over_its_limit_is_refused():
    limits = make_config().limits
    config = make_config(limits=msgspec.structs.replace(limits, body_bytes=10))

    async def scenario(fleet):
        data = HEAD + b"content-length: 11\r\n\r\nhello world"
        assert (await send_raw(fleet, data)).startswith(b"HTTP/1.1 413")
        assert count_target_requests(fleet) == 0

    run_scenario(scenario, answer_successfully, config=config)


@pytest.mark.parametrize("is_reset", [True, False])
def test_answer_without_length_is_complete_only_if_its_connection_closes(is_reset):
    """The bytes before a reset look like a complete answer if the reset is ignored."""

    async def until_close(request, writer):
        stream = writer._stream
        head = "".join(f"{k}: {v}\r\n" for k, v in valid_headers(request))
        await stream.send_all(f"HTTP/1.0 200 OK\r\n{head}\r\npart".encode())
        await trio.sleep(0.1)
        if is_reset:
            linger = b"\x01\x00\x00\x00\x00\x00\x00\x00"
            stream.setsockopt(trio.socket.SOL_SOCKET, trio.socket.SO_LINGER, linger)
        await stream.aclose()

    async def scenario(fleet):
        answer = await fleet.send_request("/sign/x")
        if is_reset:
            assert answer.status == 502
        else:
            assert (answer.status, answer.body) == (200, b"part")

    run_scenario(scenario, until_close)


@pytest.mark.parametrize("routers", [1, 5, 68, 390])
def test_reserves_of_all_routers_stay_within_that_of_the_fleet(routers):
    """With the part of a fleet of 32, 68 routers had twice the allowed retries."""
    fleet_reserve = 400.0
    assert routers * router_reserve(fleet_reserve, routers) <= fleet_reserve


def test_retries_stay_within_the_share_of_requests():
    """Retries multiply the load of targets that may be failing because of load."""

    async def scenario(fleet):
        options = msgspec.structs.replace(
            fleet.router.options, retry_share=0.1, fleet_retry_reserve=64.0
        )
        fleet.router.reload(options)
        for number in range(40):
            await fleet.send_request("/read/x", attempt=f"attempt-{number}")
        # A reserve of two and a tenth of 40 requests.
        assert 40 < count_target_requests(fleet) <= 40 + 2 + 4

    run_scenario(scenario, fail, fail, fail)


def test_reload_changes_bounds_but_not_addresses():
    async def scenario(fleet):
        options: RouterOptions = fleet.router.options
        changed = msgspec.structs.replace(options, grace_period_s=3.0, name="other")
        fleet.router.reload(changed)
        assert fleet.router.options.grace_period_s == 3.0
        assert fleet.router.options.name == options.name
        assert (await fleet.send_request("/read/x")).status == 200

    run_scenario(scenario, answer_successfully)


def test_lowered_limit_is_kept_while_the_store_is_unavailable():
    """A router without access to the store may spend its grant and nothing more."""

    async def scenario(fleet):
        for number in range(5):
            await fleet.send_request("/chat/x", attempt=f"a{number}", tokens="10,20")
        low = Organisation(name="org", keys=("secret",), limit_tokens=60)
        fleet.configure(make_config(version=2, organisations=(low,)))
        await trio.sleep(0.1)
        fleet.store.is_down = True
        for number in range(60):
            await fleet.send_request("/chat/x", attempt=f"b{number}", tokens="10,20")
        fleet.store.is_down = False
        await trio.sleep(1.5)
        page = decode_page(fleet.store.value(page_key("ledger/", "org")))
        balance = page.balance_by_organisation["org"]
        grant = next(iter(balance.grant_by_holder.values()))
        granted_before = grant.total
        assert grant.spent <= granted_before
        answer = await fleet.send_request("/chat/x", attempt="c", tokens="500,500")
        assert answer.status == 402

    run_scenario(scenario, answer_successfully)


def test_request_is_cancelled_if_its_caller_doesn_t_read():
    """Answers that the caller doesn't read must not accumulate in the router."""
    sent = []

    async def endless(request, writer):
        headers = [*valid_headers(request), ("content-type", "text/event-stream")]
        await writer.start(200, headers)
        for number in range(100_000):
            await writer.write(f"id: {number}\ndata: {'x' * 4000}\n\n".encode())
            sent.append(4000)

    async def scenario(fleet):
        address = fleet.address
        data = HEAD.replace(b"/read/x", b"/chat/x")
        data += b"x-tokens: 10,20\r\nx-patience: 2\r\ncontent-length: 0\r\n\r\n"
        async with await trio.open_tcp_stream(address.host, address.port) as stream:
            await stream.send_all(data)
            await trio.sleep(3)
            # The socket buffers of three connections and one chunk in the router.
            assert sum(sent) < 24 * 1024 * 1024
            assert fleet.router.active == 0

    run_scenario(scenario, endless)


def test_lost_target_answer_is_not_reported_as_a_refusal():
    async def scenario(fleet):
        client = HttpClient(address=fleet.address)

        async def close(request, writer):
            await writer._stream.aclose()

        fleet.target_by_id["t0"].script = close
        request = HttpRequest(
            method="POST",
            target="/chat/x",
            headers=[("x-attempt", "a"), ("x-key", "secret"), ("x-tokens", "1,2")],
        )
        try:
            answer = await client.request(request)
        except ResponseLostError:
            return
        finally:
            await client.close()
        assert answer.status == 502

    run_scenario(scenario, answer_successfully)


def test_idle_connection_closed_by_its_peer_loses_only_that_answer():
    """Guards against an unhandled error that stopped a router.

    The client had read the peer's close before it wrote its request.
    """

    async def main():
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        port = listeners[0].socket.getsockname()[1]
        stream = await trio.open_tcp_stream("127.0.0.1", port)
        peer = await listeners[0].accept()
        address = Address(host="127.0.0.1", port=port)
        connection = _ClientConnection(address=address, stream=stream)
        await peer.aclose()
        with pytest.raises(ResponseLostError):
            await connection.next_event()
            await connection.exchange(HttpRequest(method="POST", target="/", body=b"x"))

    trio.run(main)


def test_events_counted_as_relayed_are_written_completely():
    """Guards against a gap in the stream.

    The deadline of the wait for a target cancelled a write to the caller. This was
    found when a router was suspended; a caller that pauses reading has the same effect.
    """
    count = 200
    events = [f"id: {n}\ndata: {'x' * 60_000}\n\n".encode() for n in range(count)]

    async def large(request, writer):
        headers = [*valid_headers(request), ("content-type", "text/event-stream")]
        await writer.start(200, headers)
        for number in range(int(request.header("x-last") or -1) + 1, count):
            await writer.write(events[number])
        await writer.finish()

    async def scenario(fleet):
        client = HttpClient(address=fleet.address)
        headers = [("x-attempt", "a"), ("x-key", "secret"), ("x-tokens", "10,900")]
        request = HttpRequest(method="POST", target="/draft/x", headers=headers)
        async with client.stream(request) as response:
            # Longer than the router waits for the next event of a target.
            await trio.sleep(1.0)
            body = b"".join([part async for part in response.chunks()])
        await client.close()
        assert body == b"".join(events)
        assert count_target_requests(fleet) == 1

    run_scenario(scenario, large, large)
