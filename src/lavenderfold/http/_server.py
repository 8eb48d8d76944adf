"""HTTP server with one trio task per connection; h11 implements the protocol."""

import logging
import sys
from collections.abc import Awaitable, Callable
from contextlib import ExitStack

import h11
import trio

from lavenderfold.accepting import (
    AcceptedConnection,
    Acceptor,
    open_listening_sockets,
)
from lavenderfold.http._arrivals import ArrivalBound
from lavenderfold.http._messages import (
    BodyTooLargeError,
    HttpRequest,
    MalformedRequestError,
    decode_headers,
    json_response,
)
from lavenderfold.http._request_head import check_head
from lavenderfold.http._resets import reset_on_close
from lavenderfold.http._response_writer import (
    ResponseWriter,
    SlowCallerError,
)
from lavenderfold.http._server_options import CloseReason, ServerOptions
from lavenderfold.http._stop import IdleConnections, wait_for_close
from lavenderfold.settings import Address

RECEIVE_BYTES = 65536
# Callers may learn of a lowered idle timeout this much later than the server, and of
# a raised one that much sooner.
IDLE_GRACE_S = 3.0
# Bounds what h11 buffers for a head, if the limit in force is lower.
HEAD_BUFFER_BYTES = 65536
# How long a stopping server waits for the requests of callers that have just connected.
LAST_REQUESTS_S = 0.2
# How long a caller may take to close a connection after its last answer.
LINGER_S = 1.0


logger = logging.getLogger(__name__)


Handler = Callable[[HttpRequest, ResponseWriter], Awaitable[None]]


