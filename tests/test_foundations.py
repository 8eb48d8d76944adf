"""Tests of settings, identifiers, logs, HTTP and links."""

from functools import partial

import msgspec
import pytest
import trio

from lavenderfold.http import (
    HttpClient,
    HttpRequest,
    HttpResponse,
    RequestNotSentError,
    ResponseLostError,
    serve,
)
from lavenderfold.identifiers import (
    BudgetKey,
    RequestKey,
    make_request_id,
    request_id_time,
)
from lavenderfold.links import Link, LinkClosedError, Listener, connect
from lavenderfold.logs import format_pairs
from lavenderfold.messages import (
    Frame,
    Heartbeat,
    MessageToAgent,
    MessageToRouter,
    RouterHello,
    Run,
)
from lavenderfold.settings import Address, convert, parse_yaml

ANY_PORT = Address(host="127.0.0.1", port=0)


def make_run(run_id: str) -> Run:
    key = RequestKey(BudgetKey("regina", "main"), "id")
    return Run(
        run_id=run_id,
        key=key,
        attempt=1,
        payer=1,
        grant_id="g",
        reserved=1,
        idempotent=True,
        priority=0,
        deadline_s=1.0,
    )


def test_request_id_contains_its_creation_time():
    """With a wrong time, an id outside the retention window could be accepted."""
    request_id = make_request_id(unix_time=1_790_000_000.25, random_bits=(1 << 74) - 1)
    assert request_id_time(request_id).unwrap() == 1_790_000_000.25
    assert request_id_time(request_id.upper()).is_err()
    assert request_id_time("no-uuid").is_err()


def test_duplicate_yaml_key_is_an_error():
    """PyYAML keeps the last of two equal keys, so the first would have no effect."""
    error = parse_yaml("a: 1\na: 2\n", path="x.yaml").unwrap_err()
    assert "x.yaml: line 2" in str(error)
    assert "given twice" in str(error)


class ExampleSettings(msgspec.Struct, forbid_unknown_fields=True):
    listen: Address
    port: int = 0


@pytest.mark.parametrize(
    ("value", "fault"),
    [
        ({"listen": "::1:1", "port": "x"}, "s.yaml: port: Expected `int`"),
        ({"listen": "localhost:1"}, "s.yaml: listen: "),
        ({"listen": "127.0.0.1:65536"}, "s.yaml: listen: expected IP:PORT"),
        ({"listen": {"host": "127.0.0.1", "port": 1}}, "s.yaml: listen: "),
        ({"listen": "[::1]:1", "colour": 1}, "s.yaml: file: "),
    ],
)
def test_settings_error_names_file_and_key(value, fault):
    error = convert(value, ExampleSettings, path="s.yaml").unwrap_err()
    assert str(error).startswith(fault)


def test_address_is_parsed_from_text():
    """A struct type for addresses made every settings file with IP:PORT fail."""
    converted = convert({"listen": "[::1]:80"}, ExampleSettings, path="s.yaml")
    assert converted.unwrap().listen == Address(host="::1", port=80)
    assert str(converted.unwrap().listen) == "[::1]:80"


def test_log_line_quotes_values_that_hold_spaces():
    line = format_pairs({"event": "x", "why": 'a "b"\n', "none": None, "t": 0.5})
    assert line == r'event=x why="a \"b\"\n" t=0.5'


async def run_http(handler, use_client):
    async with trio.open_nursery() as nursery:
        address = await nursery.start(partial(serve, handler, address=ANY_PORT))
        client = HttpClient(address=address)
        await use_client(client)
        await client.close()
        nursery.cancel_scope.cancel()


def test_http_client_sends_several_requests():
    async def echo(request, writer):
        await writer.send(HttpResponse(status=200, body=request.body))

    async def check(client):
        for body in (b"one", b"two"):
            request = HttpRequest(method="POST", target="/", body=body)
            response = await client.request(request)
            assert response.body == body

    trio.run(run_http, echo, check)


def test_response_that_fails_midway_is_not_accepted_as_complete():
    """After a handler's failure the server must not send the terminating chunk."""

    async def fail_in_the_middle(request, writer):
        await writer.start(200, [])
        await writer.write(b"part")
        raise RuntimeError("target died")

    async def check(client):
        with pytest.raises(ResponseLostError):
            await client.request(HttpRequest(method="GET", target="/"))

    trio.run(run_http, fail_in_the_middle, check)


