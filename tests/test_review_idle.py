"""Limits of kept connections, as found in a review."""

import trio

from tests.direct_support import answer_successfully, run_scenario
from tests.test_idle_limits import GRACE_S, LONG_S, SHORT_S, config_with_limit, send


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

    run_scenario(scenario, answer_successfully, config=config_with_limit(1, SHORT_S))
