"""Reserves tokens for requests and obtains grants and loans to cover them."""

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

# A grant order may take this long before other routers are asked for a loan.
LOAN_DELAY_S = 0.5
LOAN_RETRY_S = 1.0
# Borrowing for several requests at once saves each of them a round trip.
LOAN_FACTOR = 4
# While requests wait for a spent budget, the ledger is asked again at this
# interval, or earlier when tokens are known to have been returned.
SPENT_RETRY_S = 0.5
ORDER_POLL_S = 0.1
# Number of runs whose reported usage is remembered. A report is needed until its
# run ends here, because the report may arrive first.
REPORTED_RUNS_LIMIT = 4096

logger = logging.getLogger("lavenderfold.router.grants")


class GrantManager:
    """Reserves tokens for requests and orders grants to keep the pool filled."""

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
        self._on_own_fenced = on_own_fenced
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
        self._demand_by_key: dict[BudgetKey, BudgetDemand] = {}
        self._limit_revision_by_key: dict[BudgetKey, int] = {}
        self._held_reservation_by_run_id: dict[str, HeldReservation] = {}
        self._reported_tokens_by_run_id: OrderedDict[str, int] = OrderedDict()

    @property
    def is_registered(self) -> bool:
        """Whether this router has an incarnation, which it needs to hold grants."""
        return self.pool.incarnation > 0

    def set_incarnation(self, incarnation: int) -> None:
        """Open new grants in the name of ``incarnation`` from now on."""
        self.pool.incarnation = incarnation
        self._registered.set()
        self.wake_all()

    async def reserve(
        self, request: RequestKey, tokens: int, *, deadline: float
    ) -> Reservation | NotRun:
        """Reserve tokens, waiting for them at most until ``deadline``.

        Returns a refusal when the ledger reports that the budget is spent and that
        no router holds a grant of it, or when the deadline passes.
        """
        if tokens == 0:
            payer = self.pool.incarnation
            return Reservation(request.budget, request.request_id, "", payer, 0)
        reservation = self._try_reserve(request, tokens)
        if reservation is not None:
            self._start_ordering(request.budget)
            return reservation
        demand = self._demand(request.budget)
        refusal_count = demand.refusal_count
        ticket = demand.add(tokens)
        try:
            while True:
                self._start_ordering(request.budget)
                tokens_changed = demand.tokens_changed
                with trio.move_on_after(max(0.0, deadline - self._timers.now())):
                    await tokens_changed.wait()
                reservation = self._try_reserve(request, tokens)
                if reservation is not None:
                    return reservation
                if self._is_exhausted(demand, refusal_count):
                    return self._make_refusal(demand)
                if self._timers.now() >= deadline:
                    return self._make_refusal(demand)
        finally:
            del demand.waiting[ticket]

    def settle(self, reservation: Reservation, tokens: int) -> None:
        """End the reservation of a run that used ``tokens``."""
        if reservation.tokens:
            self.pool.settle(reservation, tokens)
            self._notify_tokens_freed(reservation.key)

    def cancel(self, reservation: Reservation) -> None:
        """End a reservation whose request was certainly not run."""
        if reservation.tokens:
            self.pool.cancel(reservation)
            self._notify_tokens_freed(reservation.key)

    def refund(self, reservation: Reservation, tokens: int) -> None:
        """Return the tokens of a settled run whose request was already billed."""
        self.pool.refund(reservation, max(0, tokens))
        self._demand(reservation.key).wake()

    def hold_until_reported(
        self, reservation: Reservation, *, run_ids: list[str]
    ) -> None:
        """Keep a reservation charged until an agent reports usage of its runs."""
        for run_id in run_ids:
            if run_id in self._reported_tokens_by_run_id:
                self.settle(reservation, self._reported_tokens_by_run_id[run_id])
                return
        for run_id in run_ids:
            self._held_reservation_by_run_id[run_id] = HeldReservation(
                reservation, run_ids
            )

    def has_reported_usage(self, run_ids: list[str]) -> bool:
        """Return whether an agent reported usage of one of these runs."""
        return any(run_id in self._reported_tokens_by_run_id for run_id in run_ids)

    def usage_reported(self, run_id: str, tokens: int) -> None:
        """Record the usage of a run and settle its reservation if that is held."""
        self._reported_tokens_by_run_id[run_id] = tokens
        if len(self._reported_tokens_by_run_id) > REPORTED_RUNS_LIMIT:
            self._reported_tokens_by_run_id.popitem(last=False)
        held = self._held_reservation_by_run_id.get(run_id)
        if held is not None:
            for each in held.run_ids:
                self._held_reservation_by_run_id.pop(each, None)
            self.settle(held.reservation, tokens)

    def payer_was_fenced(self, payer: int) -> None:
        """Drop the grants and loans of a fenced incarnation.

        If it is this router's own, the router registers again.
        """
        if payer == self.pool.incarnation:
            self._on_own_fenced(payer)
        self.pool.drop_all(payer)

    def wake_all(self) -> None:
        """Let waiting requests try again, for example after a new configuration."""
        for demand in self._demand_by_key.values():
            demand.wake()

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

    def accept_loan_return(self, returned: LoanReturn) -> None:
        """Add the unused part of a loan that this router gave to its free tokens."""
        log_event(
            logger, "loan_returned", loan=returned.loan_id, tokens=returned.tokens
        )
        self.pool.accept_loan_return(returned)
        self.wake_all()

    async def maintain(self) -> None:
        """Order grants, hand back surplus tokens and return unused loans."""
        held = self.pool.keys()
        for key in self._demand_by_key.keys() - set(held):
            demand = self._demand_by_key[key]
            if not demand.waiting and not demand.is_ordering:
                del self._demand_by_key[key]
        for key in held:
            budget = self._budget(key)
            if budget is None:
                # The budget was removed from the configuration, so that no request
                # spends from it here.
                await self._hand_back_budget(key)
                continue
            self._start_ordering(key)
            await self.hand_backs.hand_back_surplus(key, budget)
            if not self._ledger.store_available:
                continue
            # Returns that couldn't be sent are tried again when a link opens or closes.
            if returned := self.pool.return_loans(key):
                self._peers.return_loans(returned)

    def tokens_returned(self, key: BudgetKey) -> None:
        """Wake waiting requests, because another router handed tokens back."""
        if key in self._demand_by_key:
            self._demand_by_key[key].wake()

    async def hand_back_everything(self) -> None:
        """Hand back all free tokens and loans, before the router exits."""
        self._is_closing = True
        for demand in list(self._demand_by_key.values()):
            # A grant that opens after the hand-back would stay held after exit.
            await demand.ordering_ended.wait()
        held = self.pool.keys()
        for key in held:
            await self._hand_back_budget(key)

    async def _hand_back_budget(self, key: BudgetKey) -> None:
        """Return the loans of a budget and hand back all of its free tokens."""
        self._peers.return_loans(self.pool.return_loans(key))
        await self.hand_backs.hand_back_all(key)

    def _try_reserve(self, request: RequestKey, tokens: int) -> Reservation | None:
        key, now = request.budget, self._timers.now()
        return self.pool.reserve(key, request.request_id, tokens, now=now)

    def _notify_tokens_freed(self, key: BudgetKey) -> None:
        demand = self._demand(key)
        demand.wake()
        if not demand.waiting:
            self.hand_backs.hand_back_freed_tokens(key)

    def _demand(self, key: BudgetKey) -> BudgetDemand:
        return self._demand_by_key.setdefault(key, BudgetDemand())

    def _budget(self, key: BudgetKey) -> Budget | None:
        organisation = self._config().organisations.get(key.organisation)
        return organisation.budgets.get(key.budget) if organisation else None

    def _is_exhausted(self, demand: BudgetDemand, refusal_count: int) -> bool:
        """Return whether the budget is spent and no open grant can return tokens."""
        if demand.last_refusal is None or demand.refusal_count == refusal_count:
            return False
        # The ledger lists this router as a holder while its runs, settlements or
        # hand-backs are in progress; the local pool doesn't show all of those.
        return not demand.last_refusal.holders

    def _make_refusal(self, demand: BudgetDemand) -> NotRun:
        if demand.last_refusal is not None:
            available_tokens = demand.last_refusal.available
            if available_tokens > 0 or demand.last_refusal.holders:
                # Tokens that other routers hold, or that are too few for this
                # request, may turn out to be unspent. The refusal would then
                # have been wrong.
                self._metrics.incr("false_refusal_candidates")
            return NotRun(
                Reason.BUDGET_SPENT, f"{available_tokens} tokens are left in the budget"
            )
        return NotRun(Reason.BUDGET_UNAVAILABLE, "no grant could be opened in time")

    def _start_ordering(self, key: BudgetKey) -> None:
        demand = self._demand(key)
        if demand.is_ordering or (self._is_closing and not demand.waiting):
            return
        demand.ordering_ended = trio.Event()
        self._nursery.start_soon(self._order_grants, key, demand)

    async def _order_grants(self, key: BudgetKey, demand: BudgetDemand) -> None:
        """Order grants until no request waits and the pool is filled."""
        try:
            while (budget := self._budget(key)) is not None:
                if not self.is_registered:
                    await self._borrow_until_registered(key, demand)
                    return
                order = self.pool.order(
                    key,
                    budget=budget,
                    waiting_tokens=demand.waiting_tokens,
                    now=self._timers.now(),
                )
                if order is not None:
                    await self._open_grant(order, budget, demand)
                elif demand.waiting and not self._is_closing:
                    await trio.sleep(ORDER_POLL_S)
                else:
                    return
        finally:
            demand.ordering_ended.set()

    async def _borrow_until_registered(
        self, key: BudgetKey, demand: BudgetDemand
    ) -> None:
        """Serve waiting requests from loans until this router has an incarnation."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._borrow_after_delay, key, demand)
            await self._registered.wait()
            nursery.cancel_scope.cancel()

    async def _open_grant(
        self, order: GrantOrder, budget: Budget, demand: BudgetDemand
    ) -> None:
        """Open a grant in the ledger; borrows tokens while the store doesn't answer."""
        result = None
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._borrow_after_delay, order.key, demand)
            await self._set_limit(order.key, budget)
            operation = order.operation
            if demand.waiting:
                # A grant that covers only the smallest waiting request is still
                # useful.
                smallest = min(demand.waiting.values())
                operation = msgspec.structs.replace(operation, minimum=smallest)
            result = (await self._ledger.submit(operation)).ok()
            nursery.cancel_scope.cancel()
        self._log_order(operation, result)
        match result:
            case GrantOpened(amount=amount) if (
                operation.holder != self.pool.incarnation
            ):
                # The grant was opened for an incarnation that was fenced in the
                # meantime. The pool doesn't take it, so that no run spent from it.
                unused_id = f"{order.grant_id}-unused"
                unused = HandBack(order.key, order.grant_id, unused_id, amount)
                await self._ledger.submit(unused)
            case GrantOpened(amount=amount, available=available):
                self.pool.add_grant(
                    order.key, order.grant_id, amount, available=available
                )
                demand.last_refusal = None
                demand.wake()
            case BudgetSpent(available=available):
                self.pool.refuse_order(order.key, order.grant_id, available=available)
                await self._collect_unused_tokens(order.key, result, demand)
            case GrantMissing():
                # The ledger knows this incarnation as fenced.
                self.pool.refuse_order(order.key, order.grant_id, available=0)
                self.payer_was_fenced(order.operation.holder)
            case None:
                await trio.sleep(SPENT_RETRY_S)

    async def _collect_unused_tokens(
        self, key: BudgetKey, last_refusal: BudgetSpent, demand: BudgetDemand
    ) -> None:
        """Ask all holders to hand back the tokens that they don't use.

        This router's free tokens are handed back too: one reservation can't spend
        from several grants, but a new grant can contain all of their tokens.
        """
        if not demand.waiting:
            return
        returned = await self._peers.request_hand_backs(key, last_refusal.holders)
        returned += await self.hand_backs.hand_back_free(key)
        if returned:
            return
        demand.last_refusal = last_refusal
        demand.refusal_count += 1
        demand.wake()
        if demand.waiting:
            with trio.move_on_after(SPENT_RETRY_S):
                await demand.tokens_changed.wait()

    async def _set_limit(self, key: BudgetKey, budget: Budget) -> None:
        """Write the budget's limit to the ledger once for each revision."""
        revision = self._revision()
        if self._limit_revision_by_key.get(key, -1) >= revision:
            return
        operation = SetLimit(budget=key, limit=budget.limit, revision=revision)
        if (await self._ledger.submit(operation)).is_ok():
            self._limit_revision_by_key[key] = revision

    async def _borrow_after_delay(self, key: BudgetKey, demand: BudgetDemand) -> None:
        """Borrow while an order has no answer, for example in a store outage."""

        def take(loan: Loan) -> None:
            self.pool.add_loan(loan)
            demand.wake()

        if self._ledger.store_available:
            await trio.sleep(LOAN_DELAY_S)
        while True:
            request_added = demand.request_added
            if demand.waiting:
                wanted = demand.waiting_tokens * LOAN_FACTOR
                await self._peers.request_loans(key, wanted, take)
            with trio.move_on_after(LOAN_RETRY_S):
                await request_added.wait()

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
