"""Receives the requests of one connection; h11 implements the protocol."""

import logging
import sys

import h11
import trio

from lavenderfold.accepting import AcceptedConnection
from lavenderfold.http._arrivals import ArrivalBound
from lavenderfold.http._decoding_turns import decoding_turns
from lavenderfold.http._messages import (
    BodyTooLargeError,
    HttpRequest,
    MalformedRequestError,
    decode_headers,
)
from lavenderfold.http._open_connections import (
    CONNECTION_BYTES,
    OpenConnection,
    Stage,
)
from lavenderfold.http._request_head import check_head
from lavenderfold.http._server_options import ServerOptions
from lavenderfold.http._stop import IdleConnections
from lavenderfold.process_memory import OutOfMemoryError

RECEIVE_BYTES = 65536
# Used instead if the process's memory is bounded, as all connections may receive a
# part of this size at the same time.
BOUNDED_RECEIVE_BYTES = 32768
# Callers may learn of a lowered idle timeout this much later than the server, and of
# a raised one that much sooner.
IDLE_GRACE_S = 3.0
# Bounds what h11 buffers for a head, if the limit in force is lower.
HEAD_BUFFER_BYTES = 65536
# Events, such as chunks, that are decoded at once of what one receive returned. For
# more of them a connection waits for its turn, and then decodes a slice.
EVENTS_AT_ONCE = 8
EVENTS_PER_SLICE = 32
# Memory of the objects of one header, beside the bytes of the head.
HEADER_BYTES = 192
# A head of more lines waits for its turn as well.
LINES_AT_ONCE = 64
# The time of a request that decoding may take beyond the timeout of its caller.
DECODING_LIMIT_S = 120.0

logger = logging.getLogger(__name__)


