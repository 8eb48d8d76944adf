"""The bytes of one answer and the token count at the end of each appended part."""

import hashlib
from array import array
from bisect import bisect_right


class AnswerBuffer:
    """An append-only buffer that can be read from any byte offset."""

    __slots__ = ("_data", "_part_ends", "_cumulative_tokens", "_sha256")

    def __init__(self) -> None:
        self._data = bytearray()
        self._part_ends = array("Q")
        self._cumulative_tokens = array("Q")
        self._sha256 = hashlib.sha256()

    def __len__(self) -> int:
        return len(self._data)

    @property
    def tokens(self) -> int:
        return self._cumulative_tokens[-1] if self._cumulative_tokens else 0

    def append(self, data: bytes, tokens: int) -> None:
        """Append a part that contains ``tokens`` tokens."""
        total = self.tokens + tokens
        self._data += data
        self._sha256.update(data)
        self._part_ends.append(len(self._data))
        self._cumulative_tokens.append(total)

    def read(self, offset: int, limit: int) -> tuple[bytes, int]:
        """Return up to ``limit`` bytes from ``offset`` on and their number of tokens.

        A token counts for the part that contains its last byte.
        """
        data = bytes(self._data[offset : offset + limit])
        end = offset + len(data)
        return data, self._tokens_before(end) - self._tokens_before(offset)

    def digest(self) -> str:
        """Return the SHA-256 digest of all bytes in hexadecimal."""
        return self._sha256.hexdigest()

    def _tokens_before(self, offset: int) -> int:
        count = bisect_right(self._part_ends, offset)
        return self._cumulative_tokens[count - 1] if count else 0
