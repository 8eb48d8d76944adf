"""One connection of the HTTP server; h11 implements the protocol."""

import logging
import sys
from collections.abc import Awaitable, Callable

import h11
import trio

from lavenderfold.accepting import AcceptedConnection
from lavenderfold.http._arrivals import ArrivalBound
from lavenderfold.http._error_response import error_response
from lavenderfold.http._messages import (
    BodyTooLargeError,
    HttpRequest,
    MalformedRequestError,
    RefusedForMemoryError,
    decode_headers,
)
from lavenderfold.http._open_connections import (
    CONNECTION_BYTES,
    OpenConnections,
    Stage,
)
from lavenderfold.http._request_head import check_head
from lavenderfold.http._resets import reset_on_close
from lavenderfold.http._response_writer import (
    ResponseWriter,
    SlowCallerError,
)
from lavenderfold.http._server_options import CloseReason, ServerOptions
from lavenderfold.http._stop import LINGER_BYTES, IdleConnections, wait_for_close
from lavenderfold.process_memory import OutOfMemoryError

RECEIVE_BYTES = 65536
# Used instead if the process's memory is bounded, as all connections may receive a
# part of this size at the same time.
BOUNDED_RECEIVE_BYTES = 32768
# Pipelined requests of a caller that are accepted before the connection is closed.
# Callers on other connections wait meanwhile.
REQUESTS_AHEAD_LIMIT = 64
# Callers may learn of a lowered idle timeout this much later than the server, and of
# a raised one that much sooner.
IDLE_GRACE_S = 3.0
# Bounds what h11 buffers for a head, if the limit in force is lower.
HEAD_BUFFER_BYTES = 65536
# How long a caller may take to close a connection after its last answer.
LINGER_S = 1.0


logger = logging.getLogger(__name__)


Handler = Callable[[HttpRequest, ResponseWriter], Awaitable[None]]


