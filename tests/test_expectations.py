"""Interim responses to requests with an Expect header."""

import pytest
import trio

from tests.direct_support import answer_successfully, run_scenario

REQUEST = (
    b"POST /read/x HTTP/%s\r\nhost: host\r\nx-attempt: a\r\nx-key: secret\r\n"
    b"x-tokens: 1,2\r\nexpect: %s\r\ncontent-length: 4\r\n"
    b"connection: close\r\n\r\n"
)


@pytest.mark.parametrize(
    ("version", "expectation", "has_interim"),
    [
        (b"1.1", b"100-continue", True),
        (b"1.1", b"something", False),
        (b"1.0", b"100-continue", False),
    ],
)
def test_interim_response_is_sent_only_to_callers_that_wait_for_it(
    version, expectation, has_interim
):
    """Guards against an interim response that a caller takes for its answer.

    Callers of HTTP/1.0 know no interim responses.
    """

    async def scenario(fleet):
        address = fleet.address
        async with await trio.open_tcp_stream(address.host, address.port) as stream:
            await stream.send_all(REQUEST % (version, expectation))
            if has_interim:
                received = await stream.receive_some(65536)
                assert received == b"HTTP/1.1 100 \r\n\r\n"
            await stream.send_all(b"body")
            answer = b""
            while data := await stream.receive_some(65536):
                answer += data
        assert answer.startswith(b"HTTP/1.1 200")

    run_scenario(scenario, answer_successfully)
