"""HTTP client with pooled connections; h11 implements the protocol.

The errors tell whether the peer can have received the request, because a request
that isn't idempotent may be repeated only if it was never sent.
"""

import socket
import time
from collections import deque
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

import h11
import trio

from lavenderfold.http._messages import (
    HttpRequest,
    HttpResponse,
    decode_headers,
    encode_headers,
)
from lavenderfold.http._resets import reset_on_close
from lavenderfold.http._response_head import contains_status_line, unknown_status_line
from lavenderfold.identifiers import id_digest
from lavenderfold.link_traffic import CountedStream
from lavenderfold.process_memory import MemoryShare
from lavenderfold.settings import Address

RECEIVE_BYTES = 65536
CONNECT_TIMEOUT_S = 2.0
IDLE_CONNECTIONS_LIMIT = 32
# A peer that repeats an answer does so soon after the original; older ids would only
# take memory on connections that are kept for long.
RECENT_EXCHANGES_LIMIT = 64
# A response is preceded by a few interim responses (1xx) at most.
INTERIM_RESPONSES_LIMIT = 16
# Longest body that is read as a whole, unless the caller names another limit.
BODY_BYTES_LIMIT = 64 * 1024 * 1024
# A longer body may fill the peer's receive window, so that sending it blocks until
# the peer reads it.
SEND_FIRST_LIMIT_BYTES = 8192
METHODS_WITHOUT_BODY = frozenset(("GET", "HEAD"))
STATUSES_WITHOUT_BODY = frozenset((204, 304))
STATES_AFTER_RESPONSE = (h11.DONE, h11.MUST_CLOSE, h11.CLOSED)
# Events that are decoded at once of what one receive returned, which can hold thousands
# of small chunks. Then other tasks go on.
EVENTS_AT_ONCE = 32
FRAMING_HEADERS = frozenset((b"content-length", b"transfer-encoding"))


async def _open_stream(address: Address) -> trio.SocketStream:
    """Connect to an IP address; this costs less than connecting by host name."""
    family = socket.AF_INET6 if ":" in address.host else socket.AF_INET
    stream_socket = trio.socket.socket(family, socket.SOCK_STREAM)
    try:
        await stream_socket.connect((address.host, address.port))
    except BaseException:
        stream_socket.close()
        raise
    return CountedStream(stream_socket)


class HttpClientError(Exception):
    """A request to ``address`` failed."""

    def __init__(self, address: Address, cause: object):
        super().__init__(f"{address}: {cause}")
        self.address = address


class RequestNotSentError(HttpClientError):
    """No byte of the request was sent."""


class ResponseLostError(HttpClientError):
    """At least part of the request may have been sent; no complete response came."""


class MalformedResponseError(ResponseLostError):
    """The bytes of the response aren't HTTP; its connection didn't just end."""


class MixedHeadError(MalformedResponseError):
    """The head of the response contains the status line of another response."""