def test_refused_connection_is_reported_as_not_sent():
    async def check():
        client = HttpClient(address=Address(host="127.0.0.1", port=1))
        with pytest.raises(RequestNotSentError):
            await client.request(HttpRequest(method="GET", target="/"))

    trio.run(check)


def test_malformed_requests_get_a_4xx_and_the_server_keeps_serving():
    async def answer(request, writer):
        await writer.send(HttpResponse(status=200))

    async def check():
        async with trio.open_nursery() as nursery:
            address = await nursery.start(partial(serve, answer, address=ANY_PORT))
            for data in (
                b"NONSENSE\r\n\r\n",
                b"GET / HTTP/1.1\r\nhost: a\r\nx: " + b"y" * 70_000,
                b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 9999999\r\n\r\n"
                + b"z" * 5_000_000,
            ):
                stream = await trio.open_tcp_stream(address.host, address.port)
                try:
                    await stream.send_all(data)
                    reply = await stream.receive_some()
                    assert reply.startswith(b"HTTP/1.1 4")
                except trio.BrokenResourceError:
                    # The server may close while the client is still sending.
                    pass
                await stream.aclose()
            client = HttpClient(address=address)
            response = await client.request(HttpRequest(method="GET", target="/"))
            assert response.status == 200
            await client.close()
            nursery.cancel_scope.cancel()

    trio.run(check)


async def run_links(serve_link, use_link):
    listener = Listener(address=ANY_PORT, message_type=MessageToAgent)
    async with trio.open_nursery() as nursery:
        address = await nursery.start(listener.run, serve_link)
        link = connect(address=address, message_type=MessageToRouter)
        nursery.start_soon(link.run)
        with trio.fail_after(10):
            await use_link(link)
        link.close()
        nursery.cancel_scope.cancel()


def test_link_keeps_the_order_of_messages_in_both_directions():
    received = []

    async def serve_link(link: Link):
        while len(received) < 4:
            received.extend(await link.receive())
        for offset in range(3):
            link.post(Frame(run_id="r", offset=offset, data=b"d", tokens=1))
        link.flush()
        await trio.sleep_forever()

    async def use_link(link: Link):
        hello = RouterHello(
            router="a",
            incarnation=1,
            region="r",
            failure_domain="f",
            revision=3,
            grant_sequence=0,
        )
        sent = [hello, make_run("1"), make_run("2"), Heartbeat(revision=4)]
        for message in sent:
            link.post(message)
        frames = []
        while len(frames) < 3:
            frames.extend(await link.receive())
        assert [frame.offset for frame in frames] == [0, 1, 2]
        assert received == sent

    trio.run(run_links, serve_link, use_link)


def test_closed_link_refuses_messages():
    """The sender of a run must learn that a closed link didn't send it."""

    async def serve_link(link: Link):
        await link.receive()

    async def use_link(link: Link):
        link.post(Heartbeat(revision=1))
        with pytest.raises(LinkClosedError):
            while True:
                await link.receive()
        with pytest.raises(LinkClosedError):
            link.post(Heartbeat(revision=2))

    trio.run(run_links, serve_link, use_link)


def test_link_to_an_unreachable_peer_closes():
    async def check():
        link = connect(
            address=Address(host="127.0.0.1", port=1), message_type=MessageToRouter
        )
        with trio.fail_after(10), pytest.raises(LinkClosedError):
            await link.receive()

    trio.run(check)


@pytest.mark.parametrize(
    "data", [b"\xff\xff\xff\xff", b"\x00\x00\x00\x01\xc0", b"\x00\x00\x00\x05\x91"]
)
def test_link_closes_on_invalid_batches(data):
    """A peer that uses another protocol must not stop or block the listener."""
    closed = trio.Event()

    async def serve_link(link: Link):
        with pytest.raises(LinkClosedError):
            await link.receive()
        assert link.closed
        closed.set()

    async def check():
        listener = Listener(address=ANY_PORT, message_type=MessageToAgent)
        async with trio.open_nursery() as nursery:
            address = await nursery.start(listener.run, serve_link)
            stream = await trio.open_tcp_stream(address.host, address.port)
            await stream.send_all(data)
            await stream.aclose()
            with trio.fail_after(10):
                await closed.wait()
            nursery.cancel_scope.cancel()

    trio.run(check)


def test_link_closes_when_the_send_queue_is_full():
    """A peer that stops reading must not make the send queue grow without bound."""

    async def check():
        link = connect(
            address=Address(host="127.0.0.1", port=1), message_type=MessageToRouter
        )
        with pytest.raises(LinkClosedError):
            while True:
                link.post(Heartbeat(revision=1))

    trio.run(check)
