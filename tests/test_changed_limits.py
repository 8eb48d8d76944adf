"""Limits of a head that change while a connection is kept."""

import msgspec
import pytest
import trio

from tests.direct_support import answer_successfully, make_config, run_scenario

HEAD = (
    b"POST /read/x HTTP/1.1\r\nhost: host\r\nx-attempt: a\r\nx-key: secret\r\n"
    b"x-tokens: 1,2\r\ncontent-length: 0\r\n"
)
LOW_BYTES = 16_384
HIGH_BYTES = 400_000


def config(version: int, header_bytes: int):
    limits = msgspec.structs.replace(make_config().limits, header_bytes=header_bytes)
    return make_config(version=version, limits=limits)


async def send_in_parts(stream: trio.SocketStream, size: int) -> bytes:
    """Send a request whose head has about this size; return the answer's beginning."""
    parts = [HEAD + b"x-long: ", *[b"x" * (size // 4)] * 4, b"\r\n\r\n"]
    for part in parts:
        await stream.send_all(part)
        await trio.sleep(0.05)
    return await stream.receive_some(65536)


@pytest.mark.parametrize("size", [LOW_BYTES // 2, HIGH_BYTES // 2])
def test_head_is_checked_by_a_limit_that_was_raised_on_its_connection(size):
    """Guards against a request refused by a limit that is no longer in force."""

    async def scenario(fleet):
        address = fleet.address
        async with await trio.open_tcp_stream(address.host, address.port) as stream:
            answer = await send_in_parts(stream, 4)
            assert answer.startswith(b"HTTP/1.1 200")
            fleet.configure(config(2, HIGH_BYTES))
            await fleet.wait_until(lambda: fleet.router._config.table.version == 2)
            answer = await send_in_parts(stream, size)
            assert answer.startswith(b"HTTP/1.1 200")

    run_scenario(scenario, answer_successfully, config=config(1, LOW_BYTES))


def test_head_is_checked_by_a_limit_that_was_lowered_on_its_connection():
    """Guards against a head that is buffered beyond the limit in force."""

    async def scenario(fleet):
        address = fleet.address
        async with await trio.open_tcp_stream(address.host, address.port) as stream:
            answer = await send_in_parts(stream, 4)
            assert answer.startswith(b"HTTP/1.1 200")
            fleet.configure(config(2, LOW_BYTES))
            await fleet.wait_until(lambda: fleet.router._config.table.version == 2)
            with pytest.raises(trio.BrokenResourceError):
                await stream.send_all(HEAD + b"x-long: ")
                for _ in range(10):
                    await stream.send_all(b"x" * (HIGH_BYTES // 20))
                    await trio.sleep(0.05)

    run_scenario(scenario, answer_successfully, config=config(1, HIGH_BYTES))
