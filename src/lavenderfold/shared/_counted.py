"""A shared store that reports the result of each call, for metrics."""

from collections.abc import Awaitable, Callable
from typing import TypeVar

from lavenderfold.shared._store import (
    Changes,
    ConditionalWrite,
    HistoryLostError,
    Listing,
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


class CountedStore:
    """A ``SharedStore`` that reports each call's kind and result to ``on_call``."""

    def __init__(self, *, store: SharedStore, on_call: Callable[[str, str], None]):
        self._store = store
        self._on_call = on_call

    async def list_items(self, prefix: str) -> Listing:
        return await self._count("list", self._store.list_items(prefix))

    async def wait_changes(self, prefix: str, *, after: int, wait_s: float) -> Changes:
        call = self._store.wait_changes(prefix, after=after, wait_s=wait_s)
        return await self._count("watch", call)

    async def write(self, writes: list[ConditionalWrite]) -> int:
        return await self._count("write", self._store.write(writes))

    async def _count(self, kind: str, call: Awaitable[Answer]) -> Answer:
        try:
            answer = await call
        except SharedStoreError as error:
            self._on_call(kind, RESULT_BY_ERROR.get(type(error), "failed"))
            raise
        self._on_call(kind, RESULT_OK)
        return answer
