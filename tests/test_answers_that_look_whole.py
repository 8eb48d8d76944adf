"""Answers of targets that look whole, but are cut or have no valid status."""

import pytest
import trio

from lavenderfold.fleet import RepeatPolicy
from lavenderfold.http import HttpClient, HttpRequest, ResponseLostError
from lavenderfold.settings import Address
from tests.direct_support import (
    LOOPBACK,
    make_config,
    make_route,
    run_scenario,
    valid_headers,
)
from tests.raw_answers import RESET_ON_CLOSE, encode_head, send_and_close

# More than the socket buffers on loopback hold, so that the upload is in progress.
UPLOAD_BYTES = 24 * 1024 * 1024
# How much of the upload the target reads before it resets the connection.
READ_BYTES = [0, 4096, 65536, 1024 * 1024]
# Pauses between the part of the body and the reset.
RESET_DELAYS_S = [0.0, 0.001, 0.02, 0.2]
UNFRAMED_HEAD = b"HTTP/1.1 200 OK\r\nserver: x\r\n\r\n"
SHORT_HEAD = b"HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\n"
CHUNKED_HEAD = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"


async def answer_and_reset(
    stream: trio.SocketStream, data: bytes, *, read_bytes: int, delay_s: float
) -> None:
    """Read a part of the request, send ``data`` and reset the connection."""
    left = read_bytes
    await stream.receive_some(1024)
    while left > 0:
        left -= len(await stream.receive_some(min(left, 65536)))
    await stream.send_all(data)
    await trio.sleep(delay_s)
    stream.setsockopt(trio.socket.SOL_SOCKET, trio.socket.SO_LINGER, RESET_ON_CLOSE)
    stream.socket.close()


async def upload(address: Address) -> bytes:
    """Return the body of the answer to a long upload."""
    client = HttpClient(address=address)
    request = HttpRequest(method="POST", target="/", body=bytes(UPLOAD_BYTES))
    try:
        return (await client.request(request)).body
    finally:
        await client.close()


@pytest.mark.parametrize("delay_s", RESET_DELAYS_S)
@pytest.mark.parametrize("read_bytes", READ_BYTES)
@pytest.mark.parametrize(
    "data",
    [UNFRAMED_HEAD + b"part", SHORT_HEAD + b"part", CHUNKED_HEAD + b"4\r\npart\r\n"],
    ids=["unframed", "length", "chunks"],
)
def test_answer_reset_during_the_upload_is_lost(data, read_bytes, delay_s):
    """Guards against a part of an early answer that counts as the whole one."""

    async def main():
        listeners = await trio.open_tcp_listeners(0, host=LOOPBACK)
        port = listeners[0].socket.getsockname()[1]

        async def serve_one(stream):
            await answer_and_reset(stream, data, read_bytes=read_bytes, delay_s=delay_s)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(trio.serve_listeners, serve_one, listeners)
            with trio.fail_after(10), pytest.raises(ResponseLostError):
                await upload(Address(host=LOOPBACK, port=port))
            nursery.cancel_scope.cancel()

    trio.run(main)


INVALID_STATUSES = ["000", "001", "099", "99", "9", "600", "700", "999", "1000", "2000"]
INVALID_VERSIONS = ["HTTP/2.0", "HTTP/0.9", "HTTP/1", "HTTP/11.1", "XTTP/1.1", ""]
ONE_ATTEMPT = make_config(
    routes=(
        make_route("read", RepeatPolicy.IDEMPOTENT, attempt_limit=1),
        make_route("chat", RepeatPolicy.STREAM),
    )
)


@pytest.mark.parametrize("path", ["/read/x", "/chat/x"])
@pytest.mark.parametrize("status", INVALID_STATUSES)
def test_answer_without_a_valid_status_reaches_no_caller(status, path):
    """Guards against an answer whose status no client can interpret."""

    async def answer(request, writer):
        headers = [*valid_headers(request), ("content-length", "4")]
        head = encode_head(f"{status} Odd", headers)
        await send_and_close(writer, head + b"body")

    async def scenario(fleet):
        answered = await fleet.send_request(path)
        assert answered.status == 502
        assert b"body" not in answered.body

    run_scenario(scenario, answer, config=ONE_ATTEMPT)


@pytest.mark.parametrize("version", INVALID_VERSIONS)
def test_answer_of_another_protocol_reaches_no_caller(version):
    """Guards against bytes of an unknown protocol that pass as an answer."""

    async def answer(request, writer):
        headers = [*valid_headers(request), ("content-length", "4")]
        head = encode_head("200 OK", headers).replace(b"HTTP/1.1", version.encode(), 1)
        await send_and_close(writer, head + b"body")

    async def scenario(fleet):
        answered = await fleet.send_request("/read/x")
        assert answered.status == 502

    run_scenario(scenario, answer, config=ONE_ATTEMPT)


def test_interim_answers_without_end_are_no_answer():
    """Guards against a request that waits as long as interim answers come."""

    async def answer(request, writer):
        interim = encode_head("103 Early Hints", [("link", "x")])
        while True:
            await writer._stream.send_all(interim)
            await trio.sleep(0.001)

    async def scenario(fleet):
        assert (await fleet.send_request("/read/x")).status == 502

    run_scenario(scenario, answer, config=ONE_ATTEMPT)
