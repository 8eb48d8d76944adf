"""One link: batches messages out and decodes batches in."""

import queue
from collections.abc import Callable, Iterator
from typing import Any

import msgspec
import trio

BATCH_WINDOW_S = 0.005
OUTBOX_BATCHES_LIMIT = 256

END_OF_STREAM = None


class LinkClosedError(Exception):
    """The link to ``peer`` is closed; the message was not queued."""

    def __init__(self, peer: str):
        super().__init__(f"link to {peer} is closed")
        self.peer = peer


class Link:
    """A stream of messages to and from one peer.

    ``post`` queues a message and never blocks. Messages posted within the
    batch window leave together, because the transport's cost is per batch.
    A message for which ``post`` raised was certainly not sent; any other may
    have been, even if the link closes right afterwards.
    """

    def __init__(
        self,
        *,
        peer: str,
        inbox: Iterator[bytes],
        outbox: queue.SimpleQueue,
        message_type: Any,
        batch_window_s: float,
        hang_up: Callable[[], object],
    ):
        self.peer = peer
        self.closed = False
        self._inbox = inbox
        self._outbox = outbox
        self._encode = msgspec.msgpack.Encoder().encode
        self._decode = msgspec.msgpack.Decoder(list[message_type]).decode
        self._batch_window_s = batch_window_s
        self._hang_up = hang_up
        self._pending: list[Any] = []
        self._has_pending = trio.Event()
        self._reader_limiter = trio.CapacityLimiter(1)

    def post(self, message: Any) -> None:
        """Queue a message. Raises LinkClosedError."""
        if self.closed:
            raise LinkClosedError(self.peer)
        self._pending.append(message)
        self._has_pending.set()

    async def receive(self) -> list[Any]:
        """Return the next batch. Raises LinkClosedError at the stream's end."""
        if self.closed:
            raise LinkClosedError(self.peer)
        # A transport thread runs nothing but the iterator's ``next``.
        data = await trio.to_thread.run_sync(
            _next_or_end,
            self._inbox,
            abandon_on_cancel=True,
            limiter=self._reader_limiter,
        )
        if data is END_OF_STREAM:
            self.close()
            raise LinkClosedError(self.peer)
        return self._decode(data)

    async def run(self) -> None:
        """Send queued batches until the link closes."""
        try:
            while not self.closed:
                await self._has_pending.wait()
                await trio.sleep(self._batch_window_s)
                self.flush()
        finally:
            self.close()

    def flush(self) -> None:
        """Hand the queued messages to the transport now."""
        self._has_pending = trio.Event()
        if not self._pending or self.closed:
            return
        batch, self._pending = self._pending, []
        self._outbox.put(self._encode(batch))
        if self._outbox.qsize() > OUTBOX_BATCHES_LIMIT:
            # The peer has stopped reading; queueing more would only use memory.
            self.close()

    def close(self) -> None:
        """Close the link; queued messages that weren't flushed are dropped."""
        if self.closed:
            return
        self.closed = True
        self._pending.clear()
        self._has_pending.set()
        self._outbox.put(END_OF_STREAM)
        self._hang_up()


def _next_or_end(inbox: Iterator[bytes]) -> bytes | None:
    try:
        return next(inbox, END_OF_STREAM)
    except Exception:  # grpcio raises its RpcError or a bare Exception at the end.
        return END_OF_STREAM
