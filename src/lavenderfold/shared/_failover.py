"""Calls to the shared store that go through a relay when it can't be reached."""

import logging
import math
from collections.abc import Awaitable, Callable
from typing import TypeVar

from lavenderfold.settings import Address
from lavenderfold.shared._relays import RelayDirectory
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
from lavenderfold.timers import TimerService

# While the direct path fails, it is tried again after this time.
DIRECT_RETRY_S = 1.5

Answer = TypeVar("Answer")

logger = logging.getLogger(__name__)


class FailoverStore:
    """A ``SharedStore`` that prefers the direct path and falls back to relays.

    ``open_store`` returns the store as reached at an address.
    """

    def __init__(
        self,
        *,
        direct: SharedStore,
        open_store: Callable[[Address], SharedStore],
        timers: TimerService,
        directory: RelayDirectory,
    ):
        self._direct = direct
        self._open_store = open_store
        self._timers = timers
        self._directory = directory
        self._relay_by_address: dict[Address, SharedStore] = {}
        self._direct_failed_at = -math.inf

    async def list_items(self, prefix: str) -> Listing:
        return await self._call(lambda store: store.list_items(prefix))

    async def wait_changes(self, prefix: str, *, after: int, wait_s: float) -> Changes:
        return await self._call(
            lambda store: store.wait_changes(prefix, after=after, wait_s=wait_s)
        )

    async def write(self, writes: list[ConditionalWrite]) -> int:
        return await self._call(lambda store: store.write(writes))

    async def _call(self, call: Callable[[SharedStore], Awaitable[Answer]]) -> Answer:
        is_cut = self._timers.now() - self._direct_failed_at < DIRECT_RETRY_S
        if is_cut and self._directory.relays:
            return await self._call_relay(call)
        try:
            answer = await call(self._direct)
        except (HistoryLostError, WriteConflictError):
            raise
        except WriteUncertainError:
            # Repeating it elsewhere is for the caller, who must read first.
            self._note_direct_failure()
            raise
        except SharedStoreError:
            self._note_direct_failure()
            if not self._directory.relays:
                raise
            return await self._call_relay(call)
        if self._direct_failed_at > -math.inf:
            self._direct_failed_at = -math.inf
            logger.info("store_path_regained")
        return answer

    async def _call_relay(
        self, call: Callable[[SharedStore], Awaitable[Answer]]
    ) -> Answer:
        address = self._directory.relays[0].address
        store = self._relay_by_address.get(address)
        if store is None:
            store = self._relay_by_address[address] = self._open_store(address)
        try:
            return await call(store)
        except (HistoryLostError, WriteConflictError):
            raise
        except SharedStoreError:
            self._directory.move_to_end(address)
            raise

    def _note_direct_failure(self) -> None:
        if self._direct_failed_at == -math.inf:
            logger.warning(
                "store_path_lost", extra={"relays": len(self._directory.relays)}
            )
        self._direct_failed_at = self._timers.now()
