"""Writes one response of the HTTP server to its caller."""

import math
import os
import time
from collections.abc import Callable
from http import HTTPStatus

import h11
import trio

from lavenderfold.http._messages import HttpResponse, encode_headers
from lavenderfold.process_memory import MemoryShare, OutOfMemoryError

# The part of an answer that a caller must take within the idle timeout.
WRITE_BYTES = 16384
# Time for a write that isn't complete at the deadline of its response.
WRITE_GRACE_S = 0.2
STATUSES_WITHOUT_BODY = frozenset((204, 304))
INTERNAL_ERROR_BODY = b'{"error":{"type":"internal"}}'


class SlowCallerError(Exception):
    """A caller didn't read a part of its answer until the deadline of the response."""


class ResponseWriter:
    """Sends one response, either complete with ``send`` or in chunks.

    A chunked response is sent with ``start``, ``write`` and ``finish``. If the
    handler returns without calling ``finish``, the connection is closed without the
    terminating chunk, so that the caller can't take a truncated response for a
    complete one. ``deadline`` is when the response should be complete, on the trio
    clock; a write that blocks longer raises SlowCallerError. ``idle_timeout_s`` returns
    how long a caller that reads nothing is waited for. The unsent bytes are
    counted in ``share``. The body is left out if ``is_for_head_request`` is set or the
    status has none.
    """

    __slots__ = (
        "_connection",
        "_stream",
        "_is_closing",
        "_idle_timeout_s",
        "_share",
        "started",
        "finished",
        "deadline",
        "is_for_head_request",
        "_has_body",
    )

    def __init__(
        self,
        *,
        connection: h11.Connection,
        stream: trio.SocketStream,
        is_closing: Callable[[], bool] = bool,
        idle_timeout_s: Callable[[], float],
        share: MemoryShare | None = None,
    ):
        self._connection: h11.Connection | None = connection
        self._stream = stream
        self._is_closing = is_closing
        self._idle_timeout_s = idle_timeout_s
        self._share = share
        self.started = False
        self.finished = False
        self.deadline = math.inf
        self.is_for_head_request = False
        self._has_body = True

    async def send(self, response: HttpResponse) -> None:
        """Send a complete response."""
        self._decide_on_body(response.status)
        length = ("content-length", str(len(response.body)))
        headers = [*response.headers, length, *self._closing_headers()]
        await self._send_events(
            _response_head(response.status, headers),
            h11.Data(data=response.body if self._has_body else b""),
            h11.EndOfMessage(),
        )
        self.finished = True

    async def send_closing(self, response: HttpResponse) -> None:
        """Send a complete response after which the connection can't be used again.

        h11 has no part in this, as it may have refused to encode another response.
        What it holds of the request is freed before.
        """
        self._connection = None
        body = b"" if self.is_for_head_request else response.body
        lines = [
            f"HTTP/1.1 {response.status} {HTTPStatus(response.status).phrase}",
            *(f"{name}: {value}" for name, value in response.headers),
            f"content-length: {len(response.body)}",
            "connection: close",
        ]
        head = "\r\n".join([*lines, "", ""]).encode("latin-1")
        self.started = True
        await self._write_data(head + body)
        self.finished = True

    async def send_internal_error(self) -> None:
        """Send a 500 instead of a response of which nothing was written.

        The connection can't be used again.
        """
        headers = [("content-type", "application/json")]
        await self.send_closing(
            HttpResponse(status=500, headers=headers, body=INTERNAL_ERROR_BODY)
        )

    async def start(self, status: int, headers: list[tuple[str, str]]) -> None:
        """Send the status line and headers of a chunked response."""
        self._decide_on_body(status)
        framing = [("transfer-encoding", "chunked")]
        if status in STATUSES_WITHOUT_BODY:
            framing = []
        headers = [*headers, *framing, *self._closing_headers()]
        await self._send_events(_response_head(status, headers))

    async def write(self, data: bytes) -> None:
        """Send one chunk."""
        if self._has_body:
            await self._send_events(h11.Data(data=data))

    async def finish(self) -> None:
        """Send the terminating chunk."""
        await self._send_events(h11.EndOfMessage())
        self.finished = True

    def _decide_on_body(self, status: int) -> None:
        # h11 raises an error for a body where the protocol has none, and then sends
        # nothing more on the connection.
        has_body_by_status = status not in STATUSES_WITHOUT_BODY
        self._has_body = has_body_by_status and not self.is_for_head_request

    def _closing_headers(self) -> list[tuple[str, str]]:
        return [("connection", "close")] if self._is_closing() else []

    async def _send_events(self, *events: h11.Event) -> None:
        # A write that is cancelled before its first byte leaves the response as it
        # was, so that another one can be sent.
        await trio.lowlevel.checkpoint_if_cancelled()
        parts = [self._connection.send(event) or b"" for event in events]
        self.started = True
        if sum(map(len, parts)) <= WRITE_BYTES:
            parts = [b"".join(parts)]
        # Long bodies aren't copied.
        for part in parts:
            await self._write_data(part)

    async def _write_data(self, data: bytes) -> None:
        sent_bytes = self._write_now(data) if data else 0
        if sent_bytes == len(data):
            return
        rest = memoryview(data)[sent_bytes:]
        if self._share is None:
            await self._write_rest(rest)
            return
        request_bytes = self._share.held_bytes
        self._count_waiting(len(rest))
        try:
            await self._write_rest(rest)
        finally:
            self._share.is_evictable = False
            self._share.set(request_bytes)

    def _count_waiting(self, waiting_bytes: int) -> None:
        """Count what the caller hasn't taken; raise BrokenResourceError over the bound.

        Other shares can take the memory of this one until the caller has read all.
        """
        self._share.is_evictable = True
        try:
            self._share.add(waiting_bytes, now=time.monotonic())
        except OutOfMemoryError as error:
            raise trio.BrokenResourceError from error

    def _write_now(self, data: bytes | memoryview) -> int:
        """Write what the socket takes at once; return how many bytes that is.

        Nearly all writes end here, without the cost of limits on their time.
        """
        try:
            return os.write(self._stream.socket.fileno(), data)
        except BlockingIOError:
            return 0
        except OSError as error:
            raise trio.BrokenResourceError from error

    async def _write_rest(self, rest: memoryview) -> None:
        """Write in parts that each have the idle timeout.

        A slow caller takes them in time; for one that stops reading, or reads only a
        byte now and then, BrokenResourceError is raised. The time after the deadline
        isn't over before the write begins, so that an answer that is ready late is
        written as well.
        """
        limit = max(trio.current_time(), self.deadline) + WRITE_GRACE_S
        while rest:
            await self._write_part(rest[:WRITE_BYTES], limit=limit)
            if self._share is not None:
                self._share.progressed_at = time.monotonic()
            rest = rest[WRITE_BYTES:]

    async def _write_part(self, part: memoryview, *, limit: float) -> None:
        began_at = trio.current_time()
        timeout_s = self._idle_timeout_s()
        while part:
            with trio.move_on_at(min(began_at + timeout_s, limit)) as scope:
                await trio.lowlevel.wait_writable(self._stream.socket)
            part = part[self._write_now(part) :]
            if not part or not scope.cancelled_caught:
                continue
            if limit <= trio.current_time():
                raise SlowCallerError
            # The timeout may have been raised while the caller was waited for.
            latest_timeout_s = self._idle_timeout_s()
            if latest_timeout_s <= timeout_s:
                raise trio.BrokenResourceError("the caller doesn't read the response")
            timeout_s = latest_timeout_s


def _response_head(status: int, headers: list[tuple[str, str]]) -> h11.Response:
    return h11.Response(status_code=status, headers=encode_headers(headers))
