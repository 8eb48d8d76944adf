"""Applies orders by conditional writes of ledger pages."""

import logging

import trio

from lavenderfold.escrow._ledger import (
    LedgerPage,
    page_key,
    reclaim,
    transfer,
    with_limit,
)
from lavenderfold.escrow._orders import BalanceView, LedgerOrder, LedgerUnavailableError
from lavenderfold.escrow._pages import LedgerPages
from lavenderfold.shared import (
    SharedStoreError,
    WriteConflictError,
    WriteUncertainError,
)

CONFLICT_RETRY_DELAY_S = 0.003
MAX_WRITE_ATTEMPTS = 8

logger = logging.getLogger(__name__)


class LedgerWriter:
    """Writes the orders of one or more holders together.

    Any number of writers may work at the same time: a write succeeds only if no other
    writer has changed the pages since they were read.
    """

    def __init__(self, *, pages: LedgerPages):
        self._pages = pages

    async def apply(self, orders: list[LedgerOrder]) -> list[dict[str, BalanceView]]:
        """Apply orders; return the resulting views of each, by organisation.

        Raises LedgerUnavailableError if the write wasn't confirmed.
        """
        for _ in range(MAX_WRITE_ATTEMPTS):
            draft_by_key = self._draft(orders)
            try:
                await self._commit(draft_by_key)
            except WriteConflictError as conflict:
                self._pages.install(conflict.items)
                await trio.sleep(CONFLICT_RETRY_DELAY_S)
            except WriteUncertainError as error:
                logger.info("ledger_write_uncertain", extra={"cause": str(error)})
                if not await self._pages.load():
                    raise LedgerUnavailableError(str(error)) from error
            except SharedStoreError as error:
                logger.info("ledger_write_failed", extra={"cause": str(error)})
                raise LedgerUnavailableError(str(error)) from error
            else:
                return [self._views(order) for order in orders]
        raise LedgerUnavailableError(f"{MAX_WRITE_ATTEMPTS} writes met other writers")

    def _draft(self, orders: list[LedgerOrder]) -> dict[str, LedgerPage]:
        draft_by_key: dict[str, LedgerPage] = {}
        for order in orders:
            for organisation in order.transfer_by_organisation:
                self._draft_transfer(draft_by_key, order, organisation)
            for each in order.reclaims:
                page = self._page(draft_by_key, each.organisation)
                balance = page.balance_by_organisation.get(each.organisation)
                if balance is not None:
                    changed = reclaim(balance, each.holder, max_spent=each.max_spent)
                    page.balance_by_organisation[each.organisation] = changed
        return draft_by_key

    def _draft_transfer(
        self, draft_by_key: dict[str, LedgerPage], order: LedgerOrder, organisation: str
    ) -> None:
        page = self._page(draft_by_key, organisation)
        limit = order.limit_by_organisation[organisation]
        balance = with_limit(
            page.balance_by_organisation.get(organisation),
            limit=limit.tokens,
            version=limit.version,
        )
        request = order.transfer_by_organisation[organisation]
        changed = transfer(balance, order.holder, request)
        page.balance_by_organisation[organisation] = changed

    def _page(
        self, draft_by_key: dict[str, LedgerPage], organisation: str
    ) -> LedgerPage:
        key = page_key(self._pages.prefix, organisation)
        return self._pages.draft(draft_by_key, key)

    async def _commit(self, draft_by_key: dict[str, LedgerPage]) -> None:
        changed = {
            key: draft
            for key, draft in draft_by_key.items()
            if draft != self._pages.content(key)
        }
        if changed:
            await self._pages.commit(changed)

    def _views(self, order: LedgerOrder) -> dict[str, BalanceView]:
        views = {}
        for organisation in order.transfer_by_organisation:
            key = page_key(self._pages.prefix, organisation)
            balance = self._pages.content(key).balance_by_organisation[organisation]
            views[organisation] = BalanceView.of(balance, order.holder)
        return views