class _ServerConnection:
    """Reads requests from one connection and calls the handler for each."""

    def __init__(
        self,
        *,
        accepted: AcceptedConnection,
        handler: Handler,
        options: ServerOptions,
        idle_connections: IdleConnections,
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
        self._close_reason = CloseReason.LEFT

    async def run(self) -> None:
        try:
            async with self._stream:
                while await self._serve_one():
                    self._connection.start_next_cycle()
                    self._arrival_bound.begin_request()
                if self._is_request_answered:
                    await wait_for_close(self._stream, timeout_s=LINGER_S)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            self._close_reason = CloseReason.LEFT
        finally:
            self._options.on_closed(self._close_reason)

    async def _serve_one(self) -> bool:
        """Serve one request and return whether the connection can be used again."""
        self._close_reason = CloseReason.LEFT
        self._is_request_answered = False
        self._pipelined_bytes = 0
        writer = ResponseWriter(
            connection=self._connection,
            stream=self._stream,
            is_closing=self._options.is_closing,
            idle_timeout_s=lambda: self._options.limits().idle_timeout_s,
        )
        try:
            request = await self._read_request(writer)
        except (h11.RemoteProtocolError, MalformedRequestError) as error:
            await self._send_error(writer, error)
            self._close_reason = CloseReason.ANSWERED
            return False
        if request is None:
            return False
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
        if self._connection.their_http_version < b"1.1":
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
            while self._stream.socket.is_readable():
                data = await self._stream.receive_some(RECEIVE_BYTES)
                if not data:
                    return True
                if not self._keep_pipelined(data):
                    return False
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            logger.debug("caller_connection_broken")
            return True
        return False

    async def _cancel_on_disconnect(self, handler_scope: trio.CancelScope) -> None:
        try:
            while data := await self._stream.receive_some(RECEIVE_BYTES):
                if not self._keep_pipelined(data):
                    return
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            logger.debug("caller_connection_broken")
        self._is_caller_disconnected = True
        handler_scope.cancel()

    def _keep_pipelined(self, data: bytes) -> bool:
        """Buffer what a caller sends before it is answered, to be read after that.

        Returns False if it is so much that no more should be received until then.
        """
        self._connection.receive_data(data)
        self._pipelined_bytes += len(data)
        return self._pipelined_bytes <= self._limits.header_bytes

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
        writer.is_for_head_request = head.method == b"HEAD"
        check_head(head, limit=self._limits.header_bytes)
        with trio.move_on_after(self._limits.read_timeout_s):
            return await self._read_body(head)
        raise MalformedRequestError("the request took too long", status=408)

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
        with trio.move_on_after(self._limits.read_timeout_s):
            return await self._next_event()
        raise MalformedRequestError("the head took too long", status=408)

    async def _receive_first(self) -> bool:
        """Receive the first bytes of the next request; return False if none came."""
        is_received = False
        with self._idle_connections.waiting():
            is_received = await self._receive_after_idling()
        if not is_received and self._stream.socket.is_readable():
            # A request has arrived just when the wait ended.
            self._connection.receive_data(
                await self._stream.receive_some(RECEIVE_BYTES)
            )
            return True
        return is_received

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
                data = await self._stream.receive_some(RECEIVE_BYTES)
                self._sent_after = self._arrival_bound.arrived_after()
                self._connection.receive_data(data)
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
        body = bytearray()
        while True:
            event = await self._next_event()
            if isinstance(event, h11.EndOfMessage):
                break
            if isinstance(event, h11.ConnectionClosed):
                raise MalformedRequestError("the connection closed inside a request")
            body += event.data
            if len(body) > self._limits.body_bytes:
                raise BodyTooLargeError(self._limits.body_bytes)
        return HttpRequest(
            method=head.method.decode("ascii"),
            target=head.target.decode("ascii", "replace"),
            headers=decode_headers(head.headers),
            body=bytes(body),
            sent_after=self._sent_after,
        )

    async def _next_event(self) -> h11.Event:
        while True:
            event = self._connection.next_event()
            if event is not h11.NEED_DATA:
                return event
            self._check_incomplete()
            self._arrival_bound.begin_wait()
            data = await self._stream.receive_some(RECEIVE_BYTES)
            # A caller that sends slowly has its whole time for the answer.
            self._sent_after += self._arrival_bound.waited_s()
            self._connection.receive_data(data)

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
        status = getattr(error, "status", None) or getattr(
            error, "error_status_hint", 400
        )
        details = {"type": "malformed_request", "message": str(error)}
        body = {"error": {**details, "request_id": None, "outcome": "not_run"}}
        response = json_response(status, body)
        response.headers.append(("connection", "close"))
        await writer.send(response)


async def serve(
    handler: Handler,
    *,
    address: Address,
    options: ServerOptions | None = None,
    task_status: trio.TaskStatus[Address] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve HTTP on ``address`` until cancelled or stopped.

    Reports the bound address to ``task_status``, which tells the port if 0 was given.
    """
    options = options or ServerOptions()
    idle_connections = IdleConnections()

    async def serve_connection(accepted: AcceptedConnection) -> None:
        connection = _ServerConnection(
            accepted=accepted,
            handler=handler,
            options=options,
            idle_connections=idle_connections,
        )
        try:
            await connection.run()
        except (OSError, h11.LocalProtocolError) as error:
            logger.info("connection_failed", extra={"cause": repr(error)})
        except Exception:
            # The requests of other connections go on.
            logger.exception("connection_failed")

    async with trio.open_nursery() as connections:

        def start_serving(accepted: AcceptedConnection) -> None:
            connections.start_soon(serve_connection, accepted)

        # Closed before the connections end, so that a cancelled server takes no more.
        with ExitStack() as open_sockets:
            sockets = await open_listening_sockets(address.host, address.port)
            for each in sockets:
                open_sockets.enter_context(each)
            acceptors = [
                Acceptor(listening=each, on_accepted=start_serving) for each in sockets
            ]
            async with trio.open_nursery() as accepting:
                for acceptor in acceptors:
                    accepting.start_soon(acceptor.run)
                host, port = sockets[0].getsockname()[:2]
                task_status.started(Address(host=host, port=port))
                await options.stop_requested.wait()
                accepting.cancel_scope.cancel()
            for acceptor in acceptors:
                acceptor.accept_rest()
        await trio.sleep(LAST_REQUESTS_S)
        idle_connections.close()
