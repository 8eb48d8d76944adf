"""Manages the grants and loans that one router holds, and its reservations."""

from collections import OrderedDict

import msgspec

from lavenderfold.budgets._holdings import (
    OPERATION_RETRY_S,
    Account,
    Holding,
    PendingOrder,
)
from lavenderfold.budgets._sizing import excess_tokens, order_tokens
from lavenderfold.config import Budget
from lavenderfold.identifiers import BudgetKey
from lavenderfold.messages import Loan, LoanReturn
from lavenderfold.operations import HandBack, OpenGrant

# How many ids of received or ended grants and loans are kept to recognise repeated
# messages, which arrive within seconds.
MAX_ENDED_IDS = 4096


class Reservation(msgspec.Struct, frozen=True):
    """Tokens reserved for one run of a request from a grant of ``payer``."""

    key: BudgetKey
    request_id: str
    grant_id: str
    payer: int
    tokens: int
    number: int = 0


class GrantOrder(msgspec.Struct, frozen=True):
    """An order for a grant; ``operation`` is the one to submit to the ledger."""

    operation: OpenGrant

    @property
    def key(self) -> BudgetKey:
        return self.operation.budget

    @property
    def grant_id(self) -> str:
        return self.operation.grant_id

    @property
    def amount(self) -> int:
        return self.operation.amount

    @property
    def minimum(self) -> int:
        return self.operation.minimum


class _OpenReservation:
    __slots__ = ("account", "holding")

    def __init__(self, *, account: Account, holding: Holding):
        self.account = account
        self.holding = holding


class _LentLoan:
    __slots__ = ("loan", "account", "holding")

    def __init__(self, *, loan: Loan, account: Account, holding: Holding):
        self.loan = loan
        self.account = account
        self.holding = holding


