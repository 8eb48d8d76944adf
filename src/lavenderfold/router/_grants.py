"""The router's money: reservations from grants, orders, loans, hand-backs."""

import logging
from collections import OrderedDict
from collections.abc import Callable

import msgspec
import trio

from lavenderfold.budgets import (
    BudgetSpent,
    GrantMissing,
    GrantOpened,
    GrantOrder,
    GrantPool,
    HandBack,
    LedgerClient,
    OpenGrant,
    Reservation,
    SetLimit,
)
from lavenderfold.config import Budget, FleetConfig
from lavenderfold.identifiers import BudgetKey, RequestKey
from lavenderfold.logs import log_event
from lavenderfold.messages import Loan, LoanRequest, LoanReturn
from lavenderfold.metrics import Metrics
from lavenderfold.outcomes import NotRun, Reason
from lavenderfold.router._budget_demand import BudgetDemand, HeldReservation
from lavenderfold.router._hand_backs import HandBackWriter
from lavenderfold.router._peers import PeerLinks
from lavenderfold.timers import TimerService

# How long an order may take before other routers are asked for a loan.
LOAN_AFTER_S = 0.5
LOAN_PERIOD_S = 1.0
# Borrowing for several requests at once saves each of them a round trip.
LOAN_FACTOR = 4
# A spent budget is asked again at this pace while requests wait for it, unless
# something is known to have come back earlier.
SPENT_RETRY_S = 0.5
ORDER_POLL_S = 0.1
# Reports of runs that are still open are needed until those end.
REPORTED_KEPT = 4096

logger = logging.getLogger("lavenderfold.router.grants")


