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
)

logger = logging.getLogger(__name__)


class _CachedPage:
    """A page as of ``revision``; it was current at ``checked_at``."""

    __slots__ = ("content", "revision", "checked_at")

    def __init__(self, *, content: LedgerPage, revision: int):
        self.content = content
        self.revision = revision
        self.checked_at = trio.current_time()


class LedgerPages:
    """The ledger pages as last read or written, by key."""

    def __init__(self, *, store: SharedStore, prefix: str):
        self.prefix = prefix
        self._store = store
        self._page_by_key: dict[str, _CachedPage] = {}

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
        self.install(listing.items)
        return True

    def install(self, items: list[Item]) -> None:
        """Cache the pages that are newer than the cached ones."""
        for item in items:
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
            balances = known.balance_by_organisation if known else {}
            draft = draft_by_key[key] = LedgerPage(dict(balances))
        return draft

    async def commit(self, draft_by_key: dict[str, LedgerPage]) -> None:
        """Write drafts if the cached pages are current.

        Raises the errors of the store's ``write``.
        """
        writes = [
            ConditionalWrite(key, encode_page(draft), self._revision(key))
            for key, draft in draft_by_key.items()
        ]
        revision = await self._store.write(writes)
        for key, draft in draft_by_key.items():
            self._page_by_key[key] = _CachedPage(content=draft, revision=revision)

    def _revision(self, key: str) -> int:
        known = self._page_by_key.get(key)
        return known.revision if known else 0
