"""Hands free tokens back to the ledger, as surplus or for other routers."""

import logging
from collections.abc import Callable

import trio

from lavenderfold.budgets import GrantPool, HandBack, LedgerClient
from lavenderfold.config import Budget
from lavenderfold.identifiers import BudgetKey
from lavenderfold.logs import log_event
from lavenderfold.metrics import Metrics
from lavenderfold.timers import TimerService

# A hand-back that isn't durable after this time is issued again later by the pool.
HAND_BACK_WAIT_S = 1.0
# Interval at which an exiting router repeats the hand-backs that got no answer.
HAND_BACK_CONFIRMATION_POLL_S = 0.1
# For this long after a peer's request, a holder also hands back tokens that
# become free later.
PEER_REQUEST_TTL_S = 2.0

ReportTokens = Callable[[int], None]

logger = logging.getLogger("lavenderfold.router.grants")


class _PeerRequests(list[tuple[float, ReportTokens]]):
    """Requests of other routers for tokens of a budget, as (expiry time, report)."""

    def unexpired(self, now: float) -> list[ReportTokens]:
        return [report for expires_at, report in self if expires_at > now]


class HandBackWriter:
    """Writes hand-backs of the pool's free tokens to the ledger."""

    def __init__(
        self,
        *,
        pool: GrantPool,
        ledger: LedgerClient,
        timers: TimerService,
        metrics: Metrics,
        nursery: trio.Nursery,
        budget: Callable[[BudgetKey], Budget | None],
    ):
        self._pool = pool
        self._ledger = ledger
        self._timers = timers
        self._metrics = metrics
        self._nursery = nursery
        self._budget = budget
        self._peer_requests_by_key: dict[BudgetKey, _PeerRequests] = {}
        # Held for each write, so that a task that hands back all free tokens also
        # waits for the hand-backs that are in progress.
        self._write_lock = trio.Lock()

    async def hand_back_surplus(self, key: BudgetKey, budget: Budget) -> None:
        """Hand back the free tokens that exceed the measured demand."""
        async with self._write_lock:
            hand_backs = self._pool.issue_hand_backs(
                key, budget=budget, now=self._timers.now()
            )
            await self._write(hand_backs)

    async def hand_back_free(self, key: BudgetKey) -> int:
        """Hand back all free tokens of a budget; return their number."""
        budget = self._budget(key) or Budget(prepaid={})
        async with self._write_lock:
            now = self._timers.now()
            hand_backs = self._pool.issue_hand_backs(
                key, budget=budget, now=now, all_free=True
            )
            await self._write(hand_backs)
        return sum(hand_back.tokens for hand_back in hand_backs)

    async def hand_back_all(self, key: BudgetKey) -> None:
        """Hand back all free tokens and wait until each hand-back is durable."""
        budget = self._budget(key) or Budget(prepaid={})
        async with self._write_lock:
            while True:
                now = self._timers.now()
                hand_backs = self._pool.issue_hand_backs(
                    key, budget=budget, now=now, all_free=True
                )
                await self._write(hand_backs, timeout_s=None)
                if not self._pool.awaits_confirmation(key):
                    return
                await trio.sleep(HAND_BACK_CONFIRMATION_POLL_S)

    def hand_back_for_peer(self, key: BudgetKey, report: ReportTokens) -> None:
        """Hand back tokens that are free now or soon, because a peer asked for them.

        ``report`` is called with the number of tokens handed back at once, and
        again when a run that ends within PEER_REQUEST_TTL_S frees some.
        """
        peer_requests = self._peer_requests_by_key.setdefault(key, _PeerRequests())
        peer_requests.append((self._timers.now() + PEER_REQUEST_TTL_S, report))
        self._nursery.start_soon(self._hand_back_for, key, [report])

    def hand_back_freed_tokens(self, key: BudgetKey) -> None:
        """Hand back tokens that the end of a run freed, if peers asked for them."""
        peer_requests = self._peer_requests_by_key.pop(key, _PeerRequests())
        waiting = peer_requests.unexpired(self._timers.now())
        if waiting:
            self._nursery.start_soon(self._hand_back_for, key, waiting)

    async def _hand_back_for(self, key: BudgetKey, reports: list[ReportTokens]) -> None:
        tokens = await self.hand_back_free(key)
        for report in reports:
            report(tokens)

    async def _write(
        self, hand_backs: list[HandBack], *, timeout_s: float | None = HAND_BACK_WAIT_S
    ) -> None:
        async with trio.open_nursery() as nursery:
            for hand_back in hand_backs:
                nursery.start_soon(self._write_one, hand_back, timeout_s)

    async def _write_one(self, hand_back: HandBack, timeout_s: float | None) -> None:
        result = await self._ledger.submit(hand_back, timeout_s=timeout_s)
        log_event(
            logger,
            "grant_handed_back",
            budget=hand_back.budget,
            grant=hand_back.grant_id,
            tokens=hand_back.tokens,
            durable=result.is_ok(),
        )
        self._metrics.incr("grants.handed_back")
        if result.is_ok():
            self._pool.confirm_hand_back(hand_back)
