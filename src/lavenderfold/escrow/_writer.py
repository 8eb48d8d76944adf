"""Applies orders by conditional writes of ledger pages."""

import logging
import math
import random
from collections.abc import Iterable

import trio

from lavenderfold.escrow._ledger import (
    Balance,
    LedgerPage,
    Transfer,
    page_key,
    reclaim_all,
    router_name,
    transfer_all,
    with_limit,
)
from lavenderfold.escrow._orders import (
    BalanceSummary,
    BalanceView,
    LedgerContendedError,
    LedgerOrder,
    LedgerUnavailableError,
    Limit,
)
from lavenderfold.escrow._pages import LedgerPages
from lavenderfold.shared import (
    SharedStoreError,
    WriteConflictError,
    WriteUncertainError,
)

# After a conflict a writer waits for a random part of this many writes, doubled with
# each further conflict, up to so many writes for each process that may be writing too.
CONFLICT_DELAY_WRITES = 2
CONFLICT_DELAY_WRITES_PER_WRITER = 2
# Writes that were slow because the store had just returned don't show how long others
# will take. Requests wait meanwhile, for 0.7 s at most.
CONFLICT_DELAY_LIMIT_S = 0.5
MAX_WRITE_ATTEMPTS = 16
# For this time after requests waited for more than was available, all routers are told
# to hand back what they don't use.
SHORTAGE_S = 2.0
# Read-only orders are answered from pages that were read or written this recently.
MAX_READ_AGE_S = 2.0

logger = logging.getLogger(__name__)


class LedgerWriter:
    """Writes the orders of one or more holders together.

    Any number of writers may work at the same time: a write succeeds only if no other
    writer has changed the pages since they were read. ``competitors`` is the number
    of other writers to expect; if it is None, all routers with grants may be writing.
    After conflicts for ``conflict_limit_s`` an order fails, so that its sender can
    try another path.
    """

    def __init__(
        self,
        *,
        pages: LedgerPages,
        competitors: int | None = None,
        conflict_limit_s: float = math.inf,
    ):
        self._pages = pages
        self._conflict_limit_s = conflict_limit_s
        self._competitors = competitors
        self._short_at_by_organisation: dict[str, float] = {}

    async def apply(self, orders: list[LedgerOrder]) -> list[dict[str, BalanceView]]:
        """Apply orders; return the resulting views of each, by organisation.

        Raises LedgerUnavailableError if the write wasn't confirmed, and
        LedgerContendedError if that is because of other writers.
        """
        gives_up_at = trio.current_time() + self._conflict_limit_s
        if all(each.is_read_only for each in orders):
            await self._refresh_pages(orders)
        for attempt in range(MAX_WRITE_ATTEMPTS):
            draft_by_key = self._draft(orders)
            started_at = trio.current_time()
            try:
                await self._commit(draft_by_key)
            except WriteConflictError as conflict:
                write_s = trio.current_time() - started_at
                self._pages.install(conflict.items)
                if trio.current_time() >= gives_up_at:
                    break
                writers = self._competitors or self._router_count(draft_by_key)
                await trio.sleep(_conflict_delay_s(attempt, writers, write_s))
                if attempt:
                    # Others have written during the wait.
                    await self._pages.load()
            except WriteUncertainError as error:
                logger.info("ledger_write_uncertain", extra={"cause": str(error)})
                if not await self._pages.load():
                    raise LedgerUnavailableError(str(error)) from error
            except SharedStoreError as error:
                logger.info("ledger_write_failed", extra={"cause": str(error)})
                raise LedgerUnavailableError(str(error)) from error
            else:
                self._record_shortages(orders)
                return self._views(orders)
        raise LedgerContendedError(f"{attempt + 1} writes met other writers")

    async def _refresh_pages(self, orders: list[LedgerOrder]) -> None:
        """Read the ledger if the pages of read-only orders are too old."""
        keys = {
            page_key(self._pages.prefix, organisation)
            for order in orders
            for organisation in order.transfer_by_organisation
        }
        if max(map(self._pages.age_s, keys), default=0.0) <= MAX_READ_AGE_S:
            return
        if not await self._pages.load():
            raise LedgerUnavailableError("the ledger can't be read")

    def _draft(self, orders: list[LedgerOrder]) -> dict[str, LedgerPage]:
        draft_by_key: dict[str, LedgerPage] = {}
        for organisation, transfers in _transfers_by_organisation(orders).items():
            limit = _newest_limit(orders, organisation)
            self._draft_transfers(draft_by_key, organisation, limit, transfers)
        for organisation, reclaims in _reclaims_by_organisation(orders).items():
            balances = self._page(draft_by_key, organisation).balance_by_organisation
            if organisation in balances:
                changed = reclaim_all(balances[organisation], reclaims)
                balances[organisation] = changed
        return draft_by_key

    def _draft_transfers(
        self,
        draft_by_key: dict[str, LedgerPage],
        organisation: str,
        limit: Limit,
        transfers: list[tuple[str, Transfer]],
    ) -> None:
        page = self._page(draft_by_key, organisation)
        balance = with_limit(
            page.balance_by_organisation.get(organisation),
            limit=limit.tokens,
            version=limit.version,
        )
        page.balance_by_organisation[organisation] = transfer_all(balance, transfers)

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

    def _router_count(self, keys: Iterable[str]) -> int:
        """Return the number of routers that have grants in these pages."""
        names = {
            router_name(holder)
            for key in keys
            if (page := self._pages.content(key)) is not None
            for balance in page.balance_by_organisation.values()
            for holder in balance.grant_by_holder
        }
        return len(names)

    def _views(self, orders: list[LedgerOrder]) -> list[dict[str, BalanceView]]:
        summary_by_organisation = {
            organisation: self._summary(organisation)
            for organisation in _transfers_by_organisation(orders)
        }
        return [
            {
                organisation: summary_by_organisation[organisation].view(order.holder)
                for organisation in order.transfer_by_organisation
            }
            for order in orders
        ]

    def _summary(self, organisation: str) -> BalanceSummary:
        short_at = self._short_at_by_organisation.get(organisation, -math.inf)
        return BalanceSummary(
            balance=self._balance(organisation),
            is_short=trio.current_time() - short_at < SHORTAGE_S,
        )

    def _balance(self, organisation: str) -> Balance:
        page = self._pages.content(page_key(self._pages.prefix, organisation))
        return page.balance_by_organisation[organisation]

    def _record_shortages(self, orders: list[LedgerOrder]) -> None:
        """Note which balances could not cover the requests that wait."""
        for organisation, transfers in _transfers_by_organisation(orders).items():
            needed = max(request.needed for _, request in transfers)
            # What was granted is no longer available, so a request that took the
            # last tokens counts too.
            if needed > self._balance(organisation).available:
                self._short_at_by_organisation[organisation] = trio.current_time()


