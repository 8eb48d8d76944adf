"""Follows the items under one key prefix of the shared store."""

import logging
import math
import random
from collections.abc import Callable, Collection
from typing import Protocol

import trio

from lavenderfold.shared import (
    Changes,
    HistoryLostError,
    Item,
    Listing,
    ListingWaits,
    SharedStore,
    SharedStoreError,
)
from lavenderfold.timers import TimerService

MS_PER_S = 1000
WATCH_WAIT_S = 1.0
# The wait of a watch that only asks for the present revision.
REFRESH_WAIT_S = 0.02
# Pause after a failed read. It doubles with each further one up to the limit, and is
# shortened by a random part, so that processes don't ask in step.
RETRY_PAUSE_S = 0.15
RETRY_PAUSE_LIMIT_S = 0.6
# A key that is removed this soon after a failed call may be a registration that
# expired only because the store was unavailable.
OUTAGE_AFTERMATH_S = 2.0
# A watch returns each version of a key. If those that were superseded have this size,
# the next read is a listing, which has only the newest.
SUPERSEDED_LIMIT_BYTES = 65536
# Answers with changes are logged if they are as large as this, or follow the answer
# before them after this time.
LOGGED_READ_BYTES = 65536
LOGGED_READ_DELAY_S = 1.5

logger = logging.getLogger(__name__)


class ItemSink(Protocol):
    """Receives the items and changes that a follower reads."""

    def put(self, item: Item) -> None:
        """Store an item that is new or changed."""

    def handle_removal(self, key: str, *, revision: int, is_certain: bool) -> None:
        """Handle a removal; if it isn't certain, the key may soon be put again."""

    def known_keys(self) -> list[str]:
        """Return the keys that are removed if a full listing lacks them."""


