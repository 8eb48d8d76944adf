"""Answers that have no body by the protocol, whatever their sender gives them."""

from functools import partial

import pytest
import trio

from lavenderfold.http import HttpResponse, serve
from lavenderfold.settings import Address
from tests.direct_support import (
    LOOPBACK,
    answer_successfully,
    reject,
    run_scenario,
    valid_headers,
)
from tests.raw_answers import EVENT_STREAM, encode_head, send_and_close

HEADERS = b"host: host\r\nx-attempt: a\r\nx-key: secret\r\nx-tokens: 1,2\r\n"


async def exchange(address, line: bytes, headers: bytes = HEADERS) -> bytes:
    """Send a request that has no body; return all bytes up to the end."""
    received = b""
    async with await trio.open_tcp_stream(address.host, address.port) as stream:
        await stream.send_all(line + b"\r\n" + headers + b"connection: close\r\n\r\n")
        while data := await stream.receive_some(65536):
            received += data
    return received


@pytest.mark.parametrize(
    ("path", "script", "status"),
    [
        (b"/nowhere/x", answer_successfully, b"404"),
        (b"/read/x", reject, b"503"),
        (b"/read/x", answer_successfully, b"200"),
    ],
)
def test_head_request_gets_an_answer(path, script, status):
    """Guards against a connection closed without the refusal of a HEAD request."""

    async def scenario(fleet):
        answer = await exchange(fleet.address, b"HEAD " + path + b" HTTP/1.1")
        head, end, body = answer.partition(b"\r\n\r\n")
        assert head.split()[1] == status
        assert (end, body) == (b"\r\n\r\n", b"")

    run_scenario(scenario, script)


def test_malformed_head_request_gets_an_answer():
    """Guards against a connection closed without the 400 of a HEAD request."""

    async def scenario(fleet):
        headers = b"host: host\r\nx-attempt: a\r\nx-attempt: b\r\n"
        answer = await exchange(fleet.address, b"HEAD /read/x HTTP/1.1", headers)
        assert answer.split()[1] == b"400"

    run_scenario(scenario, answer_successfully)


@pytest.mark.parametrize("status", [204, 304])
def test_body_is_left_out_if_the_status_has_none(status):
    """Guards against an answer that is dropped because of bytes that it can't have."""

    async def answer(request, writer):
        await writer.send(HttpResponse(status=status, body=b"body"))

    async def main():
        async with trio.open_nursery() as nursery:
            address = Address(host=LOOPBACK, port=0)
            bound = await nursery.start(partial(serve, answer, address=address))
            received = await exchange(bound, b"GET /x HTTP/1.1")
            assert received.split()[1] == str(status).encode()
            assert received.endswith(b"\r\n\r\n")
            nursery.cancel_scope.cancel()

    trio.run(main)


@pytest.mark.parametrize("status", [204, 304])
@pytest.mark.parametrize("path", [b"/read/x", b"/chat/x"])
@pytest.mark.parametrize("extra", [[], [EVENT_STREAM], [("content-length", "4")]])
@pytest.mark.parametrize("version", [b"HTTP/1.1", b"HTTP/1.0"])
def test_answer_whose_status_has_no_body_is_relayed(status, path, extra, version):
    """Guards against an answer without a body that its caller never gets."""

    async def script(request, writer):
        head = encode_head(f"{status} Status", [*valid_headers(request), *extra])
        await send_and_close(writer, head)

    async def scenario(fleet):
        answer = await exchange(fleet.address, b"POST " + path + b" " + version)
        assert answer.split()[1] == str(status).encode()
        assert b"transfer-encoding" not in answer.lower()

    run_scenario(scenario, script, script)