class RequestReader:
    """Reads requests, and owns the bytes that have arrived of them.

    They are counted in ``held`` before they are kept, and freed before that count is
    lowered. ``protocol`` is None after ``free``. ``limits`` are those in force for the
    current request, ``has_idled`` says whether the idle timeout ended the last read,
    and ``is_head_request`` whether the method of the last request is HEAD.
    """

    __slots__ = (
        "protocol",
        "limits",
        "has_idled",
        "is_head_request",
        "_stream",
        "_options",
        "_held",
        "_idle_connections",
        "_arrival_bound",
        "_sent_after",
        "_body",
        "_pipelined_bytes",
        "_read_scope",
        "_receive_bytes",
        "_decoding_turns",
        "_decoding_since",
        "_decoding_left_s",
        "_events_left",
        "_head_lines",
    )

    def __init__(
        self,
        *,
        accepted: AcceptedConnection,
        options: ServerOptions,
        held: OpenConnection,
        idle_connections: IdleConnections,
    ):
        # h11's own limit is fixed for the life of the connection, while
        # _check_incomplete and check_head enforce the one in force for each request.
        self.protocol: h11.Connection | None = h11.Connection(
            h11.SERVER, max_incomplete_event_size=sys.maxsize
        )
        self.limits = options.limits()
        self.has_idled = False
        self.is_head_request = False
        self._stream = accepted.stream
        self._options = options
        self._held = held
        self._idle_connections = idle_connections
        self._arrival_bound = ArrivalBound(unread_since=accepted.queued_since)
        self._sent_after = 0.0
        self._body = bytearray()
        self._pipelined_bytes = 0
        self._read_scope = trio.CancelScope()
        self._decoding_turns = decoding_turns()
        self._decoding_since = 0.0
        self._decoding_left_s = DECODING_LIMIT_S
        self._events_left = EVENTS_AT_ONCE
        self._head_lines = 0
        self._receive_bytes = RECEIVE_BYTES
        if options.memory.is_bounded:
            self._receive_bytes = BOUNDED_RECEIVE_BYTES

    @property
    def has_pipelined(self) -> bool:
        """Whether bytes have arrived that follow the current request."""
        return self._pipelined_bytes > 0

    async def read(self) -> HttpRequest | None:
        """Return the next request, or None if there is none.

        Raises MalformedRequestError, h11.RemoteProtocolError, or OutOfMemoryError if
        the request was given up.
        """
        self.has_idled = False
        self.is_head_request = False
        self._decoding_left_s = DECODING_LIMIT_S
        head = await self._read_head()
        if not isinstance(head, h11.Request):
            return None
        self._held.enter(Stage.READING)
        self.is_head_request = head.method == b"HEAD"
        check_head(head, limit=self.limits.header_bytes)
        self._held.keep(HEADER_BYTES * len(head.headers))
        with trio.move_on_after(self.limits.read_timeout_s) as self._read_scope:
            return await self._read_body(head)
        self._raise_if_evicted()
        raise MalformedRequestError("the request took too long", status=408)

    def begin_next(self) -> None:
        """Prepare for the request that follows an answered one."""
        self.protocol.start_next_cycle()
        self._arrival_bound.begin_request()
        pipelined, _ = self.protocol.trailing_data
        self._pipelined_bytes = len(pipelined)
        self._head_lines = 0
        self._begin_decoding(pipelined)
        self._held.is_closable = self._pipelined_bytes > 0
        self._held.share.set(CONNECTION_BYTES + self._pipelined_bytes)

    def give_up(self) -> None:
        """Free what has arrived, and end a read, which raises OutOfMemoryError."""
        self.free()
        self._read_scope.cancel()

    def free(self) -> None:
        """Free what has arrived. Nothing more can be read."""
        self.protocol = None
        self._body = bytearray()
        self._pipelined_bytes = 0
        self._held.share.set(CONNECTION_BYTES)

    async def has_caller_left(self) -> bool:
        """Return whether the end of the connection has arrived with the request.

        A busy server reads requests long after they arrived.
        """
        try:
            while self._may_send_ahead() and self._has_arrived():
                data = await self._stream.receive_some(self._receive_bytes)
                if not data:
                    return True
                self._keep_pipelined(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            logger.debug("caller_connection_broken")
            return True
        return False

    async def wait_disconnected(self) -> bool:
        """Wait until the caller closes the connection.

        Returns False if it has sent too much ahead for that to be noticed.
        """
        try:
            while self._may_send_ahead():
                data = await self._stream.receive_some(self._receive_bytes)
                if not data:
                    return True
                self._keep_pipelined(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            logger.debug("caller_connection_broken")
            return True
        return False

    def _has_arrived(self) -> bool:
        """Return whether bytes, or the end of the connection, can be received.

        If it was closed for a new one, a receive raises ClosedResourceError.
        """
        socket = self._stream.socket
        return socket.fileno() < 0 or socket.is_readable()

    def _may_send_ahead(self) -> bool:
        """Return whether a caller may send more before its request is answered."""
        return self._pipelined_bytes <= self.limits.header_bytes

    def _keep_pipelined(self, data: bytes) -> None:
        """Buffer what a caller sends before it is answered, to be read after that."""
        self._count_received(data)
        self.protocol.receive_data(data)
        self._pipelined_bytes += len(data)
        self._held.is_closable = True

    def _count_received(self, data: bytes) -> None:
        try:
            self._held.keep(len(data))
        except OutOfMemoryError as error:
            if self._held.stage is Stage.READING:
                raise
            raise trio.BrokenResourceError from error

    def _raise_if_evicted(self) -> None:
        if self._held.share.is_evicted:
            raise OutOfMemoryError

    async def _read_head(self) -> h11.Event | None:
        """Return the next request head, or None if the idle timeout expired first."""
        self._sent_after = trio.current_time()
        await self._wait_for_turn()
        event = self.protocol.next_event()
        if event is not h11.NEED_DATA:
            self.limits = self._options.limits()
            return event
        if not self.protocol.trailing_data[0] and not await self._receive_first():
            self.has_idled = True
            return None
        self.limits = self._options.limits()
        self._held.enter(Stage.READING)
        with trio.move_on_after(self.limits.read_timeout_s) as self._read_scope:
            return await self._next_event()
        self._raise_if_evicted()
        raise MalformedRequestError("the head took too long", status=408)

    async def _receive_first(self) -> bool:
        """Receive the first bytes of the next request; return False if none came."""
        is_received = False
        with self._idle_connections.waiting():
            is_received = await self._receive_after_idling()
        if not is_received and self._has_arrived():
            # A request has arrived just when the wait ended.
            self._receive_in_request(
                await self._stream.receive_some(self._receive_bytes)
            )
            return True
        return is_received

    def _receive_in_request(self, data: bytes) -> None:
        self._held.enter(Stage.READING)
        self._count_received(data)
        self.protocol.receive_data(data)
        self._begin_decoding(data)

    def _begin_decoding(self, data: bytes) -> None:
        """Allow the first events of these bytes to be decoded at once.

        A head is decoded as a whole when its last byte has arrived.
        """
        self._decoding_since = trio.current_time()
        self._events_left = EVENTS_AT_ONCE
        if self.protocol.their_state is not h11.SEND_BODY:
            self._head_lines += data.count(b"\n")
            if self._head_lines > LINES_AT_ONCE:
                self._events_left = 0

    async def _wait_for_turn(self) -> None:
        """Wait until another event may be decoded.

        The caller's time to send doesn't pass while the server decodes what has
        arrived.
        """
        if self._events_left == 0:
            left_s = self._read_scope.deadline - self._decoding_since
            self._read_scope.deadline = self._decoding_since + self._decoding_left_s
            await self._decoding_turns.wait()
            now = trio.current_time()
            self._decoding_left_s -= now - self._decoding_since
            self._read_scope.deadline = now + left_s
            self._decoding_since = now
            self._events_left = EVENTS_PER_SLICE
            self._raise_if_evicted()
        self._events_left -= 1

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
        if self.protocol.they_are_waiting_for_100_continue:
            interim = h11.InformationalResponse(status_code=100, headers=[])
            await self._stream.send_all(self.protocol.send(interim))
        announced = dict(head.headers).get(b"content-length")
        if announced is not None and int(announced) > self.limits.body_bytes:
            raise BodyTooLargeError(self.limits.body_bytes)
        while True:
            event = await self._next_event()
            if isinstance(event, h11.EndOfMessage):
                break
            if isinstance(event, h11.ConnectionClosed):
                raise MalformedRequestError("the connection closed inside a request")
            self._body += event.data
            if len(self._body) > self.limits.body_bytes:
                raise BodyTooLargeError(self.limits.body_bytes)
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
            self._raise_if_evicted()
            await self._wait_for_turn()
            event = self.protocol.next_event()
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
        incomplete, _ = self.protocol.trailing_data
        if len(incomplete) > max(HEAD_BUFFER_BYTES, 2 * self.limits.header_bytes):
            raise MalformedRequestError("a head is too long", status=431)
