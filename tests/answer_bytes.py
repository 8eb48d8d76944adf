"""Test fixture: targets and callers that write and read bytes on sockets.

The router under test speaks the platform's headers here, and neither side uses the
project's HTTP client or server.
"""

from collections.abc import Awaitable, Callable
from contextlib import asynccontextmanager

import h11
import msgspec
import trio
from lavenderfold_platform.headers import PLATFORM_CODEC

from lavenderfold.fleet import FleetConfig
from lavenderfold.settings import Address
from standins.memory_store import MemoryStore
from tests.direct_support import LOOPBACK, DirectFleet, make_config

RECEIVE_BYTES = 65536
RESET_ON_CLOSE = b"\x01\x00\x00\x00\x00\x00\x00\x00"
ANSWER_WAIT_S = 8.0
DATE_HEADER = "Date: Fri, 04 Dec 2026 23:59:47 GMT\r\n"
STREAM_HEADER = "Content-Type: text/event-stream\r\n"


class Exchange(msgspec.Struct, kw_only=True):
    """One request that a target received, and the connection that it came on.

    ``number`` counts the requests of the connection from 0. ``last_request_id`` is
    the id of its previous request, and ``last_answer`` what the script remembered of
    the answer to that.
    """

    stream: trio.SocketStream
    request_id: str
    path: str
    headers: list[tuple[bytes, bytes]]
    number: int
    last_request_id: str = ""
    last_answer: bytes = b""
    is_closed: bool = False

    async def write(self, data: bytes) -> None:
        await self.stream.send_all(data)

    async def close(self) -> None:
        """Close the connection after what was written."""
        self.is_closed = True
        await self.stream.aclose()

    async def reset(self) -> None:
        """Reset the connection, without what wasn't sent yet."""
        self.stream.setsockopt(
            trio.socket.SOL_SOCKET, trio.socket.SO_LINGER, RESET_ON_CLOSE
        )
        await self.close()

    def header(self, name: bytes) -> bytes | None:
        return dict(self.headers).get(name)


Script = Callable[[Exchange], Awaitable[bytes]]


class ByteTarget:
    """A target whose script writes the bytes of its answers itself.

    The script returns the bytes that it remembers for the connection's next request.
    ``received`` holds the ids of the requests, in order. With ``answers_early`` a
    request is answered before its body was read.
    """

    def __init__(
        self,
        *,
        id: str,
        script: Script,
        answers_early: Callable[[h11.Request], bool] = lambda head: False,
    ):
        self.id = id
        self.script = script
        self.answers_early = answers_early
        self.born = 0
        self.domain = "domain"
        self.warm_up_s: float | None = None
        self.address: Address | None = None
        self.received: list[str] = []
        self.connections = 0

    async def run(self, *, task_status: trio.TaskStatus[None]) -> None:
        """Serve until cancelled."""
        listeners = await trio.open_tcp_listeners(0, host=LOOPBACK)
        port = listeners[0].socket.getsockname()[1]
        self.address = Address(host=LOOPBACK, port=port)
        task_status.started()
        await trio.serve_listeners(self._serve, listeners)

    async def _serve(self, stream: trio.SocketStream) -> None:
        self.connections += 1
        protocol = h11.Connection(h11.SERVER)
        number = 0
        last_request_id, last_answer = "", b""
        async with stream:
            while request := await _read_head(protocol, stream):
                if not self.answers_early(request):
                    await _read_body(protocol, stream)
                request_id = dict(request.headers)[b"attempt-id"].decode()
                self.received.append(request_id)
                exchange = Exchange(
                    stream=stream,
                    request_id=request_id,
                    path=request.target.decode(),
                    headers=list(request.headers),
                    number=number,
                    last_request_id=last_request_id,
                    last_answer=last_answer,
                )
                try:
                    last_answer = await self.script(exchange)
                except (trio.BrokenResourceError, trio.ClosedResourceError):
                    return
                if exchange.is_closed:
                    return
                number += 1
                last_request_id = request_id
                # h11 needs an answer of its own; the bytes of this one aren't sent.
                protocol.send(h11.Response(status_code=204, headers=[]))
                protocol.send(h11.EndOfMessage())
                if not await _read_body(protocol, stream):
                    return
                protocol.start_next_cycle()


async def _next_event(
    protocol: h11.Connection, stream: trio.SocketStream
) -> h11.Event | None:
    """Return the next event, or None if the connection broke."""
    try:
        while (event := protocol.next_event()) is h11.NEED_DATA:
            protocol.receive_data(await stream.receive_some(RECEIVE_BYTES))
    except (h11.RemoteProtocolError, trio.BrokenResourceError):
        return None
    return event


async def _read_head(
    protocol: h11.Connection, stream: trio.SocketStream
) -> h11.Request | None:
    event = await _next_event(protocol, stream)
    return event if isinstance(event, h11.Request) else None


async def _read_body(protocol: h11.Connection, stream: trio.SocketStream) -> bool:
    """Read the rest of a request, if any; return whether it is whole."""
    while protocol.their_state is h11.SEND_BODY:
        if await _next_event(protocol, stream) is None:
            return False
    return protocol.their_state is h11.DONE