class StreamedResponse:
    """A response whose body is read incrementally with ``chunks``."""

    __slots__ = ("status", "headers", "_connection", "_ends_with_connection")

    def __init__(
        self, *, head: h11.Response, connection: "_ClientConnection", method: str
    ):
        self.status = head.status_code
        self.headers = decode_headers(head.headers)
        self._connection = connection
        self._ends_with_connection = (
            method != "HEAD"
            and head.status_code not in STATUSES_WITHOUT_BODY
            and not any(name in FRAMING_HEADERS for name, _ in head.headers)
        )

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the parts of the body as they arrive.

        Raises ResponseLostError if the body ends early. A body that ends with its
        connection and has no byte counts as such: the peer may have stopped after
        the head.
        """
        is_empty = True
        while True:
            event = await self._connection.next_event()
            if isinstance(event, h11.Data):
                is_empty = False
                yield bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                if is_empty and self._ends_with_connection:
                    raise ResponseLostError(self._connection.address, "no body came")
                return
            else:
                raise ResponseLostError(self._connection.address, "body was cut")

    async def read(
        self, *, limit_bytes: int = BODY_BYTES_LIMIT, share: MemoryShare | None = None
    ) -> HttpResponse:
        """Return the response with its complete body, which is counted in ``share``.

        Raises ResponseLostError if the body ends early or is longer than the limit,
        and OutOfMemoryError.
        """
        body = bytearray()
        async for part in self.chunks():
            if share is not None:
                share.add(len(part), now=time.monotonic())
            body += part
            if len(body) > limit_bytes:
                cause = f"the body is longer than {limit_bytes} bytes"
                raise ResponseLostError(self._connection.address, cause)
        return HttpResponse(status=self.status, headers=self.headers, body=bytes(body))


class _ClientConnection:
    """A connection that carries one request at a time."""

    __slots__ = (
        "address",
        "stream",
        "protocol",
        "is_request_sent",
        "is_broken",
        "exchange_digests",
        "_events_left",
    )

    def __init__(self, *, address: Address, stream: CountedStream):
        self.address = address
        self.stream = stream
        self.protocol = h11.Connection(h11.CLIENT)
        self.is_request_sent = False
        self.is_broken = False
        self._events_left = EVENTS_AT_ONCE
        self.exchange_digests: deque[bytes] = deque(maxlen=RECENT_EXCHANGES_LIMIT)

    async def exchange(
        self,
        request: HttpRequest,
        on_head_bytes: Callable[[bool], None] | None = None,
    ) -> h11.Response:
        """Send a request and return the head of its response.

        A peer may respond to a long body before it has read all of it, so a body
        longer than SEND_FIRST_LIMIT_BYTES is sent while waiting for the response.
        Nothing is read before the first bytes of the request were written: what
        arrived earlier isn't a response to it.
        """
        head_data, body = self._encode(request)
        if len(body) <= SEND_FIRST_LIMIT_BYTES:
            await self._write(head_data + body)
            self.is_request_sent = True
            return await self.response_head(on_head_bytes)
        # A long body isn't copied.
        await self._write(head_data + body[:SEND_FIRST_LIMIT_BYTES])
        head: h11.Response | None = None
        failure: HttpClientError | None = None
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                self._send_rest, memoryview(body)[SEND_FIRST_LIMIT_BYTES:]
            )
            try:
                head = await self.response_head(on_head_bytes)
            except HttpClientError as error:
                failure = error
            nursery.cancel_scope.cancel()
        if failure is not None:
            try:
                raise failure
            finally:
                # The error refers to this frame, which refers to the request.
                del failure
        return head

    async def _send_rest(self, data: memoryview) -> None:
        try:
            await self._write(data)
            self.is_request_sent = True
        except ResponseLostError:
            # A socket reports a reset once. The next read returns what arrived before
            # it and then an end, which would make a response without a length whole.
            self.is_broken = True

    def _encode(self, request: HttpRequest) -> tuple[bytes, bytes]:
        """Return the bytes of the head and the body."""
        headers = list(request.headers)
        if request.header("host") is None:
            headers.insert(0, ("host", str(self.address)))
        if request.body or request.method not in METHODS_WITHOUT_BODY:
            headers.append(("content-length", str(len(request.body))))
        head = h11.Request(
            method=request.method,
            target=request.target,
            headers=encode_headers(headers),
        )
        try:
            data = self.protocol.send(head)
            body = self.protocol.send(h11.Data(data=request.body))
            self.protocol.send(h11.EndOfMessage())
            return data, body
        except h11.LocalProtocolError as error:
            # The peer closed the idle connection just before this request used it.
            raise ResponseLostError(self.address, error) from error

    async def _write(self, data: bytes | memoryview) -> None:
        try:
            await self.stream.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise ResponseLostError(self.address, error) from error

    async def next_event(
        self, on_bytes: Callable[[bool], None] | None = None
    ) -> h11.Event:
        try:
            while True:
                await self._let_others_go_on()
                event = self.protocol.next_event()
                if event is not h11.NEED_DATA:
                    return event
                if on_bytes is not None:
                    on_bytes(bool(self.protocol.trailing_data[0]))
                data = await self.stream.receive_some(RECEIVE_BYTES)
                if not data and self.is_broken:
                    raise ResponseLostError(self.address, "reset within the request")
                self.protocol.receive_data(data)
                self._events_left = EVENTS_AT_ONCE
        except h11.RemoteProtocolError as error:
            _, is_closed = self.protocol.trailing_data
            error_type = ResponseLostError if is_closed else MalformedResponseError
            # A frame of h11 refers to its error, and would keep this connection.
            raise error_type(self.address, error) from error.with_traceback(None)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise ResponseLostError(self.address, error) from error

    async def _let_others_go_on(self) -> None:
        """Let other tasks go on after EVENTS_AT_ONCE events without a receive."""
        if self._events_left == 0:
            # What has arrived is read also when the time for it is over.
            await trio.lowlevel.cancel_shielded_checkpoint()
            self._events_left = EVENTS_AT_ONCE
        self._events_left -= 1

    async def response_head(
        self, on_head_bytes: Callable[[bool], None] | None
    ) -> h11.Response:
        for _ in range(INTERIM_RESPONSES_LIMIT + 1):
            event = await self.next_event(on_head_bytes)
            if not isinstance(event, (h11.Response, h11.InformationalResponse)):
                raise ResponseLostError(self.address, "connection closed")
            if contains_status_line(event):
                cause = "a response started within the head of another one"
                raise MixedHeadError(self.address, cause)
            if isinstance(event, h11.Response):
                cause = unknown_status_line(event)
                if cause is not None:
                    raise MalformedResponseError(self.address, cause)
                return event
            if on_head_bytes is not None:
                on_head_bytes(False)
        raise ResponseLostError(self.address, "too many interim responses")

    def is_stale(self) -> bool:
        """Return whether the peer has closed this connection or written to it.

        It must be called right before the first write of a request, with no
        checkpoint in between: bytes that arrive later may be the response.
        """
        return self.stream.socket.is_readable()

    def is_abandoned(self) -> bool:
        """Return whether the response isn't complete, so that nobody will read it."""
        return self.protocol.their_state not in STATES_AFTER_RESPONSE

    def reset_on_close(self) -> None:
        """Have the peer learn of the close before it reads what was sent.

        After an ordinary close, a peer that stood still would first read the request
        and run it.
        """
        reset_on_close(self.stream)

    def is_reusable(self) -> bool:
        states = (self.protocol.our_state, self.protocol.their_state)
        # Bytes received after a complete response belong to no request, so the
        # connection can't be used again.
        is_complete = states == (h11.DONE, h11.DONE) and self.is_request_sent
        return is_complete and not self.protocol.trailing_data[0]


