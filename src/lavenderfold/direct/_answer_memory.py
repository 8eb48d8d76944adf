"""The memory that incomplete answers take, of all requests of a router together.

An answer, or an event of a stream, is kept until it is complete, so that a caller never
gets part of one. A target that sends bytes without end must not use up the memory of
the VM, however many requests wait for it.
"""

MIB = 1024 * 1024
ANSWER_BYTES_LIMIT = 16 * MIB
ALL_ANSWERS_BYTES_LIMIT = 48 * MIB


class AnswerTooLongError(Exception):
    """An incomplete answer, or all of them together, exceeded their limit."""


class AnswerMemory:
    """The buffers of all incomplete answers, bounded in their sum.

    Beyond ``limit_bytes`` the longest one is dropped: an answer without an end becomes
    the longest, while ordinary ones go on.
    """

    __slots__ = ("_limit_bytes", "_held_bytes", "_open_buffers")

    def __init__(self, *, limit_bytes: int = ALL_ANSWERS_BYTES_LIMIT):
        self._limit_bytes = limit_bytes
        self._held_bytes = 0
        self._open_buffers: set[AnswerBuffer] = set()

    @property
    def held_bytes(self) -> int:
        """Return the bytes of all incomplete answers."""
        return self._held_bytes

    def open_buffer(self) -> "AnswerBuffer":
        """Return an empty buffer, to be closed when its answer has ended."""
        buffer = AnswerBuffer(memory=self)
        self._open_buffers.add(buffer)
        return buffer

    def _add(self, added_bytes: int) -> None:
        self._held_bytes += added_bytes
        while self._held_bytes > self._limit_bytes:
            max(self._open_buffers, key=len)._drop()

    def _remove(self, removed_bytes: int) -> None:
        self._held_bytes -= removed_bytes

    def _close(self, buffer: "AnswerBuffer") -> None:
        self._open_buffers.discard(buffer)


class AnswerBuffer:
    """The bytes of one incomplete answer or event; its length counts them.

    ``data`` may be read and searched, but is changed by the methods only.
    """

    __slots__ = ("data", "_memory", "_is_dropped")

    def __init__(self, *, memory: AnswerMemory):
        self.data = bytearray()
        self._memory = memory
        self._is_dropped = False

    def __len__(self) -> int:
        return len(self.data)

    def append(self, chunk: bytes) -> None:
        """Add bytes; raise AnswerTooLongError if the buffer was or is dropped."""
        if not self._is_dropped:
            self.data += chunk
            self._memory._add(len(chunk))
        if self._is_dropped:
            raise AnswerTooLongError(
                "the longest of the incomplete answers, which took too much memory"
            )

    def take(self, count: int) -> bytes:
        """Remove the first ``count`` bytes and return them.

        Raises AnswerTooLongError if the buffer was dropped.
        """
        if self._is_dropped:
            raise AnswerTooLongError("the answer was dropped before it was complete")
        taken = bytes(self.data[:count])
        del self.data[:count]
        self._memory._remove(len(taken))
        return taken

    def close(self) -> None:
        """Free the memory; the bytes are gone."""
        self._drop()
        self._memory._close(self)

    def _drop(self) -> None:
        self._is_dropped = True
        self._memory._remove(len(self.data))
        self.data = bytearray()
