"""Types of the shared store and the protocol that an adapter implements."""

import math
from typing import Protocol

import msgspec
import trio

# The source of answers that come from the store itself.
STORE_SOURCE = "store"


class SharedStoreError(Exception):
    """A call to the store failed; the message gives the cause."""


class HistoryLostError(SharedStoreError):
    """The store no longer holds the changes since the requested revision."""


class WriteRefusedError(SharedStoreError):
    """The store rejected the write; it hasn't taken effect and won't."""


class WriteUncertainError(SharedStoreError):
    """The answer was lost; the write may have taken effect or may do so later."""


class Item(msgspec.Struct, frozen=True):
    """A key's value and the revision of its last change."""

    key: str
    value: bytes
    revision: int


class WriteConflictError(SharedStoreError):
    """A key didn't have the expected revision; nothing was written.

    ``items`` holds the current items that the store returned with the conflict.
    """

    def __init__(self, items: list[Item]):
        super().__init__("the keys were changed by another writer")
        self.items = items


class Change(msgspec.Struct, frozen=True):
    """A change of a key; ``item`` is None if the key was removed.

    A removal isn't certain if the key may only be absent because of an outage.
    """

    key: str
    revision: int
    item: Item | None
    is_certain: bool = True


class Listing(msgspec.Struct, frozen=True):
    """All items under a prefix; changes after ``revision`` may not be included.

    ``source`` names the process that answered, for log lines.
    """

    items: list[Item]
    revision: int
    source: str = STORE_SOURCE


class ListingWait:
    """How long a listing may go without data, and when data last arrived.

    ``timeout_s`` is the longest wait for the first part of the answer and for each
    further part, in seconds. The store records in ``data_at`` when a part arrived,
    by trio's clock.
    """

    __slots__ = ("timeout_s", "data_at")

    def __init__(self, *, timeout_s: float):
        self.timeout_s = timeout_s
        self.data_at = -math.inf

    def record_data(self) -> None:
        """Record that a part of the answer arrived."""
        self.data_at = trio.current_time()


class Changes(msgspec.Struct, frozen=True):
    """All changes up to ``revision``, in the order of their revisions.

    Removals may be missing if ``keys`` is given: the keys that exist at ``revision``.
    ``source`` names the process that answered, for log lines.
    """

    changes: list[Change]
    revision: int
    keys: frozenset[str] | None = None
    source: str = STORE_SOURCE


class ConditionalWrite(msgspec.Struct, frozen=True):
    """A value to be written if the key still has ``expected_revision``."""

    key: str
    value: bytes
    expected_revision: int


class SharedStore(Protocol):
    """The calls that routers and relays need; each may raise SharedStoreError."""

    async def list_items(
        self, prefix: str, *, wait: ListingWait | None = None
    ) -> Listing:
        """Return the items whose keys start with ``prefix``.

        Without ``wait`` the call is given up as soon as any other call.
        """

    async def wait_changes(self, prefix: str, *, after: int, wait_s: float) -> Changes:
        """Wait for changes after a revision, at most ``wait_s`` seconds.

        Raises HistoryLostError if the store has dropped that history.
        """

    async def write(self, writes: list[ConditionalWrite]) -> int:
        """Write all values or none; return the new revision.

        Raises WriteConflictError, WriteRefusedError or WriteUncertainError.
        """
