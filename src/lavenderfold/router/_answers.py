"""Assembly of an answer's bytes from frames, and their transfer to the caller."""

import hashlib
from collections import deque

import trio

from lavenderfold.messages import Frame
from lavenderfold.outcomes import Ran


class RelayProgress:
    """The length and digest of what was relayed to the caller, over all attempts."""

    __slots__ = ("length", "digest")

    def __init__(self, *, length: int = 0, digest: str = ""):
        self.length = length
        self.digest = digest


class AnswerAssembler:
    """Assembles the frames of one run in order.

    Accepts the frame at the next offset, discards bytes that it already has, and
    sets ``has_gap`` if a frame starts beyond the next offset. A retry starts
    again at offset 0: its bytes must equal those that were already relayed to the
    caller, otherwise ``has_diverged`` is set. Only the bytes after them are
    returned.
    """

    def __init__(self, *, start: int = 0, relay_progress: RelayProgress | None = None):
        self.offset = start
        self.has_gap = False
        self.has_diverged = False
        self._start = start
        self._relay_progress = relay_progress or RelayProgress(length=start)
        self._hash = hashlib.sha256()

    def accept(self, frame: Frame) -> bytes:
        """Return the bytes of a frame that are new to the caller."""
        if frame.offset > self.offset:
            self.has_gap = True
            return b""
        data = frame.data[self.offset - frame.offset :]
        if not data:
            return b""
        self.has_gap = False
        overlap = max(0, min(len(data), self._relay_progress.length - self.offset))
        self._append(data[:overlap])
        if overlap and self.offset == self._relay_progress.length:
            self.has_diverged = self.digest() != self._relay_progress.digest
        self._append(data[overlap:])
        return b"" if self.has_diverged else data[overlap:]

    def digest(self) -> str:
        """Return the SHA-256 of the bytes from the start offset on."""
        return self._hash.hexdigest()

    def relay_progress(self) -> RelayProgress:
        """Return the progress of the relay with this run's bytes included."""
        if self.offset <= self._relay_progress.length:
            return self._relay_progress
        return RelayProgress(length=self.offset, digest=self.digest())

    def is_complete(self, outcome: Ran) -> bool:
        """Return whether all bytes of the answer have been received."""
        return self.offset >= outcome.length

    def is_exact(self, outcome: Ran) -> bool:
        """Return whether the bytes are exactly the answer that the agent sent.

        An answer resumed at an offset lacks its first bytes, so that its digest
        can't be computed; only its length is checked then.
        """
        if self.has_diverged or self.offset != outcome.length:
            return False
        if self._start > 0:
            return True
        return self._relay_progress.length <= outcome.length and (
            self.digest() == outcome.digest
        )

    def _append(self, data: bytes) -> None:
        self._hash.update(data)
        self.offset += len(data)


class AnswerPipe:
    """Buffers an answer between the request's task and the caller's connection.

    If the caller reads slowly, at most ``unread_bytes_limit`` bytes are buffered here.
    The agent keeps the rest and sends it again when asked to.
    """

    def __init__(self, *, unread_bytes_limit: int):
        self.unread_bytes = 0
        self.was_read = False
        self.is_abandoned = False
        self.is_finished = False
        self.result: object = None
        self._unread_bytes_limit = unread_bytes_limit
        self._chunks: deque[bytes] = deque()
        self._changed = trio.Event()
        self._drained = trio.Event()

    def can_buffer(self, size: int) -> bool:
        """Return whether ``size`` more bytes may be written."""
        if self.is_abandoned or not self._chunks:
            return True
        return self.unread_bytes + size <= self._unread_bytes_limit

    def write(self, data: bytes) -> None:
        """Append bytes to the buffer; they are dropped if the caller has left."""
        if self.is_abandoned or not data:
            return
        self._chunks.append(data)
        self.unread_bytes += len(data)
        self._notify_changed()

    def rewind(self) -> bool:
        """Discard the buffered bytes before a new attempt.

        Does nothing and returns False if the caller has already read a part.
        """
        if self.was_read:
            return False
        self._chunks.clear()
        self.unread_bytes = 0
        return True

    def finish(self, result: object) -> None:
        """End the answer; ``result`` is its outcome."""
        self.result = result
        self.is_finished = True
        self._notify_changed()

    def abandon(self) -> None:
        """Discard buffered and future bytes, because the caller has disconnected.

        The run itself continues.
        """
        self.is_abandoned = True
        self._chunks.clear()
        self.unread_bytes = 0
        self._drained.set()

    async def read(self) -> bytes | None:
        """Return the next bytes, or None at the end."""
        while not self._chunks:
            if self.is_finished:
                return None
            await self._changed.wait()
        data = self._chunks.popleft()
        self.was_read = True
        self.unread_bytes -= len(data)
        if not self._chunks:
            self._drained.set()
            self._drained = trio.Event()
        return data

    async def read_all(self) -> bytes:
        """Return the unread bytes once the answer has ended."""
        while not self.is_finished:
            await self._changed.wait()
        chunks = list(self._chunks)
        self._chunks.clear()
        self.unread_bytes = 0
        return b"".join(chunks)

    async def wait_drained(self) -> None:
        """Wait until the caller has read all buffered bytes or has disconnected."""
        while self._chunks and not self.is_abandoned:
            await self._drained.wait()

    def _notify_changed(self) -> None:
        self._changed.set()
        self._changed = trio.Event()
