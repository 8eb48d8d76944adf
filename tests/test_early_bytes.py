"""Bytes that a target wrote to a connection before it got the whole request."""

from contextlib import suppress

import pytest
import trio

from lavenderfold.http import (
    HttpClient,
    HttpRequest,
    RequestNotSentError,
    ResponseLostError,
    StreamedResponse,
    _client,
)
from lavenderfold.http._client import SEND_FIRST_LIMIT_BYTES, _ClientConnection
from lavenderfold.settings import Address

OWN_ANSWER = b"HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nown"
OTHER_ANSWER = b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nother"
REQUEST = HttpRequest(method="POST", target="/", body=b"x")
# More than the socket buffers of both sides hold.
LONG_REQUEST = HttpRequest(method="POST", target="/", body=b"x" * 16_000_000)


class RawServer:
    """A server that answers each request by what ``answers`` gives for it.

    ``connections`` are the accepted ones, in order.
    """

    def __init__(self, answers: list[bytes]):
        self.answers = answers
        self.connections: list[trio.SocketStream] = []

    async def serve(self, stream: trio.SocketStream) -> None:
        self.connections.append(stream)
        with suppress(trio.BrokenResourceError):
            while await stream.receive_some(65536):
                await stream.send_all(self.answers.pop(0))


def run_with_client(scenario, server: RawServer) -> None:
    """Call ``scenario`` with a client of the server."""

    async def main():
        with trio.fail_after(10):
            async with trio.open_nursery() as nursery:
                listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
                port = listeners[0].socket.getsockname()[1]
                nursery.start_soon(trio.serve_listeners, server.serve, listeners)
                client = HttpClient(address=Address(host="127.0.0.1", port=port))
                await scenario(client)
                await client.close()
                nursery.cancel_scope.cancel()

    trio.run(main)


def test_bytes_on_an_idle_connection_are_no_answer_to_the_next_request():
    """Guards against a second copy of an answer that is taken for the next one."""
    server = RawServer([OWN_ANSWER, OWN_ANSWER])

    async def scenario(client):
        assert (await client.request(REQUEST)).body == b"own"
        await server.connections[0].socket.send(OTHER_ANSWER)
        await trio.sleep(0.05)
        assert (await client.request(REQUEST)).body == b"own"
        assert len(server.connections) == 2

    run_with_client(scenario, server)


@pytest.mark.parametrize("extra", [OTHER_ANSWER, b"\n", b"HTTP/1.1 503"])
def test_bytes_that_follow_an_answer_end_its_connection(extra):
    """They arrive together with the answer, so that the socket looks empty."""
    server = RawServer([OWN_ANSWER + extra, OWN_ANSWER])

    async def scenario(client):
        assert (await client.request(REQUEST)).body == b"own"
        assert (await client.request(REQUEST)).body == b"own"
        assert len(server.connections) == 2

    run_with_client(scenario, server)


def test_bytes_on_a_new_connection_leave_the_request_unsent(monkeypatch):
    """They were taken for the answer, though no request had been sent."""
    open_stream = _client._open_stream

    async def open_stream_slowly(address):
        stream = await open_stream(address)
        await trio.sleep(0.05)
        return stream

    monkeypatch.setattr(_client, "_open_stream", open_stream_slowly)
    server = RawServer([])

    async def greet(stream):
        await stream.send_all(OTHER_ANSWER)
        with suppress(trio.BrokenResourceError):
            assert not await stream.receive_some(65536)

    server.serve = greet

    async def scenario(client):
        with pytest.raises(RequestNotSentError):
            await client.request(REQUEST)

    run_with_client(scenario, server)


class RecordedStream:
    """A stream that answers at once and records its calls."""

    def __init__(self):
        self.calls: list[str] = []

    async def send_all(self, data: bytes) -> None:
        self.calls.append("send")
        await trio.lowlevel.checkpoint()

    async def receive_some(self, limit: int) -> bytes:
        self.calls.append("receive")
        await trio.lowlevel.checkpoint()
        return OWN_ANSWER


def test_nothing_is_read_before_the_first_bytes_of_a_long_request():
    """An earlier answer was taken before anything of the request had been sent."""

    async def main():
        stream = RecordedStream()
        address = Address(host="127.0.0.1", port=1)
        connection = _ClientConnection(address=address, stream=stream)
        await connection.exchange(LONG_REQUEST)
        assert stream.calls[0] == "send"

    trio.run(main)


class ResetStream:
    """A stream whose peer answers a part and resets while a body is being sent.

    The write reports the reset; reads then return what had arrived, and an end.
    """

    def __init__(self, part: bytes):
        self._parts = [part]
        self._writes = 0
        self._reset = trio.Event()

    async def send_all(self, data: bytes) -> None:
        await trio.lowlevel.checkpoint()
        self._writes += 1
        if self._writes > 1:
            self._reset.set()
            raise trio.BrokenResourceError

    async def receive_some(self, limit: int) -> bytes:
        await self._reset.wait()
        return self._parts.pop(0) if self._parts else b""


def test_answer_that_a_reset_cuts_while_a_body_is_sent_is_not_whole():
    """A cut answer without a length reached the caller as a complete one."""

    async def main():
        stream = ResetStream(b"HTTP/1.1 200 OK\r\n\r\npart")
        address = Address(host="127.0.0.1", port=1)
        connection = _ClientConnection(address=address, stream=stream)
        head = await connection.exchange(LONG_REQUEST)
        response = StreamedResponse(head=head, connection=connection)
        with pytest.raises(ResponseLostError):
            await response.read()

    trio.run(main)


def test_answer_with_a_length_is_whole_though_its_target_resets():
    """A target may answer a body that it doesn't read, and close."""

    async def main():
        address = Address(host="127.0.0.1", port=1)
        stream = ResetStream(OWN_ANSWER)
        connection = _ClientConnection(address=address, stream=stream)
        head = await connection.exchange(LONG_REQUEST)
        response = StreamedResponse(head=head, connection=connection)
        assert (await response.read()).body == b"own"

    trio.run(main)


def test_early_answer_to_a_long_body_is_the_answer():
    """A target may refuse a body that it hasn't read; its connection isn't kept.

    The next request would otherwise stand where the rest of the body is due.
    """
    assert len(LONG_REQUEST.body) > SEND_FIRST_LIMIT_BYTES
    server = RawServer([])

    async def answer_early(stream):
        server.connections.append(stream)
        await stream.receive_some(1000)
        await stream.send_all(OWN_ANSWER)
        await trio.sleep(0.2)

    server.serve = answer_early

    async def scenario(client):
        assert (await client.request(LONG_REQUEST)).body == b"own"
        assert (await client.request(REQUEST)).body == b"own"
        assert len(server.connections) == 2

    run_with_client(scenario, server)
