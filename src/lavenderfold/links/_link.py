"""One end of a link: sends messages in batches and decodes received batches.

On the wire a batch is its length in four bytes, big-endian, followed by a msgpack
array of tagged messages.
"""

import logging
import struct
from collections.abc import Awaitable, Callable
from typing import Any

import msgspec
import trio

BATCH_WINDOW_S = 0.005
RECEIVE_BYTES = 65536
BATCH_BYTES_LIMIT = 16 * 1024 * 1024
PENDING_MESSAGES_LIMIT = 65536

LENGTH_PREFIX = struct.Struct(">I")

logger = logging.getLogger(__name__)


class LinkClosedError(Exception):
    """The link to ``peer`` is closed. A message being posted was not queued."""

    def __init__(self, peer: str):
        super().__init__(f"link to {peer} is closed")
        self.peer = peer


class Link:
    """A stream of messages to and from one peer.

    ``post`` queues a message and never blocks. Messages posted within
    ``batch_window_s`` are sent as one batch, because the cost of sending is per
    batch. A message for which ``post`` raised an exception was certainly not sent.
    Any other message may have been sent, even if the link closes right afterwards.
    """

    def __init__(
        self,
        *,
        peer: str,
        open_stream: Callable[[], Awaitable[trio.abc.Stream]],
        message_type: Any,
        batch_window_s: float,
    ):
        self.peer = peer
        self.closed = False
        self._open_stream = open_stream
        self._open_lock = trio.Lock()
        self._stream: trio.abc.Stream | None = None
        self._encode = msgspec.msgpack.Encoder().encode
        self._decode = msgspec.msgpack.Decoder(list[message_type]).decode
        self._batch_window_s = batch_window_s
        self._pending: list[Any] = []
        self._pending_event = trio.Event()
        self._flush_event = trio.Event()
        self._receive_buffer = bytearray()

    def post(self, message: Any) -> None:
        """Queue a message for sending. Raises LinkClosedError."""
        if self.closed:
            raise LinkClosedError(self.peer)
        self._pending.append(message)
        self._pending_event.set()
        if len(self._pending) > PENDING_MESSAGES_LIMIT:
            # The peer has stopped reading; the queue would grow without bound.
            logger.warning("link_peer_stalled", extra={"peer": self.peer})
            self.close()

    def flush(self) -> None:
        """Send the queued messages without waiting for the batch window."""
        self._flush_event.set()

    async def receive(self) -> list[Any]:
        """Return the next batch. Raises LinkClosedError if the link is closed."""
        stream = await self._ensure_open()
        while True:
            batch = self._decode_next_batch()
            if batch is not None:
                return batch
            try:
                data = await stream.receive_some(RECEIVE_BYTES)
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                data = b""
            if not data:
                self.close()
                raise LinkClosedError(self.peer)
            self._receive_buffer += data

    async def run(self) -> None:
        """Send queued messages in batches until the link closes."""
        try:
            stream = await self._ensure_open()
            while not self.closed:
                await self._pending_event.wait()
                with trio.move_on_after(self._batch_window_s):
                    await self._flush_event.wait()
                await self._send_pending(stream)
        except (trio.BrokenResourceError, trio.ClosedResourceError, LinkClosedError):
            return
        finally:
            self.close()

    def close(self) -> None:
        """Close the link. Messages that weren't sent yet are dropped."""
        if self.closed:
            return
        self.closed = True
        self._pending.clear()
        self._pending_event.set()
        self._flush_event.set()
        if self._stream is not None:
            self._stream.socket.close()

    async def _send_pending(self, stream: trio.abc.Stream) -> None:
        self._pending_event = trio.Event()
        self._flush_event = trio.Event()
        if not self._pending or self.closed:
            return
        batch, self._pending = self._pending, []
        data = self._encode(batch)
        await stream.send_all(LENGTH_PREFIX.pack(len(data)) + data)

    async def _ensure_open(self) -> trio.abc.Stream:
        async with self._open_lock:
            if self._stream is None and not self.closed:
                await self._open()
        if self.closed:
            raise LinkClosedError(self.peer)
        return self._stream

    async def _open(self) -> None:
        try:
            self._stream = await self._open_stream()
        except OSError as error:
            logger.debug("link_refused", extra={"peer": self.peer, "cause": str(error)})
            self.close()

    def _decode_next_batch(self) -> list[Any] | None:
        """Decode and remove the first complete batch in the receive buffer, if any."""
        if len(self._receive_buffer) < LENGTH_PREFIX.size:
            return None
        (length,) = LENGTH_PREFIX.unpack_from(self._receive_buffer)
        end = LENGTH_PREFIX.size + length
        if length > BATCH_BYTES_LIMIT:
            self._close_on_bad_batch(
                f"batch of {length} bytes exceeds {BATCH_BYTES_LIMIT}"
            )
        if len(self._receive_buffer) < end:
            return None
        data = bytes(self._receive_buffer[LENGTH_PREFIX.size : end])
        del self._receive_buffer[:end]
        try:
            return self._decode(data)
        except msgspec.DecodeError as error:
            self._close_on_bad_batch(error)

    def _close_on_bad_batch(self, cause: object) -> None:
        logger.warning("link_bad_batch", extra={"peer": self.peer, "cause": str(cause)})
        self.close()
        raise LinkClosedError(self.peer)
