"""Callers whose bytes take long to decode leave other callers their turn."""

from functools import partial

import h11
import pytest
import trio

from lavenderfold.http import (
    HttpClient,
    HttpRequest,
    HttpResponse,
    ResponseWriter,
    ServerLimits,
    ServerOptions,
    serve,
)
from lavenderfold.settings import Address

LOOPBACK = Address(host="127.0.0.1", port=0)
CALLERS = 20
BODY_BYTES = 8192
# With 1,000 events in a turn of the event loop, a turn takes some 20 ms.
EVENTS_PER_TURN_LIMIT = 1000
HEADS_PER_TURN_LIMIT = 2
HEAD_LINES = 1000
TIMEOUT_S = 60.0
READ_TIMEOUT_S = 0.2
PAUSE_S = 0.01
# Takes several times the timeout to decode.
LONG_BODY_BYTES = 128 * 1024


class DecodingMeter(trio.abc.Instrument):
    """Counts the events that h11 decodes in a turn of the event loop."""

    def __init__(self, monkeypatch, *, counts):
        self.most = 0
        self._in_turn = 0
        self._counts = counts
        next_event = h11.Connection.next_event

        def counted(connection: h11.Connection) -> h11.Event:
            event = next_event(connection)
            self._in_turn += self._counts(event)
            self.most = max(self.most, self._in_turn)
            return event

        monkeypatch.setattr(h11.Connection, "next_event", counted)

    def before_io_wait(self, timeout: float) -> None:
        self._in_turn = 0


def encode_request(*lines: str) -> bytes:
    return "\r\n".join(["POST /x HTTP/1.1", "host: h", *lines, "", ""]).encode()


def small_chunks(body_bytes: int) -> bytes:
    head = encode_request("transfer-encoding: chunked")
    return head + b"1\r\nx\r\n" * body_bytes + b"0\r\n\r\n"


async def answer(request: HttpRequest, writer: ResponseWriter) -> None:
    body = b"%d" % len(request.body)
    await writer.send(HttpResponse(status=200, body=body))


async def send_from_all(
    data: bytes,
    *,
    callers: int,
    limits: ServerLimits | None = None,
    part_bytes: int | None = None,
) -> list[bytes]:
    """Return the status lines of the answers to the same request of all callers.

    Each of them sends it in parts, with a pause after each.
    """
    limits = limits or ServerLimits()
    part_bytes = part_bytes or len(data)
    options = ServerOptions(limits=lambda: limits)
    status_lines = []

    async def send(address: Address) -> None:
        stream = await trio.open_tcp_stream(address.host, address.port)
        async with stream:
            for start in range(0, len(data), part_bytes):
                await stream.send_all(data[start : start + part_bytes])
                await trio.sleep(PAUSE_S)
            received = await stream.receive_some(65536)
            status_lines.append(received.partition(b"\r\n")[0])

    with trio.fail_after(TIMEOUT_S):
        async with trio.open_nursery() as nursery:
            address = await nursery.start(
                partial(serve, answer, address=LOOPBACK, options=options)
            )
            async with trio.open_nursery() as sending:
                for _ in range(callers):
                    sending.start_soon(send, address)
            nursery.cancel_scope.cancel()
    return status_lines


@pytest.mark.parametrize("ahead", (1, 2))
def test_small_chunks_are_decoded_in_slices(ahead, monkeypatch):
    """Guards against thousands of chunks that are decoded without a pause."""
    meter = DecodingMeter(monkeypatch, counts=lambda event: 1)
    data = small_chunks(BODY_BYTES) * ahead
    send = partial(send_from_all, data, callers=CALLERS)
    status_lines = trio.run(send, instruments=[meter])
    assert {each[:12] for each in status_lines} == {b"HTTP/1.1 200"}
    assert len(status_lines) == CALLERS
    assert meter.most <= EVENTS_PER_TURN_LIMIT


@pytest.mark.parametrize(("ahead", "part_bytes"), ((1, None), (3, None), (1, 250)))
def test_long_heads_are_decoded_one_in_a_turn(ahead, part_bytes, monkeypatch):
    """Guards against the heads of a crowd that are all decoded in one turn."""
    meter = DecodingMeter(
        monkeypatch, counts=lambda event: isinstance(event, h11.Request)
    )
    data = encode_request(*["ab:"] * HEAD_LINES, "content-length: 0") * ahead
    send = partial(send_from_all, data, callers=CALLERS, part_bytes=part_bytes)
    status_lines = trio.run(send, instruments=[meter])
    assert {each[:12] for each in status_lines} == {b"HTTP/1.1 200"}
    assert meter.most <= HEADS_PER_TURN_LIMIT


def test_body_that_takes_long_to_decode_is_served():
    """Guards against refusing a caller as slow for the time of the server's work."""
    limits = ServerLimits(read_timeout_s=READ_TIMEOUT_S)
    data = small_chunks(LONG_BODY_BYTES)
    status_lines = trio.run(partial(send_from_all, data, callers=1, limits=limits))
    assert status_lines[0][:12] == b"HTTP/1.1 200"


def test_answers_in_small_chunks_are_decoded_in_slices(monkeypatch):
    """Guards against a target whose chunks keep the whole router busy."""
    meter = DecodingMeter(monkeypatch, counts=lambda event: 1)
    answer_head = b"HTTP/1.1 200 \r\ntransfer-encoding: chunked\r\n\r\n"
    data = answer_head + b"1\r\nx\r\n" * BODY_BYTES + b"0\r\n\r\n"

    async def answer_raw(stream: trio.SocketStream) -> None:
        await stream.receive_some(1000)
        await stream.send_all(data)

    async def call() -> list[int]:
        sizes = []

        async def read(address: Address) -> None:
            client = HttpClient(address=address)
            response = await client.request(HttpRequest(method="POST", target="/x"))
            sizes.append(len(response.body))
            await client.close()

        with trio.fail_after(TIMEOUT_S):
            async with trio.open_nursery() as nursery:
                serving = partial(trio.serve_tcp, answer_raw, 0, host="127.0.0.1")
                (listener,) = await nursery.start(serving)
                _, port = listener.socket.getsockname()
                async with trio.open_nursery() as reading:
                    for _ in range(CALLERS):
                        reading.start_soon(read, Address(host="127.0.0.1", port=port))
                nursery.cancel_scope.cancel()
        return sizes

    assert trio.run(call, instruments=[meter]) == [BODY_BYTES] * CALLERS
    assert meter.most <= EVENTS_PER_TURN_LIMIT
