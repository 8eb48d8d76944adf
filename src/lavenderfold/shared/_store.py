"""Types of the shared store and the calls that an adapter provides."""

from typing import Protocol

import msgspec


class SharedStoreError(Exception):
    """A call failed; the text says why."""


class HistoryLostError(SharedStoreError):
    """The store no longer knows the changes since the revision asked for."""


class WriteRefusedError(SharedStoreError):
    """The store didn't do the write and won't."""


class WriteUncertainError(SharedStoreError):
    """No answer came; the write may have taken effect or still may."""


class Item(msgspec.Struct, frozen=True):
    """A key's value and the revision of its last change."""

    key: str
    value: bytes
    revision: int


class WriteConflictError(SharedStoreError):
    """A key's revision wasn't the expected one; nothing was written."""

    def __init__(self, items: list[Item]):
        super().__init__("the keys were changed by another writer")
        self.items = items


class Change(msgspec.Struct, frozen=True):
    """A change of a key; ``item`` is None if the key was removed."""

    key: str
    revision: int
    item: Item | None


class Listing(msgspec.Struct, frozen=True):
    """All items under a prefix; changes after ``revision`` may be missing."""

    items: list[Item]
    revision: int


class Changes(msgspec.Struct, frozen=True):
    """Changes in the order of their revisions, up to ``revision``."""

    changes: list[Change]
    revision: int


class ConditionalWrite(msgspec.Struct, frozen=True):
    """A value to be written if the key still has ``expected_revision``."""

    key: str
    value: bytes
    expected_revision: int


class SharedStore(Protocol):
    """The calls that the product needs; each raises SharedStoreError."""

    async def list_items(self, prefix: str) -> Listing:
        """Return the items whose keys start with ``prefix``."""

    async def wait_changes(self, prefix: str, *, after: int, wait_s: float) -> Changes:
        """Wait for changes after a revision, at most ``wait_s`` seconds.

        Raises HistoryLostError if the store has dropped that history.
        """

    async def write(self, writes: list[ConditionalWrite]) -> int:
        """Write all or nothing; return the new revision.

        Raises WriteConflictError, WriteRefusedError or WriteUncertainError.
        """
