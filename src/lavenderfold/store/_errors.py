"""Errors of the key-value service as its callers see them."""


class StoreError(Exception):
    """A call about ``key`` failed."""

    def __init__(self, key: str, cause: object):
        super().__init__(f"key {key!r}: {cause}")
        self.key = key


class StoreUnavailableError(StoreError):
    """The service didn't serve the call; a write certainly took no effect."""


class AnswerLostError(StoreError):
    """The call was sent and no answer came; a write may have taken effect."""


class ConflictError(StoreError):
    """The key's version isn't the expected one; the write took no effect."""

    def __init__(self, key: str, *, expected: int, actual: int):
        super().__init__(key, f"expected version {expected}, found {actual}")
        self.expected = expected
        self.actual = actual