class HttpClient:
    """Sends requests to one address and keeps idle connections for reuse."""

    def __init__(
        self, *, address: Address, connect_timeout_s: float = CONNECT_TIMEOUT_S
    ):
        self.address = address
        self._connect_timeout_s = connect_timeout_s
        self._idle_connections: deque[_ClientConnection] = deque()

    async def request(
        self,
        request: HttpRequest,
        *,
        limit_bytes: int = BODY_BYTES_LIMIT,
        share: MemoryShare | None = None,
    ) -> HttpResponse:
        """Send a request and return its complete response.

        ``limit_bytes`` bounds its body, which is counted in ``share``. Raises
        RequestNotSentError, ResponseLostError, or OutOfMemoryError for the share.
        There is no timeout apart from that for connecting; use a trio cancel scope.
        """
        async with self.stream(request) as response:
            return await response.read(limit_bytes=limit_bytes, share=share)

    @asynccontextmanager
    async def stream(
        self,
        request: HttpRequest,
        *,
        is_fresh: bool = False,
        resets_if_abandoned: bool = False,
        on_sending: Callable[[], None] | None = None,
        on_head_bytes: Callable[[bool], None] | None = None,
        exchange_id: str | None = None,
    ) -> AsyncIterator[StreamedResponse]:
        """Send a request and yield its response before its body is complete.

        With ``is_fresh`` a new connection is opened. The peer may drop an idle
        connection without notice, and a request lost with it may have been run.
        ``exchange_id`` is the id that the peer repeats in its response. An earlier
        response with the same id may arrive again, so a connection that lately
        carried this id isn't used. ``on_sending`` is called right before the first
        byte is sent. ``on_head_bytes`` is called, with whether a head has arrived in
        part, before each wait for more of the head and after each interim response.
        With ``resets_if_abandoned`` the connection is reset if the response wasn't
        read to its end, so that the peer stops working on it.
        """
        digest = None if exchange_id is None else id_digest(exchange_id)
        connection = await (self._connect() if is_fresh else self._acquire(digest))
        if digest is not None:
            connection.exchange_digests.append(digest)
        if on_sending is not None:
            on_sending()
        try:
            head = await connection.exchange(request, on_head_bytes)
            yield StreamedResponse(
                head=head, connection=connection, method=request.method
            )
        finally:
            if resets_if_abandoned and connection.is_abandoned():
                connection.reset_on_close()
            await self._release(connection)

    async def close(self) -> None:
        """Close the idle connections."""
        while self._idle_connections:
            await trio.aclose_forcefully(self._idle_connections.pop().stream)

    async def _acquire(self, exchange_digest: bytes | None) -> _ClientConnection:
        while self._idle_connections:
            connection = self._idle_connections.pop()
            if exchange_digest in connection.exchange_digests:
                self._idle_connections.append(connection)
                break
            if not connection.is_stale():
                return connection
            await trio.aclose_forcefully(connection.stream)
        return await self._connect()

    async def _connect(self) -> _ClientConnection:
        try:
            with trio.fail_after(self._connect_timeout_s):
                stream = await _open_stream(self.address)
        except (OSError, trio.TooSlowError) as error:
            cause = f"all attempts to connect failed: {error}"
            raise RequestNotSentError(self.address, cause) from error
        connection = _ClientConnection(address=self.address, stream=stream)
        if connection.is_stale():
            await trio.aclose_forcefully(stream)
            cause = "the peer closed the connection or wrote before the request"
            raise RequestNotSentError(self.address, cause)
        return connection

    async def _release(self, connection: _ClientConnection) -> None:
        if (
            connection.is_reusable()
            and len(self._idle_connections) < IDLE_CONNECTIONS_LIMIT
        ):
            connection.protocol.start_next_cycle()
            connection.is_request_sent = False
            self._idle_connections.append(connection)
            return
        await trio.aclose_forcefully(connection.stream)


async def refuses_connections(address: Address, *, timeout_s: float) -> bool:
    """Return whether a connection to ``address`` is refused within ``timeout_s``."""
    with trio.move_on_after(timeout_s):
        try:
            stream = await _open_stream(address)
        except ConnectionRefusedError:
            return True
        except OSError:
            return False
        await trio.aclose_forcefully(stream)
    return False
