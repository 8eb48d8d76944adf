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
    WitnessedSpending,
    page_key,
    reclaim_all,
    router_name,
    transfer_all,
    with_limit,
    with_witnessed,
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
# Upper bound of that delay. Right after an outage of the store writes are slower than
# usual, and a delay by their duration could outlast the 0.7 s that requests wait.
CONFLICT_DELAY_LIMIT_S = 0.5
MAX_WRITE_ATTEMPTS = 16
# For this time after requests waited for more than was available, all routers are told
# to hand back what they don't use.
SHORTAGE_S = 2.0
# After the store went back to an older copy nothing is granted for this time, in which
# holders state their grants again. A router asks for the state of its balances each 2 s
# and a combiner may answer from pages that are 2 s old; an order and its repetition add
# up to 1.5 s. Routers hold tokens for 8 s.
SETTLING_S = 6.0
# Longest wait for holders that are in the copy and haven't stated their grants. Routers
# are disconnected for up to 9 s; some never return.
MAX_SETTLING_S = 20.0
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
        self._newest_limit_by_organisation: dict[str, Limit] = {}
        self._unsettled_since_by_key: dict[str, tuple[int, float]] = {}

    async def apply(self, orders: list[LedgerOrder]) -> list[dict[str, BalanceView]]:
        """Apply orders; return the resulting views of each, by organisation.

        Raises LedgerUnavailableError if the write wasn't confirmed, and
        LedgerContendedError if that is because of other writers.
        """
        gives_up_at = trio.current_time() + self._conflict_limit_s
        newest_era = max((each.newest_era for each in orders), default=0)
        if newest_era > self._pages.era and not await self._pages.load():
            raise LedgerUnavailableError("the ledger can't be read in its new era")
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
            limit = self._newest_limit(orders, organisation)
            self._draft_transfers(draft_by_key, organisation, limit, transfers)
        for organisation, witnessed in _witnessed_by_organisation(orders).items():
            self._draft_witnessed(draft_by_key, organisation, witnessed)
        for organisation, reclaims in _reclaims_by_organisation(orders).items():
            balances = self._page(draft_by_key, organisation).balance_by_organisation
            if organisation in balances:
                changed = reclaim_all(
                    balances[organisation], reclaims, era=self._pages.era
                )
                balances[organisation] = changed
        # What is restated in this batch counts before anything is granted.
        for key, draft in draft_by_key.items():
            self._settle(key, draft)
        return draft_by_key

    def _draft_witnessed(
        self,
        draft_by_key: dict[str, LedgerPage],
        organisation: str,
        witnessed: list[WitnessedSpending],
    ) -> None:
        balances = self._page(draft_by_key, organisation).balance_by_organisation
        # A lost balance gets its limit with the first transfer.
        balance = balances.get(organisation, Balance(limit=0, limit_version=-1))
        changed = with_witnessed(balance, witnessed, era=self._pages.era)
        if changed != balance:
            balances[organisation] = changed

    def _settle(self, key: str, draft: LedgerPage) -> None:
        """Allow grants from a page once its holders had the time to state theirs."""
        era, now = self._pages.era, trio.current_time()
        if draft.era >= era:
            self._unsettled_since_by_key.pop(key, None)
            return
        since_era, since = self._unsettled_since_by_key.get(key, (0, now))
        if since_era != era:
            since = now
            self._unsettled_since_by_key[key] = era, now
        is_restated = draft.is_restated(era)
        if now - since < (SETTLING_S if is_restated else MAX_SETTLING_S):
            return
        draft.era = era
        fields = {"key": key, "era": era, "is_restated": is_restated}
        logger.warning("ledger_page_settled", extra=fields)

    def _newest_limit(self, orders: list[LedgerOrder], organisation: str) -> Limit:
        """Return the limit of the newest configuration that has reached this process.

        A page of an older copy, and a router that starts from one, may lag behind.
        """
        limit = _newest_limit(orders, organisation)
        known = self._newest_limit_by_organisation.get(organisation, limit)
        newest = max(known, limit, key=lambda each: each.version)
        self._newest_limit_by_organisation[organisation] = newest
        return newest

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
        page.balance_by_organisation[organisation] = transfer_all(
            balance,
            transfers,
            era=self._pages.era,
            can_grant=page.era >= self._pages.era,
        )

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
        page = self._content(organisation)
        return BalanceSummary(
            balance=page.balance_by_organisation[organisation],
            is_short=trio.current_time() - short_at < SHORTAGE_S,
            era=self._pages.era,
            is_settling=page.era < self._pages.era,
        )

    def _content(self, organisation: str) -> LedgerPage:
        return self._pages.content(page_key(self._pages.prefix, organisation))

    def _balance(self, organisation: str) -> Balance:
        return self._content(organisation).balance_by_organisation[organisation]

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


def _witnessed_by_organisation(
    orders: list[LedgerOrder],
) -> dict[str, list[WitnessedSpending]]:
    """Return what the witnesses of a batch know, by organisation."""
    witnessed: dict[str, list[WitnessedSpending]] = {}
    for each in (each for order in orders for each in order.witnessed):
        witnessed.setdefault(each.organisation, []).append(each)
    return witnessed


def _newest_limit(orders: list[LedgerOrder], organisation: str) -> Limit:
    """Return an organisation's limit of the newest configuration in a batch."""
    limits = [
        order.limit_by_organisation[organisation]
        for order in orders
        if organisation in order.transfer_by_organisation
    ]
    return max(limits, key=lambda limit: limit.version)
