"""Calls to the shared store that go through a relay when it can't be reached."""

import logging
import math
from collections.abc import Awaitable, Callable
from typing import TypeVar

import msgspec
import trio

from lavenderfold.settings import Address, parse_address
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
RELAY_LIST_PERIOD_S = 8.0
RELAY_LIST_RETRY_S = 1.0

Answer = TypeVar("Answer")

logger = logging.getLogger(__name__)


class _RelayRecord(msgspec.Struct, frozen=True):
    address: str
    domain: str


class FailoverStore:
    """A ``SharedStore`` that prefers the direct path and falls back to relays.

    ``open_store`` returns the store as reached at an address. Relays of the own
    failure domain come first.
    """

    def __init__(
        self,
        *,
        direct: SharedStore,
        open_store: Callable[[Address], SharedStore],
        timers: TimerService,
        domain: str,
        prefix: str,
    ):
        self._direct = direct
        self._open_store = open_store
        self._timers = timers
        self._domain = domain
        self._prefix = prefix
        self._relay_by_address: dict[Address, SharedStore] = {}
        self._order: list[Address] = []
        self._direct_failed_at = -math.inf

    async def run(self) -> None:
        """Keep the list of relays until cancelled."""
        while True:
            pause_s = RELAY_LIST_PERIOD_S
            try:
                self._install(await self._direct.list_items(self._prefix))
            except SharedStoreError as error:
                logger.info("relays_not_listed", extra={"cause": str(error)})
                pause_s = RELAY_LIST_RETRY_S
            await trio.sleep(pause_s)

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
        if is_cut and self._order:
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
            if not self._order:
                raise
            return await self._call_relay(call)
        if self._direct_failed_at > -math.inf:
            self._direct_failed_at = -math.inf
            logger.info("store_path_regained")
        return answer

    async def _call_relay(
        self, call: Callable[[SharedStore], Awaitable[Answer]]
    ) -> Answer:
        address = self._order[0]
        try:
            return await call(self._relay_by_address[address])
        except (HistoryLostError, WriteConflictError):
            raise
        except SharedStoreError:
            self._order.remove(address)
            self._order.append(address)
            raise

    def _note_direct_failure(self) -> None:
        if self._direct_failed_at == -math.inf:
            logger.warning("store_path_lost", extra={"relays": len(self._order)})
        self._direct_failed_at = self._timers.now()

    def _install(self, listing: Listing) -> None:
        domain_by_address = {}
        for item in listing.items:
            try:
                record = msgspec.json.decode(item.value, type=_RelayRecord)
                domain_by_address[parse_address(record.address)] = record.domain
            except (msgspec.DecodeError, ValueError) as error:
                fault = {"key": item.key, "cause": str(error)}
                logger.warning("relay_record_unreadable", extra=fault)
        self._relay_by_address = {
            address: self._relay_by_address.get(address) or self._open_store(address)
            for address in domain_by_address
        }
        kept = [each for each in self._order if each in domain_by_address]
        added = [each for each in domain_by_address if each not in kept]
        added.sort(key=lambda each: (domain_by_address[each] != self._domain, each))
        self._order = kept + added
