"""Errors that calls to the key-value service return."""


class StoreError(Exception):
    """A call concerning ``key`` failed."""

    def __init__(self, key: str, cause: object):
        super().__init__(f"key {key!r}: {cause}")
        self.key = key


class StoreUnavailableError(StoreError):
    """The service didn't process the call; a write took no effect."""


class AnswerLostError(StoreError):
    """The call was sent but no response came; a write may have taken effect."""


class ConflictError(StoreError):
    """The key doesn't have the expected version; the write took no effect."""

    def __init__(self, key: str, *, expected: int, actual: int):
        super().__init__(key, f"expected version {expected}, found {actual}")
        self.expected = expected
        self.actual = actual
