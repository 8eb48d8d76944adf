"""The memory that incomplete answers take, of all requests of a router together.

An answer, or an event of a stream, is kept until it is complete, so that a caller never
gets part of one. A target that sends bytes without end must not use up the memory of
the VM, however many requests wait for it.
"""

import time

from lavenderfold.process_memory import (
    ALL_ANSWERS_BYTES_LIMIT,
    MIB,
    OutOfMemoryError,
    ProcessMemory,
)

ANSWER_BYTES_LIMIT = 16 * MIB
ANSWER_KIND = "answer"


class AnswerTooLongError(Exception):
    """An incomplete answer, or all of them together, exceeded their limit."""


class AnswerMemory:
    """The buffers of all incomplete answers, which are shares of the process's memory.

    Beyond ``limit_bytes`` the longest one is dropped: an answer without an end becomes
    the longest, while ordinary ones go on. If ``memory`` is given, its bound holds.
    """

    __slots__ = ("_memory",)

    def __init__(
        self,
        *,
        limit_bytes: int = ALL_ANSWERS_BYTES_LIMIT,
        memory: ProcessMemory | None = None,
    ):
        self._memory = memory or ProcessMemory(answers_limit_bytes=limit_bytes)

    @property
    def held_bytes(self) -> int:
        """Return the bytes of all incomplete answers."""
        return self._memory.held_by(ANSWER_KIND)

    def open_buffer(self) -> "AnswerBuffer":
        """Return an empty buffer, to be closed when its answer has ended."""
        return AnswerBuffer(memory=self._memory)


class AnswerBuffer:
    """The bytes of one incomplete answer or event; its length counts them.

    ``data`` may be read and searched, but is changed by the methods only.
    """

    __slots__ = ("data", "_share", "_is_closed")

    def __init__(self, *, memory: ProcessMemory):
        self.data = bytearray()
        self._share = memory.open_share(ANSWER_KIND, self._drop)
        self._is_closed = False

    def __len__(self) -> int:
        return len(self.data)

    def append(self, chunk: bytes) -> None:
        """Add bytes; raise AnswerTooLongError if the buffer was or is dropped."""
        try:
            if self._is_closed:
                raise OutOfMemoryError("closed")
            self._share.add(len(chunk), now=time.monotonic())
        except OutOfMemoryError as error:
            raise AnswerTooLongError(
                "the longest of the incomplete answers, which took too much memory"
            ) from error
        self.data += chunk

    def take(self, count: int) -> bytes:
        """Remove the first ``count`` bytes and return them.

        Raises AnswerTooLongError if the buffer was dropped.
        """
        if self._share.is_evicted or self._is_closed:
            raise AnswerTooLongError("the answer was dropped before it was complete")
        taken = bytes(memoryview(self.data)[:count])
        del self.data[:count]
        self._share.set(len(self.data))
        return taken

    def close(self) -> None:
        """Free the memory; the bytes are gone."""
        self._is_closed = True
        self._drop()
        self._share.close()

    def _drop(self) -> None:
        self.data = bytearray()