def answer_bytes(
    request_id: str,
    body: bytes,
    *,
    status_line: str = "HTTP/1.1 200 OK",
    signature: str = "s1",
    headers: str = "",
) -> bytes:
    """Return a signed answer with a length and a Date header."""
    head = (
        f"{status_line}\r\nAttempt-Id: {request_id}\r\n"
        f"Replica-Signature: {signature}\r\n{headers}"
        f"{DATE_HEADER}Content-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


def refusal_bytes(request_id: str) -> bytes:
    """Return a refusal that says that the request wasn't run."""
    return (
        f"HTTP/1.1 503 X\r\nAttempt-Id: {request_id}\r\nNot-Executed: 1\r\n"
        f"{DATE_HEADER}Content-Length: 0\r\n\r\n"
    ).encode()


class CallerAnswer(msgspec.Struct, kw_only=True):
    """What a caller read; ``status`` is None if no whole head arrived.

    ``is_whole`` tells whether the body's end arrived as well.
    """

    status: int | None = None
    headers: list[tuple[str, str]] = []
    body: bytes = b""
    is_whole: bool = False

    def values(self, name: str) -> list[str]:
        return [value for header, value in self.headers if header == name]

    @property
    def says_not_run(self) -> bool:
        return self.is_whole and (
            self.status in (408, 421, 429, 503) or b'"not_run"' in self.body
        )


def caller_request(request_id: str, path: str, *, body: bytes = b"body") -> bytes:
    """Return a caller's request on one of the routes of ``make_config``."""
    head = (
        f"POST {path} HTTP/1.1\r\nHost: host\r\nAttempt-Id: {request_id}\r\n"
        "Key: secret\r\nToken-Usage: 10,20\r\nDeadline-Ms: 3000\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


class Caller:
    """A caller that keeps its connection to a router while answers are whole.

    ``unasked`` holds bytes that came without a request.
    """

    def __init__(self, address: Address):
        self.unasked: list[bytes] = []
        self._address = address
        self._stream: trio.SocketStream | None = None

    async def call(self, request: bytes) -> CallerAnswer:
        """Send the bytes of one request and read the answer."""
        answer = CallerAnswer(headers=[])
        protocol = h11.Connection(h11.CLIENT)
        # Tells h11 that a request was sent; its bytes are those of the caller.
        head = h11.Request(method="POST", target="/", headers=[("host", "host")])
        protocol.send(head)
        protocol.send(h11.EndOfMessage())
        with trio.fail_after(ANSWER_WAIT_S):
            stream = await self._connect()
            await stream.send_all(request)
            try:
                await _read_answer(protocol, stream, answer)
            except (h11.RemoteProtocolError, trio.BrokenResourceError):
                answer.is_whole = False
        if trailing := protocol.trailing_data[0]:
            self.unasked.append(bytes(trailing))
        if not answer.is_whole or protocol.their_state is h11.MUST_CLOSE:
            await self.close()
        return answer

    async def close(self) -> None:
        if self._stream is not None:
            await trio.aclose_forcefully(self._stream)
            self._stream = None

    async def _connect(self) -> trio.SocketStream:
        if self._stream is not None and self._stream.socket.is_readable():
            if data := await self._stream.receive_some(RECEIVE_BYTES):
                self.unasked.append(data)
            await self.close()
        if self._stream is None:
            address = self._address
            self._stream = await trio.open_tcp_stream(address.host, address.port)
        return self._stream


async def call(address: Address, request: bytes) -> CallerAnswer:
    """Send the bytes of one request on a new connection and read the answer."""
    caller = Caller(address)
    try:
        return await caller.call(request)
    finally:
        await caller.close()


async def _read_answer(
    protocol: h11.Connection, stream: trio.SocketStream, answer: CallerAnswer
) -> None:
    while True:
        event = protocol.next_event()
        if event is h11.NEED_DATA:
            protocol.receive_data(await stream.receive_some(RECEIVE_BYTES))
        elif isinstance(event, h11.Response):
            answer.status = event.status_code
            answer.headers = [
                (name.decode("ascii"), value.decode("latin-1"))
                for name, value in event.headers
            ]
        elif isinstance(event, h11.Data):
            answer.body += bytes(event.data)
        else:
            answer.is_whole = isinstance(event, h11.EndOfMessage)
            return


@asynccontextmanager
async def byte_fleet(
    *scripts: Script,
    config: FleetConfig | None = None,
    answers_early: Callable[[h11.Request], bool] = lambda head: False,
):
    """Run a router with byte targets ``t0``, ``t1`` and so on; yield both."""
    async with trio.open_nursery() as nursery:
        fleet = DirectFleet(nursery=nursery, store=MemoryStore(), codec=PLATFORM_CODEC)
        fleet.configure(config or make_config())
        targets = []
        for number, script in enumerate(scripts):
            target = ByteTarget(
                id=f"t{number}", script=script, answers_early=answers_early
            )
            await nursery.start(target.run)
            fleet.register(target)
            targets.append(target)
        await fleet.start_router()
        await fleet.wait_until(lambda: fleet.router.is_ready)
        yield fleet, targets
        nursery.cancel_scope.cancel()


def run_byte_scenario(
    scenario, *scripts: Script, config: FleetConfig | None = None, timeout_s=20.0
) -> None:
    """Call ``scenario`` with a fleet and its byte targets, which run ``scripts``."""

    async def main():
        with trio.fail_after(timeout_s):
            async with byte_fleet(*scripts, config=config) as (fleet, targets):
                await scenario(fleet, targets)

    trio.run(main)