class GrantPool:
    """The grants, loans and reservations of one router.

    Times are in seconds of the router's monotonic clock. Every order, hand-back and
    loan has an id, so the answer to it may be reported more than once. A reservation
    that is neither settled nor cancelled, because the usage of its run is unknown,
    keeps its tokens charged.
    """

    def __init__(self, *, incarnation: int):
        self.incarnation = incarnation
        self._accounts: dict[BudgetKey, Account] = {}
        self._open_reservation_by_number: dict[int, _OpenReservation] = {}
        self._lent_loan_by_id: dict[str, _LentLoan] = {}
        self._ended_ids: OrderedDict[str, None] = OrderedDict()
        self._fenced_incarnations: set[int] = set()
        self._last_number = 0

    @property
    def grant_sequence(self) -> int:
        """Return a number that only grants ordered from now on will exceed."""
        return self._last_number

    def reserve(
        self, key: BudgetKey, request_id: str, tokens: int, *, now: float
    ) -> Reservation | None:
        """Reserve the most that a run can use.

        Returns None if no single holding has enough free tokens.
        """
        account = self._account(key)
        account.typical_reservation = tokens
        account.last_requested_at = now
        holding = account.find_holding(tokens)
        if holding is None:
            account.smallest_unmet = min(tokens, account.smallest_unmet or tokens)
            return None
        holding.free -= tokens
        holding.reserved += tokens
        account.spend_rate.add(tokens, now=now)
        account.last_reserved_at = now
        number = self._next_number()
        self._open_reservation_by_number[number] = _OpenReservation(
            account=account, holding=holding
        )
        return Reservation(
            key, request_id, holding.grant_id, holding.payer, tokens, number
        )

    def settle(self, reservation: Reservation, tokens: int) -> None:
        """End a reservation whose run used ``tokens``; the others become free again."""
        self._end_reservation(reservation, used=tokens)

    def cancel(self, reservation: Reservation) -> None:
        """End a reservation whose request was certainly not run."""
        self._end_reservation(reservation, used=0)

    def refund(self, reservation: Reservation, tokens: int) -> None:
        """Free tokens of a settled run if its request had already been billed."""
        if tokens <= 0 or reservation.payer in self._fenced_incarnations:
            return
        account = self._account(reservation.key)
        for holding in account.holdings:
            if holding.grant_id == reservation.grant_id:
                holding.free += tokens
                return
        if reservation.payer == self.incarnation:
            account.holdings.append(
                Holding(
                    grant_id=reservation.grant_id,
                    payer=reservation.payer,
                    free=tokens,
                )
            )

    def add_grant(
        self,
        key: BudgetKey,
        grant_id: str,
        amount: int,
        *,
        available: int | None = None,
    ) -> None:
        """Add a grant that the ledger opened; a repeat changes nothing."""
        account = self._account(key)
        account.end_order(grant_id, available)
        account.smallest_unmet = None
        if grant_id in self._ended_ids or self.incarnation in self._fenced_incarnations:
            return
        self._remember_ended_id(grant_id)
        if amount > 0:
            account.holdings.append(
                Holding(grant_id=grant_id, payer=self.incarnation, free=amount)
            )

    def refuse_order(self, key: BudgetKey, grant_id: str, *, available: int) -> None:
        """End an order that the ledger refused because only ``available`` are left."""
        self._account(key).end_order(grant_id, available)

    def order(
        self, key: BudgetKey, *, budget: Budget, waiting_tokens: int, now: float
    ) -> GrantOrder | None:
        """Return the next order for a grant, or None if none is needed.

        An order without an answer is returned again, unchanged, after
        OPERATION_RETRY_S.
        """
        if self.incarnation in self._fenced_incarnations:
            return None
        account = self._account(key)
        pending = account.order
        if pending is not None:
            if now - pending.issued_at < OPERATION_RETRY_S:
                return None
            pending.issued_at = now
            return GrantOrder(pending.operation)
        amount = order_tokens(
            rate=account.spend_rate.per_second(now=now),
            ride_out_s=budget.ride_out_s,
            free=account.free,
            waiting_tokens=waiting_tokens,
        )
        if amount <= 0:
            return None
        if waiting_tokens <= 0 and not account.may_refill(budget, now):
            return None
        operation = OpenGrant(
            budget=key,
            grant_id=self._next_id(),
            holder=self.incarnation,
            amount=amount,
            minimum=account.minimum_grant(waiting_tokens),
            share=budget.grant_share,
        )
        account.order = PendingOrder(operation=operation, issued_at=now)
        return GrantOrder(operation)

    def issue_hand_backs(
        self, key: BudgetKey, *, budget: Budget, now: float, all_free: bool = False
    ) -> list[HandBack]:
        """Take tokens out of the pool and return the hand-backs to submit.

        These are the free tokens that exceed the measured demand, or all free tokens
        with ``all_free``, which is set for example when another router lacks tokens.
        An unconfirmed hand-back is returned again after OPERATION_RETRY_S.
        """
        account = self._accounts.get(key)
        if account is None:
            return []
        if account.last_reserved_at is None:
            account.last_reserved_at = now
        idle_s = now - account.last_reserved_at
        excess = account.free
        if not all_free:
            excess = excess_tokens(
                rate=account.spend_rate.per_second(now=now),
                ride_out_s=budget.ride_out_s,
                idle_s=idle_s,
                free=account.free,
                typical_reservation=account.typical_reservation,
            )
        due = account.due_hand_backs(now)
        due += account.hand_back(excess, now=now, next_id=self._next_id)
        if account.is_idle(now=now, idle_s=budget.ride_out_s):
            del self._accounts[key]
        return due

    def confirm_hand_back(self, hand_back: HandBack) -> None:
        """Record that a hand-back was written to the ledger."""
        account = self._accounts.get(hand_back.budget)
        if account is not None:
            account.hand_backs.pop(hand_back.hand_back_id, None)

    def awaits_confirmation(self, key: BudgetKey) -> bool:
        """Return whether a hand-back of the budget isn't confirmed yet."""
        account = self._accounts.get(key)
        return account is not None and bool(account.hand_backs)

    def lend(self, key: BudgetKey, tokens: int, loan_id: str) -> Loan:
        """Lend up to ``tokens`` from one own grant, or zero if none has free tokens.

        A repeated call with the same ``loan_id`` returns the same loan.
        """
        known = self._lent_loan_by_id.get(loan_id)
        if known is not None:
            return known.loan
        account = self._accounts.get(key)
        candidates = [] if account is None else account.own_grants
        holding = max(candidates, key=lambda held: held.free, default=None)
        if holding is None or holding.free == 0 or loan_id in self._ended_ids:
            return Loan(loan_id, key, "", self.incarnation, 0)
        amount = min(tokens, holding.free)
        loan = Loan(loan_id, key, holding.grant_id, self.incarnation, amount)
        holding.free -= amount
        holding.lent += amount
        self._lent_loan_by_id[loan_id] = _LentLoan(
            loan=loan, account=account, holding=holding
        )
        return loan

    def accept_loan_return(self, loan_return: LoanReturn) -> None:
        """Free the unused tokens of a returned loan; a repeat changes nothing.

        A loan that is returned before it was asked for, which may happen if the two
        messages come over different links, isn't given any more.
        """
        self._remember_ended_id(loan_return.loan_id)
        lent = self._lent_loan_by_id.pop(loan_return.loan_id, None)
        if lent is None:
            return
        lent.holding.lent -= lent.loan.tokens
        lent.holding.free += min(max(0, loan_return.tokens), lent.loan.tokens)
        lent.account.drop_empty()

    def add_loan(self, loan: Loan) -> None:
        """Add a loan from another router; a repeat changes nothing."""
        if loan.tokens <= 0 or loan.payer in self._fenced_incarnations:
            return
        if loan.loan_id in self._ended_ids:
            return
        self._remember_ended_id(loan.loan_id)
        self._account(loan.key).holdings.append(
            Holding(
                grant_id=loan.grant_id,
                payer=loan.payer,
                free=loan.tokens,
                loan_id=loan.loan_id,
            )
        )

    def return_loans(self, key: BudgetKey) -> list[LoanReturn]:
        """Return the unused tokens of each loan that has no open reservation."""
        account = self._accounts.get(key)
        if account is None:
            return []
        returned = []
        for holding in account.holdings:
            if holding.loan_id and not holding.reserved:
                returned.append(LoanReturn(holding.loan_id, holding.free))
                holding.free = 0
        account.drop_empty()
        return returned

    def drop_all(self, payer: int) -> None:
        """Drop all holdings and reservations paid by ``payer``, which was fenced.

        If that is the pool's own incarnation, set ``incarnation`` to a new one before
        ordering again.
        """
        self._fenced_incarnations.add(payer)
        for account in self._accounts.values():
            account.holdings = [
                holding for holding in account.holdings if holding.payer != payer
            ]
            if payer == self.incarnation:
                self._drop_pending(account)
        self._open_reservation_by_number = {
            number: opened
            for number, opened in self._open_reservation_by_number.items()
            if opened.holding.payer != payer
        }
        self._lent_loan_by_id = {
            loan_id: lent
            for loan_id, lent in self._lent_loan_by_id.items()
            if lent.loan.payer != payer
        }

    def free(self, key: BudgetKey) -> int:
        """Return the free tokens of all holdings."""
        return sum(self.free_by_grant(key).values())

    def free_by_grant(self, key: BudgetKey) -> dict[str, int]:
        """Return the free tokens of all holdings, by grant id."""
        account = self._accounts.get(key)
        free: dict[str, int] = {}
        for holding in account.holdings if account else ():
            free[holding.grant_id] = free.get(holding.grant_id, 0) + holding.free
        return free

    def held_by_grant(self, key: BudgetKey) -> dict[str, int]:
        """Return the free, reserved and lent tokens of own grants, by grant id."""
        account = self._accounts.get(key)
        held: dict[str, int] = {}
        for holding in account.own_grants if account else ():
            tokens = holding.free + holding.reserved + holding.lent
            held[holding.grant_id] = held.get(holding.grant_id, 0) + tokens
        return held

    def keys(self) -> list[BudgetKey]:
        """Return the budgets with holdings, pending operations or recent demand."""
        return list(self._accounts)

    def _account(self, key: BudgetKey) -> Account:
        account = self._accounts.get(key)
        if account is None:
            account = self._accounts[key] = Account(key=key)
        return account

    def _end_reservation(self, reservation: Reservation, *, used: int) -> None:
        opened = self._open_reservation_by_number.pop(reservation.number, None)
        if opened is None:
            return
        unused = max(0, reservation.tokens - used)
        holding = opened.holding
        holding.reserved -= reservation.tokens
        holding.free += unused
        opened.account.spend_rate.subtract_unused(unused)
        opened.account.drop_empty()

    def _drop_pending(self, account: Account) -> None:
        # The grant belongs to the fenced incarnation even if it is opened later, so it
        # must not be added then.
        if account.order is not None:
            self._remember_ended_id(account.order.operation.grant_id)
        account.order = None
        account.hand_backs.clear()

    def _next_number(self) -> int:
        self._last_number += 1
        return self._last_number

    def _next_id(self) -> str:
        return f"{self.incarnation}-{self._next_number()}"

    def _remember_ended_id(self, ended_id: str) -> None:
        self._ended_ids[ended_id] = None
        if len(self._ended_ids) > MAX_ENDED_IDS:
            self._ended_ids.popitem(last=False)


def grant_number(grant_id: str) -> int:
    """Return the number of a grant, which increases with each grant ordered."""
    return int(grant_id.rpartition("-")[2])
