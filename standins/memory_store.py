"""A shared store in memory, with the faults of a real one."""

import enum

import trio

from lavenderfold.shared import (
    Change,
    Changes,
    ConditionalWrite,
    HistoryLostError,
    Item,
    Listing,
    SharedStoreError,
    WriteConflictError,
    WriteRefusedError,
    WriteUncertainError,
)


class WriteFault(enum.Enum):
    """What becomes of the next writes."""

    NONE = "none"
    REFUSED = "refused"
    ANSWER_LOST = "answer_lost"
    NEVER_ARRIVES = "never_arrives"
    LATE = "late"


class MemoryStore:
    """Implements ``SharedStore``; ``is_down`` and ``write_fault`` inject faults.

    A write under ``WriteFault.LATE`` is kept until ``run_late_writes``.
    """

    def __init__(self):
        self.is_down = False
        self.write_fault = WriteFault.NONE
        self.calls = 0
        self.revision = 1
        self._item_by_key: dict[str, Item] = {}
        self._history: list[Change] = []
        self._history_start = 1
        self._late: list[list[ConditionalWrite]] = []
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
        self._history.clear()
        self._history_start = self.revision + 1

    def run_late_writes(self) -> None:
        """Do the kept writes whose conditions still hold."""
        late, self._late = self._late, []
        for writes in late:
            if not self._conflicts(writes):
                self._apply(writes)

    async def list_items(self, prefix: str) -> Listing:
        await self._call()
        items = [
            item for key, item in self._item_by_key.items() if key.startswith(prefix)
        ]
        return Listing(items=items, revision=self.revision)

    async def wait_changes(self, prefix: str, *, after: int, wait_s: float) -> Changes:
        await self._call()
        with trio.move_on_after(wait_s):
            while not self._changes(prefix, after):
                changed = self._changed
                await changed.wait()
                await self._call()
        # The revision must not be newer than the changes that go with it.
        return Changes(changes=self._changes(prefix, after), revision=self.revision)

    async def write(self, writes: list[ConditionalWrite]) -> int:
        await self._call()
        if self.write_fault is WriteFault.REFUSED:
            raise WriteRefusedError("refused")
        if self.write_fault is WriteFault.NEVER_ARRIVES:
            raise WriteUncertainError("the call was lost")
        if self.write_fault is WriteFault.LATE:
            self._late.append(writes)
            raise WriteUncertainError("the call is late")
        if self._conflicts(writes):
            known = [self._item_by_key.get(each.key) for each in writes]
            raise WriteConflictError([item for item in known if item is not None])
        self._apply(writes)
        if self.write_fault is WriteFault.ANSWER_LOST:
            raise WriteUncertainError("the answer was lost")
        return self.revision

    async def _call(self) -> None:
        self.calls += 1
        await trio.lowlevel.checkpoint()
        if self.is_down:
            raise SharedStoreError("the store is down")

    def _conflicts(self, writes: list[ConditionalWrite]) -> bool:
        return any(
            (item.revision if (item := self._item_by_key.get(each.key)) else 0)
            != each.expected_revision
            for each in writes
        )

    def _apply(self, writes: list[ConditionalWrite]) -> None:
        self.revision += 1
        for each in writes:
            item = Item(each.key, each.value, self.revision)
            self._item_by_key[each.key] = item
            self._record(Change(each.key, self.revision, item))

    def _record(self, change: Change) -> None:
        self._history.append(change)
        self._changed.set()
        self._changed = trio.Event()

    def _changes(self, prefix: str, after: int) -> list[Change]:
        if after + 1 < self._history_start:
            raise HistoryLostError(prefix)
        return [
            change
            for change in self._history
            if change.revision > after and change.key.startswith(prefix)
        ]
