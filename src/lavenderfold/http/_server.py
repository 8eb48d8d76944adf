"""The HTTP server side: one trio task per connection, h11 for the protocol."""

import logging
from collections.abc import Awaitable, Callable
from functools import partial

import h11
import trio

from lavenderfold.http._messages import (
    BodyTooLargeError,
    HttpRequest,
    HttpResponse,
    MalformedRequestError,
    json_response,
)
from lavenderfold.settings import Address

RECEIVE_BYTES = 65536
HEADER_BYTES_LIMIT = 32768
BODY_BYTES_LIMIT = 4 * 1024 * 1024
IDLE_TIMEOUT_S = 75.0
REQUEST_READ_TIMEOUT_S = 20.0

logger = logging.getLogger(__name__)


class ResponseWriter:
    """Sends one response: whole with ``send`` or in parts.

    A streamed response is chunked. If the handler ends without ``finish`` the
    connection is closed without the terminating chunk, so that a caller never
    takes a cut answer for a whole one.
    """

    __slots__ = ("_connection", "_stream", "started", "finished")

    def __init__(self, *, connection: h11.Connection, stream: trio.SocketStream):
        self._connection = connection
        self._stream = stream
        self.started = False
        self.finished = False

    async def send(self, response: HttpResponse) -> None:
        """Send a whole response."""
        headers = [*response.headers, ("content-length", str(len(response.body)))]
        await self._send_events(
            h11.Response(status_code=response.status, headers=headers),
            h11.Data(data=response.body),
            h11.EndOfMessage(),
        )
        self.finished = True

    async def start(self, status: int, headers: list[tuple[str, str]]) -> None:
        """Send the head of a chunked response."""
        chunked = [*headers, ("transfer-encoding", "chunked")]
        await self._send_events(h11.Response(status_code=status, headers=chunked))

    async def write(self, data: bytes) -> None:
        """Send one chunk."""
        await self._send_events(h11.Data(data=data))

    async def finish(self) -> None:
        """Send the terminating chunk."""
        await self._send_events(h11.EndOfMessage())
        self.finished = True

    async def _send_events(self, *events: h11.Event) -> None:
        self.started = True
        data = b"".join(self._connection.send(event) or b"" for event in events)
        await self._stream.send_all(data)


Handler = Callable[[HttpRequest, ResponseWriter], Awaitable[None]]


class _ServerConnection:
    """Reads requests from one connection and hands them to the handler."""

    def __init__(self, *, stream: trio.SocketStream, handler: Handler, body_limit: int):
        self._stream = stream
        self._handler = handler
        self._body_limit = body_limit
        self._connection = h11.Connection(
            h11.SERVER, max_incomplete_event_size=HEADER_BYTES_LIMIT
        )

    async def run(self) -> None:
        async with self._stream:
            try:
                while await self._serve_one():
                    self._connection.start_next_cycle()
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                return

    async def _serve_one(self) -> bool:
        """Serve one request. Return whether the connection can be used again."""
        writer = ResponseWriter(connection=self._connection, stream=self._stream)
        try:
            request = await self._read_request()
        except (h11.RemoteProtocolError, MalformedRequestError) as error:
            await self._refuse(writer, error)
            return False
        if request is None:
            return False
        await self._handle(request, writer)
        if not writer.finished:
            return False
        states = (self._connection.our_state, self._connection.their_state)
        return states == (h11.DONE, h11.DONE)

    async def _handle(self, request: HttpRequest, writer: ResponseWriter) -> None:
        try:
            await self._handler(request, writer)
        except MalformedRequestError as error:
            await self._refuse(writer, error)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            raise
        except Exception:
            logger.exception("request_failed", extra={"path": request.path})
            if not writer.started:
                await writer.send(json_response(500, {"error": {"type": "internal"}}))

    async def _read_request(self) -> HttpRequest | None:
        with trio.move_on_after(IDLE_TIMEOUT_S):
            head = await self._next_event()
            if not isinstance(head, h11.Request):
                return None
            _check_head(head)
            with trio.move_on_after(REQUEST_READ_TIMEOUT_S):
                return await self._read_body(head)
            raise MalformedRequestError("the request took too long", status=408)
        return None

    async def _read_body(self, head: h11.Request) -> HttpRequest:
        if any(name == b"expect" for name, _ in head.headers):
            interim = h11.InformationalResponse(status_code=100, headers=[])
            await self._stream.send_all(self._connection.send(interim))
        body = bytearray()
        while True:
            event = await self._next_event()
            if isinstance(event, h11.EndOfMessage):
                break
            if isinstance(event, h11.ConnectionClosed):
                raise MalformedRequestError("the connection closed inside a request")
            body += event.data
            if len(body) > self._body_limit:
                raise BodyTooLargeError(self._body_limit)
        return HttpRequest(
            method=head.method.decode("ascii"),
            target=head.target.decode("ascii", "replace"),
            headers=[
                (name.decode("ascii"), value.decode("latin-1"))
                for name, value in head.headers
            ],
            body=bytes(body),
        )

    async def _next_event(self) -> h11.Event:
        while True:
            event = self._connection.next_event()
            if event is not h11.NEED_DATA:
                return event
            self._connection.receive_data(
                await self._stream.receive_some(RECEIVE_BYTES)
            )

    async def _refuse(self, writer: ResponseWriter, error: Exception) -> None:
        if writer.started:
            return
        if self._connection.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        status = getattr(error, "status", None) or getattr(
            error, "error_status_hint", 400
        )
        fault = {"type": "malformed_request", "message": str(error)}
        body = {"error": {**fault, "request_id": None, "outcome": "not_run"}}
        response = json_response(status, body)
        response.headers.append(("connection", "close"))
        await writer.send(response)


def _check_head(head: h11.Request) -> None:
    """Refuse what h11 lets through. Raises MalformedRequestError."""
    # h11 applies its limit only to a head that arrives in several parts.
    size = sum(len(name) + len(value) for name, value in head.headers)
    if size + len(head.target) > HEADER_BYTES_LIMIT:
        fault = f"the head is longer than {HEADER_BYTES_LIMIT} bytes"
        raise MalformedRequestError(fault, status=431)
    # A proxy in front may go by the length and take the rest for a request.
    names = {name for name, _ in head.headers}
    if {b"content-length", b"transfer-encoding"} <= names:
        raise MalformedRequestError("both a length and chunks are given")


async def serve(
    handler: Handler,
    *,
    address: Address,
    body_limit: int = BODY_BYTES_LIMIT,
    task_status: trio.TaskStatus[Address] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve HTTP until cancelled; reports the bound address as started.

    ``body_limit`` is in bytes; a longer body is answered with status 413.
    """

    async def serve_connection(stream: trio.SocketStream) -> None:
        connection = _ServerConnection(
            stream=stream, handler=handler, body_limit=body_limit
        )
        try:
            await connection.run()
        except (OSError, h11.LocalProtocolError) as error:
            logger.info("connection_failed", extra={"cause": repr(error)})

    async with trio.open_nursery() as nursery:
        start = partial(
            trio.serve_tcp, serve_connection, address.port, host=address.host
        )
        listeners = await nursery.start(start)
        host, port = listeners[0].socket.getsockname()[:2]
        task_status.started(Address(host=host, port=port))
