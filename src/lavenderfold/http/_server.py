"""One connection of the HTTP server; h11 implements the protocol."""

import logging
from collections.abc import Awaitable, Callable

import h11
import trio

from lavenderfold.accepting import AcceptedConnection
from lavenderfold.http._error_response import error_response
from lavenderfold.http._messages import (
    BodyTooLargeError,
    HttpRequest,
    MalformedRequestError,
    RefusedForMemoryError,
)
from lavenderfold.http._open_connections import OpenConnections, Stage
from lavenderfold.http._request_reader import RequestReader
from lavenderfold.http._resets import reset_on_close
from lavenderfold.http._response_writer import (
    ResponseWriter,
    SlowCallerError,
)
from lavenderfold.http._server_options import CloseReason, ServerOptions
from lavenderfold.http._stop import LINGER_BYTES, IdleConnections, wait_for_close
from lavenderfold.process_memory import OutOfMemoryError

# Pipelined requests of a caller that are accepted before the connection is closed.
# Callers on other connections wait meanwhile.
REQUESTS_AHEAD_LIMIT = 64
# How long a caller may take to close a connection after its last answer.
LINGER_S = 1.0

logger = logging.getLogger(__name__)


Handler = Callable[[HttpRequest, ResponseWriter], Awaitable[None]]


class ServerConnection:
    """Calls the handler for each request of one connection."""

    def __init__(
        self,
        *,
        accepted: AcceptedConnection,
        handler: Handler,
        options: ServerOptions,
        idle_connections: IdleConnections,
        open_connections: OpenConnections,
    ):
        self._stream = accepted.stream
        self._handler = handler
        self._options = options
        self._is_caller_disconnected = False
        self._is_request_answered = False
        self._requests_ahead = 0
        self._close_reason = CloseReason.LEFT
        self._open_connections = open_connections
        self._held = open_connections.open(
            on_evicted=self._evict, on_closed=self._close_now
        )
        self._reader: RequestReader | None = None
        if self._held is not None:
            self._reader = RequestReader(
                accepted=accepted,
                options=options,
                held=self._held,
                idle_connections=idle_connections,
            )

    def _evict(self) -> None:
        """Free the memory of this connection.

        A request that is still read is refused; an answer that waits is cut.
        """
        self._open_connections.report(self._held, "memory")
        if self._held.stage is Stage.READING:
            self._reader.give_up()
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
                    await self._begin_next()
                self._reader.free()
                if self._is_request_answered:
                    self._held.is_closable = True
                    await wait_for_close(
                        self._stream,
                        timeout_s=LINGER_S,
                        limit_bytes=max(LINGER_BYTES, self._reader.limits.body_bytes),
                    )
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            self._close_reason = CloseReason.LEFT
        finally:
            if self._held.share.is_evicted:
                self._close_reason = CloseReason.EVICTED
            self._reader.free()
            self._open_connections.close(self._held)
            self._options.on_closed(self._close_reason)

    async def _begin_next(self) -> None:
        """Prepare for the next request, and let other connections go on."""
        self._reader.begin_next()
        if not self._reader.has_pipelined:
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
            connection=self._reader.protocol,
            stream=self._stream,
            is_closing=self._is_closing,
            idle_timeout_s=lambda: self._options.limits().idle_timeout_s,
            share=self._held.share,
        )
        try:
            request = await self._reader.read()
        except OutOfMemoryError:
            await self._refuse(writer, RefusedForMemoryError())
            return False
        except (h11.RemoteProtocolError, MalformedRequestError) as error:
            # A frame of h11 refers to its error, which would keep what was read.
            await self._refuse(writer, error.with_traceback(None))
            return False
        if request is None:
            if self._reader.has_idled:
                self._close_reason = CloseReason.IDLE
            return False
        self._held.enter(Stage.RUNNING)
        if self._options.cancels_on_disconnect and await self._reader.has_caller_left():
            logger.info("caller_left_unread", extra={"path": request.path})
            return False
        self._close_reason = CloseReason.CUT
        writer.is_for_head_request = self._reader.is_head_request
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
        protocol = self._reader.protocol
        states = (protocol.our_state, protocol.their_state)
        return states == (h11.DONE, h11.DONE)

    def _reset_if_unframed(self) -> None:
        """Have the caller notice that an answer was cut.

        To callers of HTTP/1.0 the close of the connection is the end of the answer.
        """
        is_open = self._stream.socket.fileno() >= 0
        if is_open and self._reader.protocol.their_http_version < b"1.1":
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
            try:
                raise handler_error
            finally:
                # The error refers to this frame, which refers to the request.
                del handler_error

    async def _cancel_on_disconnect(self, handler_scope: trio.CancelScope) -> None:
        if await self._reader.wait_disconnected():
            self._is_caller_disconnected = True
            handler_scope.cancel()

    async def _handle(self, request: HttpRequest, writer: ResponseWriter) -> None:
        try:
            await self._call_handler(request, writer)
        except SlowCallerError:
            logger.info("caller_too_slow", extra={"path": request.path})

    async def _call_handler(self, request: HttpRequest, writer: ResponseWriter) -> None:
        try:
            await self._handler(request, writer)
        except MalformedRequestError as error:
            if not writer.started:
                await writer.send_closing(error_response(error))
        except (trio.BrokenResourceError, trio.ClosedResourceError, SlowCallerError):
            raise
        except Exception:
            logger.exception("request_failed", extra={"path": request.path})
            if not writer.started:
                await writer.send_internal_error()

    async def _refuse(self, writer: ResponseWriter, error: Exception) -> None:
        """Refuse a request that wasn't passed on; its bytes are freed before."""
        self._reader.free()
        writer.is_for_head_request = self._reader.is_head_request
        await writer.send_closing(error_response(error))
        # Without the wait for the close, the refusal is lost to callers that still
        # send.
        self._is_request_answered = isinstance(
            error, (BodyTooLargeError, RefusedForMemoryError)
        )
        self._close_reason = CloseReason.ANSWERED
