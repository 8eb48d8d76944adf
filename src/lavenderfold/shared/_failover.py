"""A shared store that is reached through a relay if the direct path fails."""

import logging
import math
import random
from collections.abc import Awaitable, Callable
from typing import TypeVar

from lavenderfold.settings import Address
from lavenderfold.shared._listing import FirstListing, ListCall
from lavenderfold.shared._relays import RelayDirectory
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
from lavenderfold.timers import TimerService

# After a failure of the direct path, calls go to relays for this time before it is
# tried again.
DIRECT_RETRY_S = 1.5
# A listing that may wait longer is also asked through a relay after this time without
# data, and through another one after the second time; each is lengthened by a random
# part up to its double. Shorter times would send a second copy of each listing over a
# link that is only busy.
LISTING_RELAY_DELAYS_S = (1.5, 2.5)

Answer = TypeVar("Answer")

logger = logging.getLogger(__name__)


class FailoverStore:
    """A ``SharedStore`` that prefers the direct path and falls back to relays.

    ``open_store`` returns a client of the store that calls the given address.
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
        self._store_by_address: dict[Address, SharedStore] = {}
        self._direct_failed_at = -math.inf

    async def list_items(
        self, prefix: str, *, wait: ListingWait | None = None
    ) -> Listing:
        if wait is None:
            return await self._call(lambda store: store.list_items(prefix))
        return await self._list_by_first_path(prefix, wait)

    async def wait_changes(self, prefix: str, *, after: int, wait_s: float) -> Changes:
        return await self._call(
            lambda store: store.wait_changes(prefix, after=after, wait_s=wait_s)
        )

    async def write(self, writes: list[ConditionalWrite]) -> int:
        return await self._call(lambda store: store.write(writes))

    async def _call(self, call: Callable[[SharedStore], Awaitable[Answer]]) -> Answer:
        if self._is_direct_path_failing and self._directory.relays:
            return await self._call_relay(call)
        try:
            return await self._call_direct(call)
        except (HistoryLostError, WriteConflictError, WriteUncertainError):
            # An uncertain write may have taken effect. Only the caller may repeat it,
            # after reading the keys.
            raise
        except SharedStoreError:
            if not self._directory.relays:
                raise
            return await self._call_relay(call)

    @property
    def _is_direct_path_failing(self) -> bool:
        return self._timers.now() - self._direct_failed_at < DIRECT_RETRY_S

    async def _call_direct(
        self, call: Callable[[SharedStore], Awaitable[Answer]]
    ) -> Answer:
        try:
            answer = await call(self._direct)
        except (HistoryLostError, WriteConflictError):
            raise
        except SharedStoreError:
            self._record_direct_failure()
            raise
        if self._direct_failed_at > -math.inf:
            self._direct_failed_at = -math.inf
            logger.info("store_path_regained")
        return answer

    async def _list_by_first_path(self, prefix: str, wait: ListingWait) -> Listing:
        """List by the path that answers first; the direct one has a head start.

        If a relay answers although the direct path was asked before, the direct path
        counts as failed.
        """
        has_direct_answered = False

        async def list_directly(path_wait: ListingWait) -> Listing:
            nonlocal has_direct_answered
            listing = await self._call_direct(
                lambda store: store.list_items(prefix, wait=path_wait)
            )
            has_direct_answered = True
            return listing

        list_by_relay = self._new_relay_listing(prefix)
        calls: list[ListCall] = [list_directly, list_by_relay, list_by_relay]
        if self._is_direct_path_failing and self._directory.relays:
            calls = [list_by_relay, list_directly, list_by_relay]
        delays_s = [random.uniform(each, 2 * each) for each in LISTING_RELAY_DELAYS_S]
        listing = await FirstListing(calls=calls, delays_s=delays_s).run(wait.timeout_s)
        if calls[0] is list_directly and not has_direct_answered:
            self._record_direct_failure()
        return listing

    def _new_relay_listing(self, prefix: str) -> ListCall:
        """Return a function that lists through another relay at each call."""
        tried: list[Address] = []

        async def list_by_relay(wait: ListingWait) -> Listing:
            known = [each.address for each in self._directory.relays]
            untried = [address for address in known if address not in tried]
            if not untried:
                raise SharedStoreError("no other relay is known")
            silent = list(tried)
            tried.append(untried[0])
            listing = await self._call_relay(
                lambda store: store.list_items(prefix, wait=wait), untried[0]
            )
            for address in silent:
                self._directory.move_to_end(address)
            return listing

        return list_by_relay

    async def _call_relay(
        self,
        call: Callable[[SharedStore], Awaitable[Answer]],
        address: Address | None = None,
    ) -> Answer:
        address = address or self._directory.relays[0].address
        store = self._store_by_address.get(address)
        if store is None:
            store = self._store_by_address[address] = self._open_store(address)
        try:
            return await call(store)
        except (HistoryLostError, WriteConflictError):
            raise
        except SharedStoreError:
            self._directory.move_to_end(address)
            raise

    def _record_direct_failure(self) -> None:
        if self._direct_failed_at == -math.inf:
            logger.warning(
                "store_path_lost", extra={"relays": len(self._directory.relays)}
            )
        self._direct_failed_at = self._timers.now()
