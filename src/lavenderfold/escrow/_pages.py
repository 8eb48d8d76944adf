"""Reads, caches and writes ledger pages."""

import logging
import math

import trio

from lavenderfold.escrow._ledger import LedgerPage
from lavenderfold.escrow._page_codec import (
    LedgerDecodeError,
    decode_page,
    encode_page,
)
from lavenderfold.shared import (
    ConditionalWrite,
    Item,
    ListingWait,
    SharedStore,
    SharedStoreError,
    WriteConflictError,
    WriteUncertainError,
    era_of,
)

# A write without an answer is read back after this time, or after this many times the
# usual one if that is longer. Orders of all routers wait behind each write.
READ_BACK_DELAY_S = 0.08
READ_BACK_DELAY_WRITES = 4
# Weight of the newest write in the moving average of their times.
WRITE_TIME_SMOOTHING = 0.2

logger = logging.getLogger(__name__)


class _CachedPage:
    """A page as of ``revision``; it was current at ``checked_at``."""

    __slots__ = ("content", "revision", "checked_at")

    def __init__(self, *, content: LedgerPage, revision: int):
        self.content = content
        self.revision = revision
        self.checked_at = trio.current_time()


class LedgerPages:
    """The ledger pages as last read or written, by key.

    ``era`` is the newest era of the store that was seen in their revisions.
    """

    def __init__(self, *, store: SharedStore, prefix: str):
        self.prefix = prefix
        self.era = 0
        self._store = store
        self._has_read = False
        self._has_era_changed = False
        self._page_by_key: dict[str, _CachedPage] = {}
        self._usual_write_s = 0.0

    def content_by_key(self) -> dict[str, LedgerPage]:
        return {key: page.content for key, page in self._page_by_key.items()}

    def content(self, key: str) -> LedgerPage | None:
        page = self._page_by_key.get(key)
        return page.content if page else None

    def age_s(self, key: str) -> float:
        """Return how long ago the cached page was known to be current."""
        page = self._page_by_key.get(key)
        return trio.current_time() - page.checked_at if page else math.inf

    async def load(self, *, wait: ListingWait | None = None) -> bool:
        """Read all pages; return False if the store can't be reached."""
        try:
            listing = await self._store.list_items(self.prefix, wait=wait)
        except SharedStoreError as error:
            logger.info("ledger_unreachable", extra={"cause": str(error)})
            return False
        era = era_of(listing.revision)
        self._record_era(era)
        self.install(listing.items)
        # Cached pages of an earlier era that the listing lacks are lost.
        self._page_by_key = {
            key: page
            for key, page in self._page_by_key.items()
            if era_of(page.revision) >= era
        }
        return True

    def _record_era(self, era: int) -> None:
        if era > self.era:
            self._has_era_changed = self._has_read
            self.era = era
            logger.info("ledger_era", extra={"era": era, "is_new": self._has_read})
        self._has_read = True

    def install(self, items: list[Item]) -> None:
        """Cache the pages that are newer than the cached ones."""
        for item in items:
            self._record_era(era_of(item.revision))
            known = self._page_by_key.get(item.key)
            if known is not None and item.revision <= known.revision:
                if item.revision == known.revision:
                    known.checked_at = trio.current_time()
                continue
            try:
                content = decode_page(item.value)
            except LedgerDecodeError as error:
                # The page isn't cached, so that its revision stays unknown and a
                # conditional write can't overwrite it.
                fault = {"key": item.key, "cause": str(error)}
                logger.error("ledger_page_unreadable", extra=fault)
                continue
            self._page_by_key[item.key] = _CachedPage(
                content=content, revision=item.revision
            )

    def draft(self, draft_by_key: dict[str, LedgerPage], key: str) -> LedgerPage:
        """Return the draft of a page; create it from the cached content if missing."""
        draft = draft_by_key.get(key)
        if draft is None:
            known = self.content(key)
            if known is None:
                era = self.era if self._is_new_ledger() else 0
                draft = LedgerPage(era=era, first_era=era)
            else:
                balances = dict(known.balance_by_organisation)
                draft = LedgerPage(balances, known.era, known.first_era)
            draft_by_key[key] = draft
        return draft

    def _is_new_ledger(self) -> bool:
        """Return whether a missing page was never written, rather than lost."""
        return not self._has_era_changed and all(
            page.content.first_era == self.era for page in self._page_by_key.values()
        )

    async def commit(self, draft_by_key: dict[str, LedgerPage]) -> None:
        """Write drafts if the cached pages are current.

        If the answer takes unusually long, the pages are read meanwhile: a write that
        is seen in them needs no answer. Raises the errors of the store's ``write``,
        and WriteUncertainError if a new era began before the write.
        """
        era = self.era
        writes = [
            ConditionalWrite(key, encode_page(draft), self._revision(key))
            for key, draft in draft_by_key.items()
        ]
        revision: int | None = None
        failure: SharedStoreError | WriteConflictError | None = None
        started_at = trio.current_time()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._read_back, draft_by_key, nursery.cancel_scope)
            try:
                revision = await self._store.write(writes)
            except (SharedStoreError, WriteConflictError) as error:
                failure = error
            nursery.cancel_scope.cancel()
        if failure is not None:
            raise failure
        if revision is None:
            # The pages were read back and are cached.
            return
        self._record_write_time(trio.current_time() - started_at)
        if era_of(revision) != era:
            # The write of a new page has no revision to conflict with in a new era.
            raise WriteUncertainError("a new era began before the write")
        for key, draft in draft_by_key.items():
            # A page that was read meanwhile may be newer than the write.
            if self._revision(key) < revision:
                self._page_by_key[key] = _CachedPage(content=draft, revision=revision)

    async def _read_back(
        self, draft_by_key: dict[str, LedgerPage], write_scope: trio.CancelScope
    ) -> None:
        """Cancel a write if its effect is read before its answer arrives."""
        usual_s = self._usual_write_s * READ_BACK_DELAY_WRITES
        await trio.sleep(max(READ_BACK_DELAY_S, usual_s))
        if not await self.load():
            return
        if all(self.content(key) == draft for key, draft in draft_by_key.items()):
            logger.info("ledger_write_read_back", extra={"pages": len(draft_by_key)})
            write_scope.cancel()

    def _record_write_time(self, write_s: float) -> None:
        difference_s = write_s - self._usual_write_s
        self._usual_write_s += difference_s * WRITE_TIME_SMOOTHING

    def _revision(self, key: str) -> int:
        known = self._page_by_key.get(key)
        return known.revision if known else 0
