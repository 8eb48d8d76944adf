"""The bytes of one answer, with the number of tokens up to each boundary."""

import hashlib
from array import array
from bisect import bisect_right


class Answer:
    """Grows by ``append`` and gives any part by its offset in bytes."""

    __slots__ = ("_data", "_ends", "_totals", "_hash")

    def __init__(self) -> None:
        self._data = bytearray()
        self._ends = array("Q")
        self._totals = array("Q")
        self._hash = hashlib.sha256()

    def __len__(self) -> int:
        return len(self._data)

    @property
    def tokens(self) -> int:
        return self._totals[-1] if self._totals else 0

    def append(self, data: bytes, tokens: int) -> None:
        """Add a part that holds a number of tokens."""
        total = self.tokens + tokens
        self._data += data
        self._hash.update(data)
        self._ends.append(len(self._data))
        self._totals.append(total)

    def part(self, offset: int, limit: int) -> tuple[bytes, int]:
        """Return up to ``limit`` bytes from ``offset`` on and their tokens."""
        data = bytes(self._data[offset : offset + limit])
        end = offset + len(data)
        return data, self._tokens_before(end) - self._tokens_before(offset)

    def digest(self) -> str:
        """Return the SHA-256 of all bytes as hexadecimal digits."""
        return self._hash.hexdigest()

    def _tokens_before(self, offset: int) -> int:
        count = bisect_right(self._ends, offset)
        return self._totals[count - 1] if count else 0
