"""Counts the calls of a process to the shared store by purpose."""

import logging
from collections import Counter
from collections.abc import Awaitable, Callable
from typing import TypeVar

import msgspec

from lavenderfold.shared._store import (
    Changes,
    ConditionalWrite,
    HistoryLostError,
    Listing,
    ListingWait,
    SharedStore,
    SharedStoreError,
    WriteConflictError,
    WriteUncertainError,
)

Answer = TypeVar("Answer")

RESULT_OK = "ok"
RESULT_BY_ERROR = {
    HistoryLostError: "history_lost",
    WriteConflictError: "conflict",
    WriteUncertainError: "uncertain",
}
OTHER_PURPOSE = "other"

logger = logging.getLogger(__name__)


class StoreCall(msgspec.Struct, frozen=True):
    """What a call did: its kind (list, watch or write), its purpose and its result."""

    kind: str
    purpose: str
    result: str


class StoreCallCounter:
    """Counts the calls of one process.

    ``purpose_by_prefix`` gives the purpose of the calls for keys with a prefix.
    """

    def __init__(self, *, purpose_by_prefix: dict[str, str]):
        self.count_by_call: Counter[StoreCall] = Counter()
        self._purpose_by_prefix = purpose_by_prefix
        self._subscribers: list[Callable[[StoreCall], None]] = []

    def subscribe(self, on_call: Callable[[StoreCall], None]) -> None:
        """Call ``on_call`` after each call to the store."""
        self._subscribers.append(on_call)

    def record(self, kind: str, key: str, result: str) -> None:
        """Count a call that concerned a key or prefix."""
        call = StoreCall(kind, self._purpose(key), result)
        self.count_by_call[call] += 1
        for on_call in self._subscribers:
            on_call(call)

    def report(self, _: float) -> None:
        """Log the number of calls since the start."""
        calls = {
            f"{call.purpose}.{call.kind}.{call.result}": count
            for call, count in sorted(self.count_by_call.items(), key=str)
        }
        logger.info("store_calls", extra={"calls": calls})

    def _purpose(self, key: str) -> str:
        for prefix, purpose in self._purpose_by_prefix.items():
            if key.startswith(prefix):
                return purpose
        return OTHER_PURPOSE


class CountedStore:
    """A ``SharedStore`` whose calls are counted."""

    def __init__(self, *, store: SharedStore, calls: StoreCallCounter):
        self._store = store
        self._calls = calls

    async def list_items(
        self, prefix: str, *, wait: ListingWait | None = None
    ) -> Listing:
        call = self._store.list_items(prefix, wait=wait)
        return await self._count("list", prefix, call)

    async def wait_changes(self, prefix: str, *, after: int, wait_s: float) -> Changes:
        call = self._store.wait_changes(prefix, after=after, wait_s=wait_s)
        return await self._count("watch", prefix, call)

    async def write(self, writes: list[ConditionalWrite]) -> int:
        key = writes[0].key if writes else ""
        return await self._count("write", key, self._store.write(writes))

    async def _count(self, kind: str, key: str, call: Awaitable[Answer]) -> Answer:
        try:
            answer = await call
        except SharedStoreError as error:
            self._calls.record(kind, key, RESULT_BY_ERROR.get(type(error), "failed"))
            raise
        self._calls.record(kind, key, RESULT_OK)
        return answer