def _conflict_delay_s(attempt: int, writers: int, write_s: float) -> float:
    """Return the wait after the conflict of an attempt, counted from 0.

    ``write_s`` is how long the write took, in seconds.
    """
    most_writes = max(1, writers) * CONFLICT_DELAY_WRITES_PER_WRITER
    writes = min(most_writes, CONFLICT_DELAY_WRITES * 2**attempt)
    return random.uniform(0, min(CONFLICT_DELAY_LIMIT_S, writes * write_s))


def _transfers_by_organisation(
    orders: list[LedgerOrder],
) -> dict[str, list[tuple[str, Transfer]]]:
    """Return the holders and transfers of a batch by organisation, in their order."""
    transfers: dict[str, list[tuple[str, Transfer]]] = {}
    for order in orders:
        for organisation, request in order.transfer_by_organisation.items():
            transfers.setdefault(organisation, []).append((order.holder, request))
    return transfers


def _reclaims_by_organisation(
    orders: list[LedgerOrder],
) -> dict[str, list[tuple[str, int | None]]]:
    """Return the dead holders of a batch and the most that each can have spent."""
    reclaims: dict[str, list[tuple[str, int | None]]] = {}
    for each in (each for order in orders for each in order.reclaims):
        holders = reclaims.setdefault(each.organisation, [])
        holders.append((each.holder, each.max_spent))
    return reclaims


def _newest_limit(orders: list[LedgerOrder], organisation: str) -> Limit:
    """Return an organisation's limit of the newest configuration in a batch."""
    limits = [
        order.limit_by_organisation[organisation]
        for order in orders
        if organisation in order.transfer_by_organisation
    ]
    return max(limits, key=lambda limit: limit.version)
