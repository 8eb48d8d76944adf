"""Kept connections of callers while the idle limit changes."""

import msgspec
import trio

from lavenderfold.http import HttpClient, HttpRequest
from tests.direct_support import answer_successfully, make_config, run_scenario

SHORT_S = 0.4
LONG_S = 5.0
# Callers may learn of a changed limit this much later than the router.
GRACE_S = 3.0


def config_with_limit(version: int, idle_timeout_s: float, **changes: float):
    limits = make_config().limits
    limits = msgspec.structs.replace(limits, idle_timeout_s=idle_timeout_s, **changes)
    return make_config(version=version, limits=limits)


async def send(stream: trio.SocketStream, number: int, body: bytes = b"") -> bytes:
    head = f"POST /read/x HTTP/1.1\r\nhost: host\r\nx-attempt: a{number}\r\n"
    head += f"x-key: secret\r\nx-tokens: 1,2\r\ncontent-length: {len(body)}\r\n\r\n"
    await stream.send_all(head.encode() + body)
    return await stream.receive_some(65536)


def test_connection_outlasts_a_limit_that_was_raised_while_it_was_idle():
    """Guards against a request that is reset by a limit no longer in force."""

    async def scenario(fleet):
        address = fleet.address
        async with await trio.open_tcp_stream(address.host, address.port) as stream:
            assert (await send(stream, 1)).startswith(b"HTTP/1.1 200")
            await trio.sleep(0.1)
            fleet.configure(config_with_limit(2, LONG_S))
            await trio.sleep(SHORT_S + GRACE_S + 0.5)
            assert (await send(stream, 2)).startswith(b"HTTP/1.1 200")

    run_scenario(scenario, answer_successfully, config=config_with_limit(1, SHORT_S))


def test_connection_is_usable_by_callers_that_learn_of_a_lowered_limit_late():
    """Guards against a reset of requests on connections within the earlier limit."""

    async def scenario(fleet):
        address = fleet.address
        async with await trio.open_tcp_stream(address.host, address.port) as stream:
            fleet.configure(config_with_limit(2, SHORT_S))
            await trio.sleep(0.2)
            assert (await send(stream, 1)).startswith(b"HTTP/1.1 200")
            await trio.sleep(SHORT_S + GRACE_S / 2)
            assert (await send(stream, 2)).startswith(b"HTTP/1.1 200")

    run_scenario(scenario, answer_successfully, config=config_with_limit(1, LONG_S))


def test_request_is_checked_by_the_limits_in_force_when_it_arrives():
    """Guards against a refusal by the limits from before a connection became idle."""

    def config_with_body_limit(version: int, body_bytes: int):
        limits = msgspec.structs.replace(make_config().limits, body_bytes=body_bytes)
        return make_config(version=version, limits=limits)

    async def scenario(fleet):
        address = fleet.address
        async with await trio.open_tcp_stream(address.host, address.port) as stream:
            assert (await send(stream, 1)).startswith(b"HTTP/1.1 200")
            await trio.sleep(0.1)
            fleet.configure(config_with_body_limit(2, 1000))
            await trio.sleep(0.2)
            answer = await send(stream, 2, body=b"x" * 100)
            assert answer.startswith(b"HTTP/1.1 200")

    run_scenario(scenario, answer_successfully, config=config_with_body_limit(1, 10))


def test_connection_is_closed_after_the_idle_limit():
    """Guards against connections that stay open for ever, and are closed unseen."""

    async def scenario(fleet):
        address = fleet.address
        async with await trio.open_tcp_stream(address.host, address.port) as stream:
            assert (await send(stream, 1)).startswith(b"HTTP/1.1 200")
            with trio.fail_after(SHORT_S + GRACE_S + 1.0):
                assert await stream.receive_some(1) == b""
        client = HttpClient(address=fleet.router.metrics_address)
        answer = await client.request(HttpRequest(method="GET", target="/metrics"))
        await client.close()
        assert b'closed_connections_total{reason="idle"} 1.0' in answer.body

    run_scenario(scenario, answer_successfully, config=config_with_limit(1, SHORT_S))


def test_connection_outlasts_a_limit_that_was_raised_and_lowered_while_it_was_idle():
    """Guards against a reset of requests on connections within the earlier limit.

    The limit in force is read only when the first one has passed, so the raised one is
    never seen, and a caller that learns of the lowered one late meets a reset.
    """

    async def scenario(fleet):
        address = fleet.address
        async with await trio.open_tcp_stream(address.host, address.port) as stream:
            assert (await send(stream, 1)).startswith(b"HTTP/1.1 200")
            idle_since = trio.current_time()
            await trio.sleep(0.1)
            fleet.configure(config_with_limit(2, LONG_S))
            await trio.sleep_until(idle_since + SHORT_S + GRACE_S - 0.3)
            fleet.configure(config_with_limit(3, SHORT_S))
            await trio.sleep_until(idle_since + SHORT_S + GRACE_S + 0.3)
            assert (await send(stream, 2)).startswith(b"HTTP/1.1 200")

    run_scenario(scenario, answer_successfully, config=config_with_limit(1, SHORT_S))


def test_head_that_began_with_the_previous_request_is_limited_as_a_head():
    """Guards against a request that is closed as idle instead of refused with 408."""

    config = config_with_limit(1, SHORT_S, header_timeout_s=1.0)

    async def scenario(fleet):
        address = fleet.address
        async with await trio.open_tcp_stream(address.host, address.port) as stream:
            head = b"POST /read/x HTTP/1.1\r\nhost: host\r\nx-attempt: a\r\n"
            whole = (
                head + b"x-key: secret\r\nx-tokens: 1,2\r\ncontent-length: 0\r\n\r\n"
            )
            await stream.send_all(whole + head)
            assert (await stream.receive_some(65536)).startswith(b"HTTP/1.1 200")
            with trio.fail_after(SHORT_S + GRACE_S + 2.0):
                assert (await stream.receive_some(65536)).startswith(b"HTTP/1.1 408")

    run_scenario(scenario, answer_successfully, config=config)
