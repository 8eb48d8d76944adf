"""In-memory implementation of ``SharedStore`` with fault injection, for tests."""

import enum

import trio

from lavenderfold.shared import (
    Change,
    Changes,
    ConditionalWrite,
    HistoryLostError,
    Item,
    Listing,
    ListingWait,
    SharedStoreError,
    WriteConflictError,
    WriteRefusedError,
    WriteUncertainError,
)


class WriteFault(enum.Enum):
    """What happens to writes while the fault is set.

    REFUSED: they have no effect, and the caller is told so. ANSWER_LOST: they take
    effect, but the caller gets no answer. NEVER_ARRIVES: they have no effect, and
    the caller gets no answer. LATE: the caller gets no answer, and they are kept
    until ``run_late_writes`` is called.
    """

    NONE = "none"
    REFUSED = "refused"
    ANSWER_LOST = "answer_lost"
    NEVER_ARRIVES = "never_arrives"
    LATE = "late"


# Revisions of a later era are higher than any of an earlier one, as in the adapter.
ERA_REVISIONS = 2**40


class StoreCopy:
    """The items and the revision of a store at one moment."""

    __slots__ = ("item_by_key", "revision")

    def __init__(self, *, item_by_key: dict[str, Item], revision: int):
        self.item_by_key = item_by_key
        self.revision = revision


class MemoryStore:
    """Shared store in memory.

    While ``is_down`` is set, each call fails. ``write_fault`` sets what happens to
    writes. ``restore`` has the store return from an older copy.
    """

    def __init__(self):
        self.is_down = False
        self.write_fault = WriteFault.NONE
        self.calls = 0
        self.revision = 1
        self._item_by_key: dict[str, Item] = {}
        self._history: list[Change] = []
        self._history_start = 1
        self._late_writes: list[list[ConditionalWrite]] = []
        self._changed = trio.Event()

    def put(self, key: str, value: bytes) -> None:
        """Write a key as another process would."""
        self.revision += 1
        item = Item(key, value, self.revision)
        self._item_by_key[key] = item
        self._record(Change(key, self.revision, item))

    def remove(self, key: str) -> None:
        self.revision += 1
        del self._item_by_key[key]
        self._record(Change(key, self.revision, None))

    def value(self, key: str) -> bytes | None:
        item = self._item_by_key.get(key)
        return item.value if item else None

    def forget_history(self) -> None:
        """Discard the changes so far; waiting for them raises HistoryLostError."""
        self._history.clear()
        self._history_start = self.revision + 1

    def copy(self) -> StoreCopy:
        """Return a copy that ``restore`` can return to."""
        return StoreCopy(item_by_key=dict(self._item_by_key), revision=self.revision)

    def restore(self, copy: StoreCopy) -> None:
        """Begin a new era with the items of a copy; their revisions go back."""
        era = self.revision // ERA_REVISIONS + 1
        self.revision = era * ERA_REVISIONS + copy.revision % ERA_REVISIONS
        self._item_by_key = {
            key: Item(
                key, item.value, era * ERA_REVISIONS + item.revision % ERA_REVISIONS
            )
            for key, item in copy.item_by_key.items()
        }
        self.forget_history()
        self._changed.set()
        self._changed = trio.Event()

    def run_late_writes(self) -> None:
        """Apply the delayed writes whose conditions still hold and drop the others."""
        late_writes, self._late_writes = self._late_writes, []
        for writes in late_writes:
            if not self._conflicts(writes):
                self._apply(writes)

    async def list_items(
        self, prefix: str, *, wait: ListingWait | None = None
    ) -> Listing:
        await self._begin_call()
        items = [
            item for key, item in self._item_by_key.items() if key.startswith(prefix)
        ]
        return Listing(items=items, revision=self.revision)

    async def wait_changes(self, prefix: str, *, after: int, wait_s: float) -> Changes:
        await self._begin_call()
        with trio.move_on_after(wait_s):
            while not self._changes_after(prefix, after):
                changed = self._changed
                await changed.wait()
                await self._begin_call()
        # No checkpoint may come between the two reads: with a revision newer than
        # the changes, the caller would miss the changes in between.
        return Changes(
            changes=self._changes_after(prefix, after), revision=self.revision
        )

    async def write(self, writes: list[ConditionalWrite]) -> int:
        await self._begin_call()
        if self.write_fault is WriteFault.REFUSED:
            raise WriteRefusedError("the store refused the write")
        if self.write_fault is WriteFault.NEVER_ARRIVES:
            raise WriteUncertainError("the write was lost on its way to the store")
        if self.write_fault is WriteFault.LATE:
            self._late_writes.append(writes)
            raise WriteUncertainError("the write is delayed on its way to the store")
        if self._conflicts(writes):
            current_items = [self._item_by_key.get(write.key) for write in writes]
            raise WriteConflictError(
                [item for item in current_items if item is not None]
            )
        self._apply(writes)
        if self.write_fault is WriteFault.ANSWER_LOST:
            raise WriteUncertainError("the answer to the write was lost")
        return self.revision

    async def _begin_call(self) -> None:
        self.calls += 1
        await trio.lowlevel.checkpoint()
        if self.is_down:
            raise SharedStoreError("the store is down")

    def _conflicts(self, writes: list[ConditionalWrite]) -> bool:
        return any(
            (item.revision if (item := self._item_by_key.get(write.key)) else 0)
            != write.expected_revision
            for write in writes
        )

    def _apply(self, writes: list[ConditionalWrite]) -> None:
        self.revision += 1
        for write in writes:
            item = Item(write.key, write.value, self.revision)
            self._item_by_key[write.key] = item
            self._record(Change(write.key, self.revision, item))

    def _record(self, change: Change) -> None:
        self._history.append(change)
        self._changed.set()
        self._changed = trio.Event()

    def _changes_after(self, prefix: str, after: int) -> list[Change]:
        if after + 1 < self._history_start:
            raise HistoryLostError(prefix)
        return [
            change
            for change in self._history
            if change.revision > after and change.key.startswith(prefix)
        ]