class PrefixFollower:
    """Lists a prefix, then watches it for changes.

    It lists the prefix again if the store has dropped the history of changes. A
    connection that stopped responding is detected within one watch of ``wait_s``
    seconds. ``on_answer`` is called after each answer of the store. ``on_changed`` is
    called with the prefix after each answer with changes, and with the seconds since
    the answer before: none of the changes is older. ``retry_limit_s`` is the longest
    pause after failed reads.
    """

    def __init__(
        self,
        *,
        store: SharedStore,
        timers: TimerService,
        prefix: str,
        sink: ItemSink,
        wait_s: float = WATCH_WAIT_S,
        on_answer: Callable[[], None] | None = None,
        on_changed: Callable[[str, float], None] | None = None,
        retry_limit_s: float = RETRY_PAUSE_LIMIT_S,
    ):
        self.wait_s = wait_s
        # The revision up to which all changes were read; 0 before a listing.
        self.revision = 0
        self.is_listed = False
        # The revision of the last listing; removals before it were not all seen.
        self.listed_revision = 0
        self.answered_at = timers.now()
        self._store = store
        self._timers = timers
        self._prefix = prefix
        self._sink = sink
        self._on_answer = on_answer
        self._on_changed = on_changed
        self._retry_limit_s = retry_limit_s
        self._must_list = True
        self._failed_at = -math.inf
        self._retry_pause_s = RETRY_PAUSE_S
        self._listing_waits = ListingWaits()
        self._fails_fast = False
        self._watch_scope = trio.CancelScope()
        self._is_refreshing = False
        self.is_reachable = True

    async def run(self) -> None:
        """Follow the prefix until cancelled."""
        while True:
            try:
                is_answered = await self._follow_once()
            except HistoryLostError:
                logger.info("watch_history_lost", extra={"prefix": self._prefix})
                self._list_again()
                continue
            except SharedStoreError as error:
                self._record_failure(error)
                await trio.sleep(self._next_retry_pause_s())
                continue
            if is_answered:
                self._record_success()

    def refresh(self) -> None:
        """Read the present revision now, instead of at the end of the pending watch."""
        if not self._is_refreshing:
            self._is_refreshing = True
            self._watch_scope.cancel()

    async def _follow_once(self) -> bool:
        """Make one call to the store; return False if ``refresh`` interrupted it."""
        if self._must_list:
            await self._list()
            return True
        changes = None
        wait_s = REFRESH_WAIT_S if self._is_refreshing else self.wait_s
        self._watch_scope = trio.CancelScope()
        with self._watch_scope:
            changes = await self._store.wait_changes(
                self._prefix, after=self.revision, wait_s=wait_s
            )
        if changes is None:
            return False
        self._is_refreshing = False
        self._apply(changes)
        return True

    def _apply(self, changes: Changes) -> None:
        for change in changes.changes:
            if change.item is not None:
                self._sink.put(change.item)
            else:
                self._remove(change.key, change.revision, change.is_certain)
        if changes.keys is not None:
            self._remove_all_but(changes.keys, changes.revision)
        self.revision = max(self.revision, changes.revision)
        items = [each.item for each in changes.changes if each.item is not None]
        self._report_read(items, changes.source)
        if _superseded_bytes(items) >= SUPERSEDED_LIMIT_BYTES:
            # The link is slower than the changes, and more have come meanwhile.
            self._list_again()

    def _list_again(self) -> None:
        self._must_list = True
        self._fails_fast = True

    async def _list(self) -> None:
        listing = await self._call_list()
        for item in listing.items:
            self._sink.put(item)
        self._remove_all_but({item.key for item in listing.items}, listing.revision)
        self.revision = max(self.revision, listing.revision)
        self._must_list = False
        self.listed_revision = listing.revision
        self._report_read(listing.items, listing.source)
        self.is_listed = True

    async def _call_list(self) -> Listing:
        if self._fails_fast:
            # The process was served until now. The first attempt finds out as fast as
            # a watch whether the path to the store is broken.
            self._fails_fast = False
            return await self._store.list_items(self._prefix)
        wait = self._listing_waits.begin_attempt()
        try:
            listing = await self._store.list_items(self._prefix, wait=wait)
        except SharedStoreError:
            self._listing_waits.record_failure()
            raise
        self._listing_waits = ListingWaits()
        return listing

    def _report_read(self, items: list[Item], source: str) -> None:
        """Report an answer with items, and log it if it was large or late."""
        if not items:
            return
        delay_s = self._timers.now() - self.answered_at
        if self._on_changed is not None and self.is_listed:
            self._on_changed(self._prefix, delay_s)
        size = sum(len(each.value) for each in items)
        if size < LOGGED_READ_BYTES and delay_s < LOGGED_READ_DELAY_S:
            return
        fields = {
            "prefix": self._prefix,
            "source": source,
            "revision": self.revision,
            "items": len(items),
            "superseded": len(items) - len({each.key for each in items}),
            "bytes": size,
            "delay_ms": round(delay_s * MS_PER_S),
        }
        logger.info("prefix_read", extra=fields)

    def _remove_all_but(self, keys: Collection[str], revision: int) -> None:
        for key in self._sink.known_keys():
            if key not in keys:
                self._remove(key, revision)

    def _remove(self, key: str, revision: int, is_certain: bool = True) -> None:
        is_aftermath = self._timers.now() - self._failed_at <= OUTAGE_AFTERMATH_S
        self._sink.handle_removal(
            key, revision=revision, is_certain=is_certain and not is_aftermath
        )

    def _next_retry_pause_s(self) -> float:
        pause_s = self._retry_pause_s
        self._retry_pause_s = min(self._retry_limit_s, 2 * pause_s)
        return random.uniform(pause_s / 2, pause_s)

    def _record_failure(self, error: SharedStoreError) -> None:
        self._failed_at = self._timers.now()
        if self.is_reachable:
            self.is_reachable = False
            fields = {"prefix": self._prefix, "cause": str(error)}
            logger.warning("store_lost", extra=fields)

    def _record_success(self) -> None:
        self.answered_at = self._timers.now()
        self._retry_pause_s = RETRY_PAUSE_S
        if self._on_answer is not None:
            self._on_answer()
        if not self.is_reachable:
            self.is_reachable = True
            logger.info("store_regained", extra={"prefix": self._prefix})


def _superseded_bytes(items: list[Item]) -> int:
    """Return the size of the items that a later one of the same key replaces."""
    newest_by_key = {each.key: each for each in items}
    kept = sum(len(each.value) for each in newest_by_key.values())
    return sum(len(each.value) for each in items) - kept