class GrantManager:
    """Reserves tokens for requests and keeps the pool of grants filled."""

    def __init__(
        self,
        *,
        pool: GrantPool,
        ledger: LedgerClient,
        peers: PeerLinks,
        timers: TimerService,
        metrics: Metrics,
        nursery: trio.Nursery,
        config: Callable[[], FleetConfig],
        revision: Callable[[], int],
        on_own_fenced: Callable[[int], None],
    ):
        self.pool = pool
        self._ledger = ledger
        self._peers = peers
        self._timers = timers
        self._metrics = metrics
        self._nursery = nursery
        self._config = config
        self._revision = revision
        self._own_fenced = on_own_fenced
        self._registered = trio.Event()
        self._is_closing = False
        self.hand_backs = HandBackWriter(
            pool=pool,
            ledger=ledger,
            timers=timers,
            metrics=metrics,
            nursery=nursery,
            budget=self._budget,
        )
        self._need_by_key: dict[BudgetKey, BudgetDemand] = {}
        self._limit_revision_by_key: dict[BudgetKey, int] = {}
        self._held_by_run_id: dict[str, HeldReservation] = {}
        self._reported_by_run_id: OrderedDict[str, int] = OrderedDict()

    @property
    def is_registered(self) -> bool:
        """Whether this router may hold grants of its own."""
        return self.pool.incarnation > 0

    def set_incarnation(self, incarnation: int) -> None:
        """Hold grants as ``incarnation`` from now on."""
        self.pool.incarnation = incarnation
        self._registered.set()
        self.wake_all()

    async def reserve(
        self, request: RequestKey, tokens: int, *, deadline: float
    ) -> Reservation | NotRun:
        """Reserve tokens, waiting for them at most until ``deadline``.

        Refuses for lack of money when the ledger says that the budget is spent
        and no grant is open any more, or at the deadline.
        """
        if tokens == 0:
            payer = self.pool.incarnation
            return Reservation(request.budget, request.request_id, "", payer, 0)
        reservation = self._try(request, tokens)
        if reservation is not None:
            self._start_fetch(request.budget)
            return reservation
        need = self._need(request.budget)
        refusals = need.refusals
        ticket = need.add(tokens)
        try:
            while True:
                self._start_fetch(request.budget)
                changed = need.changed
                with trio.move_on_after(max(0.0, deadline - self._timers.now())):
                    await changed.wait()
                reservation = self._try(request, tokens)
                if reservation is not None:
                    return reservation
                if self._is_spent_for_good(need, refusals):
                    return self._refusal(need)
                if self._timers.now() >= deadline:
                    return self._refusal(need)
        finally:
            del need.waiting[ticket]

    def settle(self, reservation: Reservation, tokens: int) -> None:
        """End a run that used ``tokens``."""
        if reservation.tokens:
            self.pool.settle(reservation, tokens)
            self._release(reservation.key)

    def cancel(self, reservation: Reservation) -> None:
        """End a reservation whose request was certainly not run."""
        if reservation.tokens:
            self.pool.cancel(reservation)
            self._release(reservation.key)

    def refund(self, reservation: Reservation, tokens: int) -> None:
        """Free tokens of a settled run whose request had been billed before."""
        self.pool.refund(reservation, max(0, tokens))
        self._need(reservation.key).wake()

    def hold_until_reported(
        self, reservation: Reservation, *, run_ids: list[str]
    ) -> None:
        """Keep the tokens of runs whose usage is unknown until it's reported."""
        for run_id in run_ids:
            if run_id in self._reported_by_run_id:
                self.settle(reservation, self._reported_by_run_id[run_id])
                return
        for run_id in run_ids:
            self._held_by_run_id[run_id] = HeldReservation(reservation, run_ids)

    def has_reported_usage(self, run_ids: list[str]) -> bool:
        """Return whether an agent reported usage of one of these runs."""
        return any(run_id in self._reported_by_run_id for run_id in run_ids)

    def usage_reported(self, run_id: str, tokens: int) -> None:
        """Note what a run used; ends its reservation if that was held."""
        self._reported_by_run_id[run_id] = tokens
        if len(self._reported_by_run_id) > REPORTED_KEPT:
            self._reported_by_run_id.popitem(last=False)
        held = self._held_by_run_id.get(run_id)
        if held is not None:
            for each in held.run_ids:
                self._held_by_run_id.pop(each, None)
            self.settle(held.reservation, tokens)

    def payer_was_fenced(self, payer: int) -> None:
        """Forget what a fenced incarnation pays for."""
        if payer == self.pool.incarnation:
            self._own_fenced(payer)
        self.pool.drop_all(payer)

    def wake_all(self) -> None:
        """Let waiting requests try again, as after a new configuration."""
        for need in self._need_by_key.values():
            need.wake()

    def lend(self, request: LoanRequest) -> Loan:
        """Lend free tokens to another router."""
        loan = self.pool.lend(request.key, request.tokens, request.loan_id)
        log_event(
            logger,
            "loan_given",
            budget=request.key,
            grant=loan.grant_id,
            loan=loan.loan_id,
            wanted=request.tokens,
            tokens=loan.tokens,
        )
        self._metrics.incr("grants.lent", loan.tokens)
        return loan

    def take_back(self, returned: LoanReturn) -> None:
        """Free the unused part of a loan that this router gave."""
        log_event(
            logger, "loan_returned", loan=returned.loan_id, tokens=returned.tokens
        )
        self.pool.take_back(returned)
        self.wake_all()

    async def maintain(self) -> None:
        """Order, hand back and return loans where that is due."""
        held = self.pool.keys()
        for key in self._need_by_key.keys() - set(held):
            need = self._need_by_key[key]
            if not need.waiting and not need.is_fetching:
                del self._need_by_key[key]
        for key in held:
            budget = self._budget(key)
            if budget is None:
                # It was removed from the configuration: nobody draws on it here.
                await self._give_up(key)
                continue
            self._start_fetch(key)
            await self.hand_backs.hand_back_surplus(key, budget)
            if self._ledger.store_available:
                self._peers.return_loans(self.pool.return_loans(key))

    def tokens_returned(self, key: BudgetKey) -> None:
        """Ask the ledger again, because another router handed tokens back."""
        if key in self._need_by_key:
            self._need_by_key[key].wake()

    async def hand_back_everything(self) -> None:
        """Hand back all free tokens and loans, before the router exits."""
        self._is_closing = True
        for need in list(self._need_by_key.values()):
            # A grant that was still being opened would be left behind.
            await need.is_settled.wait()
        held = self.pool.keys()
        for key in held:
            await self._give_up(key)

    async def _give_up(self, key: BudgetKey) -> None:
        """Return the loans of a budget and hand back all of its free tokens."""
        self._peers.return_loans(self.pool.return_loans(key))
        await self.hand_backs.hand_back_all(key)

    def _try(self, request: RequestKey, tokens: int) -> Reservation | None:
        key, now = request.budget, self._timers.now()
        return self.pool.reserve(key, request.request_id, tokens, now=now)

    def _release(self, key: BudgetKey) -> None:
        need = self._need(key)
        need.wake()
        if not need.waiting:
            self.hand_backs.tokens_freed(key)

    def _need(self, key: BudgetKey) -> BudgetDemand:
        return self._need_by_key.setdefault(key, BudgetDemand())

    def _budget(self, key: BudgetKey) -> Budget | None:
        organisation = self._config().organisations.get(key.organisation)
        return organisation.budgets.get(key.budget) if organisation else None

    def _is_spent_for_good(self, need: BudgetDemand, refusals: int) -> bool:
        """Return whether no tokens can come back from any open grant."""
        if need.spent is None or need.refusals == refusals:
            return False
        # The ledger's answer lists this router too while its runs, settlements or
        # hand-backs are on their way; the pool alone doesn't show all of those.
        return not need.spent.holders

    def _refusal(self, need: BudgetDemand) -> NotRun:
        if need.spent is not None:
            left = need.spent.available
            if left > 0 or need.spent.holders:
                # Money that others hold or that is too little for this request
                # may turn out to be unspent in the end.
                self._metrics.incr("false_refusal_candidates")
            return NotRun(Reason.BUDGET_SPENT, f"{left} tokens are left in the budget")
        return NotRun(Reason.BUDGET_UNAVAILABLE, "no grant could be opened in time")

    def _start_fetch(self, key: BudgetKey) -> None:
        need = self._need(key)
        if need.is_fetching or (self._is_closing and not need.waiting):
            return
        need.is_settled = trio.Event()
        self._nursery.start_soon(self._fetch, key, need)

    async def _fetch(self, key: BudgetKey, need: BudgetDemand) -> None:
        """Open grants until no request waits and the pool is filled."""
        try:
            while (budget := self._budget(key)) is not None:
                if not self.is_registered:
                    await self._borrow_until_registered(key, need)
                    return
                order = self.pool.order(
                    key,
                    budget=budget,
                    waiting_tokens=need.waiting_tokens,
                    now=self._timers.now(),
                )
                if order is not None:
                    await self._open(order, budget, need)
                elif need.waiting and not self._is_closing:
                    await trio.sleep(ORDER_POLL_S)
                else:
                    return
        finally:
            need.is_settled.set()

    async def _borrow_until_registered(
        self, key: BudgetKey, need: BudgetDemand
    ) -> None:
        """Serve waiting requests from loans while the store has no number for us."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._borrow_after_a_while, key, need)
            await self._registered.wait()
            nursery.cancel_scope.cancel()

    async def _open(
        self, order: GrantOrder, budget: Budget, need: BudgetDemand
    ) -> None:
        """Open a grant; borrows while the store doesn't answer."""
        result = None
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._borrow_after_a_while, order.key, need)
            await self._set_limit(order.key, budget)
            operation = order.operation
            if need.waiting:
                # One request that can be served is worth a grant.
                least = min(need.waiting.values())
                operation = msgspec.structs.replace(operation, minimum=least)
            result = (await self._ledger.submit(operation)).ok()
            nursery.cancel_scope.cancel()
        self._log_order(operation, result)
        match result:
            case GrantOpened(amount=amount) if (
                operation.holder != self.pool.incarnation
            ):
                # Opened for an incarnation that was fenced meanwhile: the pool
                # doesn't take it, so no run was ever paid by it.
                unused_id = f"{order.grant_id}-unused"
                unused = HandBack(order.key, order.grant_id, unused_id, amount)
                await self._ledger.submit(unused)
            case GrantOpened(amount=amount, available=available):
                self.pool.add_grant(
                    order.key, order.grant_id, amount, available=available
                )
                need.spent = None
                need.wake()
            case BudgetSpent(available=available):
                self.pool.refuse_order(order.key, order.grant_id, available=available)
                await self._find_tokens(order.key, result, need)
            case GrantMissing():
                # The ledger knows this incarnation as fenced.
                self.pool.refuse_order(order.key, order.grant_id, available=0)
                self.payer_was_fenced(order.operation.holder)
            case None:
                await trio.sleep(SPENT_RETRY_S)

    async def _find_tokens(
        self, key: BudgetKey, spent: BudgetSpent, need: BudgetDemand
    ) -> None:
        """Ask all holders to hand back what they don't use.

        Own free tokens are handed back too: those of several grants can't serve
        one reservation, but a new grant can hold them together.
        """
        if not need.waiting:
            return
        returned = await self._peers.request_hand_backs(key, spent.holders)
        returned += await self.hand_backs.hand_back_free(key)
        if returned:
            return
        need.spent = spent
        need.refusals += 1
        need.wake()
        if need.waiting:
            with trio.move_on_after(SPENT_RETRY_S):
                await need.changed.wait()

    async def _set_limit(self, key: BudgetKey, budget: Budget) -> None:
        """Tell the ledger the budget's limit once for each revision."""
        revision = self._revision()
        if self._limit_revision_by_key.get(key, -1) >= revision:
            return
        operation = SetLimit(budget=key, limit=budget.limit, revision=revision)
        if (await self._ledger.submit(operation)).is_ok():
            self._limit_revision_by_key[key] = revision

    async def _borrow_after_a_while(self, key: BudgetKey, need: BudgetDemand) -> None:
        """Borrow while an order isn't answered, as in an outage of the store."""
        if self._ledger.store_available:
            await trio.sleep(LOAN_AFTER_S)
        while True:
            arrived = need.arrived
            if need.waiting:
                wanted = need.waiting_tokens * LOAN_FACTOR
                for loan in await self._peers.request_loans(key, wanted):
                    self.pool.add_loan(loan)
                need.wake()
            with trio.move_on_after(LOAN_PERIOD_S):
                await arrived.wait()

    def _log_order(self, operation: OpenGrant, result: object) -> None:
        log_event(
            logger,
            "grant_ordered",
            budget=operation.budget,
            grant=operation.grant_id,
            amount=operation.amount,
            minimum=operation.minimum,
            result=type(result).__name__,
            granted=getattr(result, "amount", None),
            available=getattr(result, "available", None),
        )
        self._metrics.incr(f"grants.{type(result).__name__}")
