"""Hand-backs of free tokens to the ledger, unasked and for other routers."""

import logging
from collections.abc import Callable

import trio

from lavenderfold.budgets import GrantPool, HandBack, LedgerClient
from lavenderfold.config import Budget
from lavenderfold.identifiers import BudgetKey
from lavenderfold.logs import log_event
from lavenderfold.metrics import Metrics
from lavenderfold.timers import TimerService

# A hand-back that isn't durable by then is passed on again later by the pool.
HAND_BACK_WAIT_S = 1.0
# Hand-backs of an exiting router that got no answer are repeated by the pool.
HAND_BACK_POLL_S = 0.1
# How long a holder that had nothing free remembers that others need tokens.
PRESSED_S = 2.0

Report = Callable[[int], None]

logger = logging.getLogger("lavenderfold.router.grants")


class _Pressure(list[tuple[float, Report]]):
    """Who needs tokens of a budget, each until a time."""

    def still_waiting(self, now: float) -> list[Report]:
        return [report for until, report in self if until > now]


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
        self._pressure_by_key: dict[BudgetKey, _Pressure] = {}
        # Whoever hands everything back also waits for hand-backs under way.
        self._writing = trio.Lock()

    async def hand_back_surplus(self, key: BudgetKey, budget: Budget) -> None:
        """Hand back what the measured demand doesn't need."""
        async with self._writing:
            due = self._pool.surplus(key, budget=budget, now=self._timers.now())
            await self._write(due)

    async def hand_back_free(self, key: BudgetKey) -> int:
        """Hand back all free tokens of a budget; return how many."""
        budget = self._budget(key) or Budget(prepaid={})
        async with self._writing:
            now = self._timers.now()
            due = self._pool.surplus(key, budget=budget, now=now, pressed=True)
            await self._write(due)
        return sum(hand_back.tokens for hand_back in due)

    async def hand_back_all(self, key: BudgetKey) -> None:
        """Hand back all free tokens and wait until each hand-back is durable."""
        budget = self._budget(key) or Budget(prepaid={})
        async with self._writing:
            while True:
                now = self._timers.now()
                due = self._pool.surplus(key, budget=budget, now=now, pressed=True)
                await self._write(due, timeout_s=None)
                if not self._pool.awaits_confirmation(key):
                    return
                await trio.sleep(HAND_BACK_POLL_S)

    def hand_back_for_peer(self, key: BudgetKey, report: Report) -> None:
        """Hand back for another router what is free now, and what is free soon.

        ``report`` is called with the tokens at once, and again when the end of
        a run frees some within PRESSED_S.
        """
        pressure = self._pressure_by_key.setdefault(key, _Pressure())
        pressure.append((self._timers.now() + PRESSED_S, report))
        self._nursery.start_soon(self._hand_back_for, key, [report])

    def tokens_freed(self, key: BudgetKey) -> None:
        """Hand back to those who asked lately; the end of a run freed tokens."""
        pressure = self._pressure_by_key.pop(key, _Pressure())
        waiting = pressure.still_waiting(self._timers.now())
        if waiting:
            self._nursery.start_soon(self._hand_back_for, key, waiting)

    async def _hand_back_for(self, key: BudgetKey, reports: list[Report]) -> None:
        tokens = await self.hand_back_free(key)
        for report in reports:
            report(tokens)

    async def _write(
        self, due: list[HandBack], *, timeout_s: float | None = HAND_BACK_WAIT_S
    ) -> None:
        async with trio.open_nursery() as nursery:
            for hand_back in due:
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
