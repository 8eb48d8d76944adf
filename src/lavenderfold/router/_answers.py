"""The bytes of an answer: put together from frames, then read by the caller."""

import hashlib
from collections import deque

import trio

from lavenderfold.messages import Frame
from lavenderfold.outcomes import Ran


class RelayProgress:
    """What the caller was already given of an answer, over all attempts."""

    __slots__ = ("length", "digest")

    def __init__(self, *, length: int = 0, digest: str = ""):
        self.length = length
        self.digest = digest


class AnswerAssembler:
    """Puts the frames of one run in order.

    Accepts the frame at the next offset, discards what it already has, and
    reports a gap when a later frame comes first. A retry starts again at
    offset 0: its bytes must repeat what the caller already has, and only the
    bytes after those are returned.
    """

    def __init__(self, *, start: int = 0, relayed: RelayProgress | None = None):
        self.offset = start
        self.has_gap = False
        self.diverged = False
        self._start = start
        self._relayed = relayed or RelayProgress(length=start)
        self._hash = hashlib.sha256()

    def accept(self, frame: Frame) -> bytes:
        """Return the new bytes for the caller that a frame brings."""
        if frame.offset > self.offset:
            self.has_gap = True
            return b""
        data = frame.data[self.offset - frame.offset :]
        if not data:
            return b""
        self.has_gap = False
        known = max(0, min(len(data), self._relayed.length - self.offset))
        self._take(data[:known])
        if known and self.offset == self._relayed.length:
            self.diverged = self.digest() != self._relayed.digest
        self._take(data[known:])
        return b"" if self.diverged else data[known:]

    def digest(self) -> str:
        return self._hash.hexdigest()

    def relayed(self) -> RelayProgress:
        """Return what the caller has after this run's bytes so far."""
        if self.offset <= self._relayed.length:
            return self._relayed
        return RelayProgress(length=self.offset, digest=self.digest())

    def is_complete(self, outcome: Ran) -> bool:
        """Return whether all bytes of the answer are there."""
        return self.offset >= outcome.length

    def is_exact(self, outcome: Ran) -> bool:
        """Return whether the bytes are the whole answer that the agent sent.

        A resumed answer lacks its first bytes, so only its length is checked.
        """
        if self.diverged or self.offset != outcome.length:
            return False
        if self._start > 0:
            return True
        return self._relayed.length <= outcome.length and (
            self.digest() == outcome.digest
        )

    def _take(self, data: bytes) -> None:
        self._hash.update(data)
        self.offset += len(data)


class AnswerPipe:
    """Carries an answer from the request's task to the caller's connection.

    If the caller reads slowly, at most ``unread_limit`` bytes wait here; the
    rest stays at the agent, which sends it again on request.
    """

    def __init__(self, *, unread_limit: int):
        self.unread = 0
        self.was_read = False
        self.is_abandoned = False
        self.is_finished = False
        self.result: object = None
        self._unread_limit = unread_limit
        self._parts: deque[bytes] = deque()
        self._changed = trio.Event()
        self._drained = trio.Event()

    def has_room(self, size: int) -> bool:
        if self.is_abandoned or not self._parts:
            return True
        return self.unread + size <= self._unread_limit

    def write(self, data: bytes) -> None:
        if self.is_abandoned or not data:
            return
        self._parts.append(data)
        self.unread += len(data)
        self._wake()

    def rewind(self) -> bool:
        """Drop what nobody has read, for a new attempt.

        Returns False if the caller already has a part of the answer.
        """
        if self.was_read:
            return False
        self._parts.clear()
        self.unread = 0
        return True

    def finish(self, result: object) -> None:
        """End the answer. ``result`` tells how."""
        self.result = result
        self.is_finished = True
        self._wake()

    def abandon(self) -> None:
        """The caller has gone; the run goes on without a reader."""
        self.is_abandoned = True
        self._parts.clear()
        self.unread = 0
        self._drained.set()

    async def read(self) -> bytes | None:
        """Return the next bytes, or None at the end."""
        while not self._parts:
            if self.is_finished:
                return None
            await self._changed.wait()
        data = self._parts.popleft()
        self.was_read = True
        self.unread -= len(data)
        if not self._parts:
            self._drained.set()
            self._drained = trio.Event()
        return data

    async def read_all(self) -> bytes:
        """Return the whole answer once it has ended."""
        while not self.is_finished:
            await self._changed.wait()
        parts = list(self._parts)
        self._parts.clear()
        self.unread = 0
        return b"".join(parts)

    async def wait_drained(self) -> None:
        """Wait until the caller has read everything so far, or has gone."""
        while self._parts and not self.is_abandoned:
            await self._drained.wait()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = trio.Event()