class ServerConnection:
    """Reads requests from one connection and calls the handler for each."""

    def __init__(
        self,
        *,
        accepted: AcceptedConnection,
        handler: Handler,
        options: ServerOptions,
        idle_connections: IdleConnections,
        open_connections: OpenConnections,
    ):
        self._idle_connections = idle_connections
        self._stream = accepted.stream
        self._arrival_bound = ArrivalBound(unread_since=accepted.queued_since)
        self._sent_after = 0.0
        self._handler = handler
        self._options = options
        self._limits = options.limits()
        # h11's own limit is fixed for the life of the connection, while
        # _check_incomplete and check_head enforce the one in force for each request.
        self._connection = h11.Connection(
            h11.SERVER, max_incomplete_event_size=sys.maxsize
        )
        self._is_caller_disconnected = False
        self._is_request_answered = False
        self._pipelined_bytes = 0
        self._requests_ahead = 0
        self._body = bytearray()
        self._read_scope = trio.CancelScope()
        self._close_reason = CloseReason.LEFT
        self._open_connections = open_connections
        self._held = open_connections.open(
            on_evicted=self._evict, on_closed=self._close_now
        )
        self._receive_bytes = RECEIVE_BYTES
        if options.memory.is_bounded:
            self._receive_bytes = BOUNDED_RECEIVE_BYTES

    def _evict(self) -> None:
        """Free the memory of this connection.

        A request that is still read is refused; an answer that waits is cut.
        """
        self._body = bytearray()
        self._open_connections.report(self._held, "memory")
        if self._held.stage is Stage.READING:
            self._read_scope.cancel()
        else:
            self._close_now()

    def _close_now(self) -> None:
        """Close the connection at once, with a reset if a request or answer is cut."""
        # The socket may be closed already while the connection's task hasn't ended yet.
        if self._stream.socket.fileno() < 0:
            return
        if self._held is not None and self._held.stage is not Stage.IDLE:
            reset_on_close(self._stream)
        self._stream.socket.close()

    async def run(self) -> None:
        if self._held is None:
            self._options.on_closed(CloseReason.EVICTED)
            self._close_now()
            return
        try:
            async with self._stream:
                while await self._serve_one():
                    self._connection.start_next_cycle()
                    self._arrival_bound.begin_request()
                    await self._begin_next()
                if self._is_request_answered:
                    self._held.is_closable = True
                    await wait_for_close(
                        self._stream,
                        timeout_s=LINGER_S,
                        limit_bytes=max(LINGER_BYTES, self._limits.body_bytes),
                    )
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            self._close_reason = CloseReason.LEFT
        finally:
            if self._held.share.is_evicted:
                self._close_reason = CloseReason.EVICTED
            self._open_connections.close(self._held)
            self._options.on_closed(self._close_reason)

    async def _begin_next(self) -> None:
        """Count what was sent ahead of the answer, and let other connections go on."""
        self._pipelined_bytes = len(self._connection.trailing_data[0])
        self._held.is_closable = self._pipelined_bytes > 0
        self._held.share.set(CONNECTION_BYTES + self._pipelined_bytes)
        if not self._pipelined_bytes:
            self._requests_ahead = 0
            return
        self._requests_ahead += 1
        await trio.lowlevel.checkpoint()

    def _is_closing(self) -> bool:
        is_ahead = self._requests_ahead >= REQUESTS_AHEAD_LIMIT
        return is_ahead or self._options.closes_each or self._options.is_closing()

    async def _serve_one(self) -> bool:
        """Serve one request and return whether the connection can be used again."""
        self._close_reason = CloseReason.LEFT
        self._is_request_answered = False
        self._held.enter(Stage.IDLE)
        writer = ResponseWriter(
            connection=self._connection,
            stream=self._stream,
            is_closing=self._is_closing,
            idle_timeout_s=lambda: self._options.limits().idle_timeout_s,
            share=self._held.share,
        )
        try:
            request = await self._read_request(writer)
        except OutOfMemoryError:
            await self._refuse_for_memory(writer)
            return False
        except (h11.RemoteProtocolError, MalformedRequestError) as error:
            await self._send_error(writer, error)
            self._close_reason = CloseReason.ANSWERED
            # A caller that still sends its body would lose the refusal.
            self._is_request_answered = isinstance(error, BodyTooLargeError)
            return False
        if request is None:
            return False
        self._held.enter(Stage.RUNNING)
        if self._options.cancels_on_disconnect and await self._has_caller_left():
            logger.info("caller_left_unread", extra={"path": request.path})
            return False
        self._close_reason = CloseReason.CUT
        try:
            if self._options.cancels_on_disconnect:
                await self._handle_until_disconnect(request, writer)
            else:
                await self._handle(request, writer)
        finally:
            if writer.started and not writer.finished:
                self._reset_if_unframed()
        if self._is_caller_disconnected:
            self._close_reason = CloseReason.LEFT
            return False
        if not writer.finished:
            return False
        self._close_reason = CloseReason.ANSWERED
        self._is_request_answered = True
        states = (self._connection.our_state, self._connection.their_state)
        return states == (h11.DONE, h11.DONE)

    def _reset_if_unframed(self) -> None:
        """Have the caller notice that an answer was cut.

        To callers of HTTP/1.0 the close of the connection is the end of the answer.
        """
        is_open = self._stream.socket.fileno() >= 0
        if is_open and self._connection.their_http_version < b"1.1":
            reset_on_close(self._stream)

    async def _handle_until_disconnect(
        self, request: HttpRequest, writer: ResponseWriter
    ) -> None:
        """Run the handler and cancel it if the caller closes the connection."""
        handler_error: Exception | None = None
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._cancel_on_disconnect, nursery.cancel_scope)
            try:
                await self._handle(request, writer)
            except Exception as error:
                # Raised again below, not as a part of the nursery's group.
                handler_error = error
            nursery.cancel_scope.cancel()
        if handler_error is not None:
            raise handler_error

    async def _has_caller_left(self) -> bool:
        """Return whether the end of the connection has arrived with the request.

        A busy server reads requests long after they arrived.
        """
        try:
            while self._may_send_ahead() and self._stream.socket.is_readable():
                data = await self._stream.receive_some(self._receive_bytes)
                if not data:
                    return True
                self._keep_pipelined(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            logger.debug("caller_connection_broken")
            return True
        return False

    async def _cancel_on_disconnect(self, handler_scope: trio.CancelScope) -> None:
        try:
            while self._may_send_ahead():
                data = await self._stream.receive_some(self._receive_bytes)
                if not data:
                    break
                self._keep_pipelined(data)
            else:
                return
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            logger.debug("caller_connection_broken")
        self._is_caller_disconnected = True
        handler_scope.cancel()

    def _may_send_ahead(self) -> bool:
        """Return whether a caller may send more before its request is answered."""
        return self._pipelined_bytes <= self._limits.header_bytes

    def _keep_pipelined(self, data: bytes) -> None:
        """Buffer what a caller sends before it is answered, to be read after that."""
        self._count_received(data)
        self._connection.receive_data(data)
        self._pipelined_bytes += len(data)
        self._held.is_closable = True

    def _count_received(self, data: bytes) -> None:
        try:
            self._held.keep(len(data))
        except OutOfMemoryError as error:
            if self._held.stage is Stage.READING:
                raise
            raise trio.BrokenResourceError from error

    async def _handle(self, request: HttpRequest, writer: ResponseWriter) -> None:
        try:
            await self._call_handler(request, writer)
        except SlowCallerError:
            logger.info("caller_too_slow", extra={"path": request.path})

    async def _call_handler(self, request: HttpRequest, writer: ResponseWriter) -> None:
        try:
            await self._handler(request, writer)
        except MalformedRequestError as error:
            await self._send_error(writer, error)
        except (trio.BrokenResourceError, trio.ClosedResourceError, SlowCallerError):
            raise
        except Exception:
            logger.exception("request_failed", extra={"path": request.path})
            if not writer.started:
                await writer.send_internal_error()

    async def _read_request(self, writer: ResponseWriter) -> HttpRequest | None:
        head = await self._read_head()
        if not isinstance(head, h11.Request):
            return None
        self._held.enter(Stage.READING)
        writer.is_for_head_request = head.method == b"HEAD"
        check_head(head, limit=self._limits.header_bytes)
        with trio.move_on_after(self._limits.read_timeout_s) as self._read_scope:
            return await self._read_body(head)
        self._raise_if_evicted()
        raise MalformedRequestError("the request took too long", status=408)

    def _raise_if_evicted(self) -> None:
        if self._held.share.is_evicted:
            raise OutOfMemoryError

    async def _refuse_for_memory(self, writer: ResponseWriter) -> None:
        """Refuse a request that wasn't passed on."""
        await self._send_error(writer, RefusedForMemoryError())
        # Without the wait for the close, the refusal is lost to callers that still
        # send.
        self._is_request_answered = True

    async def _read_head(self) -> h11.Event | None:
        """Return the next request head, or None if the idle timeout expired first."""
        self._sent_after = trio.current_time()
        event = self._connection.next_event()
        if event is not h11.NEED_DATA:
            self._limits = self._options.limits()
            return event
        if not self._connection.trailing_data[0] and not await self._receive_first():
            self._close_reason = CloseReason.IDLE
            return None
        self._limits = self._options.limits()
        self._held.enter(Stage.READING)
        with trio.move_on_after(self._limits.read_timeout_s) as self._read_scope:
            return await self._next_event()
        self._raise_if_evicted()
        raise MalformedRequestError("the head took too long", status=408)

    async def _receive_first(self) -> bool:
        """Receive the first bytes of the next request; return False if none came."""
        is_received = False
        with self._idle_connections.waiting():
            is_received = await self._receive_after_idling()
        if not is_received and self._stream.socket.is_readable():
            # A request has arrived just when the wait ended.
            self._receive_in_request(
                await self._stream.receive_some(self._receive_bytes)
            )
            return True
        return is_received

    def _receive_in_request(self, data: bytes) -> None:
        self._held.enter(Stage.READING)
        self._count_received(data)
        self._connection.receive_data(data)

    async def _receive_after_idling(self) -> bool:
        """Receive bytes unless the idle timeout passes first; return whether any came.

        The longest idle timeout that was in force meanwhile counts, as callers rely
        on the one that they know.
        """
        idle_since = trio.current_time()
        timeout_s = self._options.limits().idle_timeout_s
        while True:
            self._arrival_bound.begin_wait()
            with trio.move_on_at(idle_since + timeout_s + IDLE_GRACE_S):
                data = await self._stream.receive_some(self._receive_bytes)
                self._sent_after = self._arrival_bound.arrived_after()
                self._receive_in_request(data)
                return True
            self._arrival_bound.begin_request()
            latest_timeout_s = self._options.limits().idle_timeout_s
            if latest_timeout_s <= timeout_s:
                return False
            timeout_s = latest_timeout_s

    async def _read_body(self, head: h11.Request) -> HttpRequest:
        if self._connection.they_are_waiting_for_100_continue:
            interim = h11.InformationalResponse(status_code=100, headers=[])
            await self._stream.send_all(self._connection.send(interim))
        announced = dict(head.headers).get(b"content-length")
        if announced is not None and int(announced) > self._limits.body_bytes:
            raise BodyTooLargeError(self._limits.body_bytes)
        while True:
            event = await self._next_event()
            if isinstance(event, h11.EndOfMessage):
                break
            if isinstance(event, h11.ConnectionClosed):
                raise MalformedRequestError("the connection closed inside a request")
            self._body += event.data
            if len(self._body) > self._limits.body_bytes:
                raise BodyTooLargeError(self._limits.body_bytes)
        self._raise_if_evicted()
        body, self._body = bytes(self._body), bytearray()
        return HttpRequest(
            method=head.method.decode("ascii"),
            target=head.target.decode("ascii", "replace"),
            headers=decode_headers(head.headers),
            body=body,
            sent_after=self._sent_after,
        )

    async def _next_event(self) -> h11.Event:
        while True:
            event = self._connection.next_event()
            if event is not h11.NEED_DATA:
                return event
            self._check_incomplete()
            self._arrival_bound.begin_wait()
            data = await self._stream.receive_some(self._receive_bytes)
            # A caller that sends slowly has its whole time for the answer.
            self._sent_after += self._arrival_bound.waited_s()
            self._receive_in_request(data)

    def _check_incomplete(self) -> None:
        """Bound what h11 buffers of a head, or of the framing of a body."""
        incomplete, _ = self._connection.trailing_data
        if len(incomplete) > max(HEAD_BUFFER_BYTES, 2 * self._limits.header_bytes):
            raise MalformedRequestError("a head is too long", status=431)

    async def _send_error(self, writer: ResponseWriter, error: Exception) -> None:
        if writer.started:
            return
        if self._connection.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        await writer.send(error_response(error))
