"""The grants and loans that one router holds, and its reservations."""

from collections import OrderedDict

import msgspec

from lavenderfold.budgets._holdings import (
    REPEAT_AFTER_S,
    Account,
    Holding,
    PendingOrder,
)
from lavenderfold.budgets._operations import HandBack, OpenGrant
from lavenderfold.budgets._sizing import excess_tokens, order_tokens
from lavenderfold.config import Budget
from lavenderfold.identifiers import BudgetKey
from lavenderfold.messages import Loan, LoanReturn

# Ids of ended grants and loans; repeats arrive within seconds.
ENDED_IDS_KEPT = 4096


class Reservation(msgspec.Struct, frozen=True):
    """Tokens reserved for one run of a request, paid by ``payer``'s grant."""

    key: BudgetKey
    request_id: str
    grant_id: str
    payer: int
    tokens: int
    number: int = 0


class GrantOrder(msgspec.Struct, frozen=True):
    """A grant to be opened; ``operation`` is what the ledger is to do."""

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
    """What one router holds. Times are seconds of its monotonic clock.

    Every order, hand-back and loan has an id, and its answer may be reported
    more than once. A reservation that is neither settled nor cancelled, because
    nobody knows what its run used, keeps its tokens charged.
    """

    def __init__(self, *, incarnation: int):
        self.incarnation = incarnation
        self._accounts: dict[BudgetKey, Account] = {}
        self._open_by_number: dict[int, _OpenReservation] = {}
        self._lent_by_id: dict[str, _LentLoan] = {}
        self._ended: OrderedDict[str, None] = OrderedDict()
        self._fenced: set[int] = set()
        self._sequence = 0

    def reserve(
        self, key: BudgetKey, request_id: str, tokens: int, *, now: float
    ) -> Reservation | None:
        """Reserve the most that a run can use; None if no holding has it free."""
        account = self._account(key)
        account.typical = tokens
        account.wanted_at = now
        holding = account.pick(tokens)
        if holding is None:
            account.unmet = min(tokens, account.unmet or tokens)
            return None
        holding.free -= tokens
        holding.reserved += tokens
        account.rate.add(tokens, now=now)
        account.drawn_at = now
        number = self._next_number()
        self._open_by_number[number] = _OpenReservation(
            account=account, holding=holding
        )
        return Reservation(
            key, request_id, holding.grant_id, holding.payer, tokens, number
        )

    def settle(self, reservation: Reservation, tokens: int) -> None:
        """End a run that used ``tokens``; the unused part is free again."""
        self._end(reservation, used=tokens)

    def cancel(self, reservation: Reservation) -> None:
        """End a reservation whose request was certainly not run."""
        self._end(reservation, used=0)

    def refund(self, reservation: Reservation, tokens: int) -> None:
        """Free tokens of a settled run that the ledger found already billed."""
        if tokens <= 0 or reservation.payer in self._fenced:
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
        account.unmet = None
        if grant_id in self._ended or self.incarnation in self._fenced:
            return
        self._remember_end(grant_id)
        if amount > 0:
            account.holdings.append(
                Holding(grant_id=grant_id, payer=self.incarnation, free=amount)
            )

    def refuse_order(self, key: BudgetKey, grant_id: str, *, available: int) -> None:
        """Note that the ledger refused an order: ``available`` is too little."""
        self._account(key).end_order(grant_id, available)

    def order(
        self, key: BudgetKey, *, budget: Budget, waiting_tokens: int, now: float
    ) -> GrantOrder | None:
        """Return the grant to open next, or None if none is needed.

        An order that got no answer is returned again, unchanged, after a while.
        """
        if self.incarnation in self._fenced:
            return None
        account = self._account(key)
        pending = account.order
        if pending is not None:
            if now - pending.issued < REPEAT_AFTER_S:
                return None
            pending.issued = now
            return GrantOrder(pending.operation)
        amount = order_tokens(
            rate=account.rate.per_second(now=now),
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
            minimum=account.minimum(waiting_tokens),
            share=budget.grant_share,
        )
        account.order = PendingOrder(operation=operation, issued=now)
        return GrantOrder(operation)

    def surplus(
        self, key: BudgetKey, *, budget: Budget, now: float, pressed: bool = False
    ) -> list[HandBack]:
        """Return what to hand back; the tokens can't be reserved any more.

        With ``pressed``, because another router lacks money, all free tokens are
        handed back. One without confirmation is returned again after a while.
        """
        account = self._accounts.get(key)
        if account is None:
            return []
        if account.drawn_at is None:
            account.drawn_at = now
        idle_s = now - account.drawn_at
        excess = account.free
        if not pressed:
            excess = excess_tokens(
                rate=account.rate.per_second(now=now),
                ride_out_s=budget.ride_out_s,
                idle_s=idle_s,
                free=account.free,
                typical=account.typical,
            )
        due = account.hand_back_due(now)
        due += account.hand_back(excess, now=now, next_id=self._next_id)
        if account.is_idle(now=now, idle_s=budget.ride_out_s):
            del self._accounts[key]
        return due

    def confirm_hand_back(self, hand_back: HandBack) -> None:
        """Note that a hand-back is durable."""
        account = self._accounts.get(hand_back.budget)
        if account is not None:
            account.hand_backs.pop(hand_back.hand_back_id, None)

    def lend(self, key: BudgetKey, tokens: int, loan_id: str) -> Loan:
        """Lend up to ``tokens`` of one own grant; zero if there are none.

        The same ``loan_id`` gets the same loan.
        """
        known = self._lent_by_id.get(loan_id)
        if known is not None:
            return known.loan
        account = self._accounts.get(key)
        candidates = [] if account is None else account.own
        holding = max(candidates, key=lambda held: held.free, default=None)
        if holding is None or holding.free == 0 or loan_id in self._ended:
            return Loan(loan_id, key, "", self.incarnation, 0)
        amount = min(tokens, holding.free)
        loan = Loan(loan_id, key, holding.grant_id, self.incarnation, amount)
        holding.free -= amount
        holding.lent += amount
        self._lent_by_id[loan_id] = _LentLoan(
            loan=loan, account=account, holding=holding
        )
        return loan

    def take_back(self, loan_return: LoanReturn) -> None:
        """Free the unused part of a loan; a repeat changes nothing."""
        lent = self._lent_by_id.pop(loan_return.loan_id, None)
        if lent is None:
            return
        self._remember_end(loan_return.loan_id)
        lent.holding.lent -= lent.loan.tokens
        lent.holding.free += min(max(0, loan_return.tokens), lent.loan.tokens)
        lent.account.drop_empty()

    def add_loan(self, loan: Loan) -> None:
        """Add a loan from another router; a repeat changes nothing."""
        if loan.tokens <= 0 or loan.payer in self._fenced:
            return
        if loan.loan_id in self._ended:
            return
        self._remember_end(loan.loan_id)
        self._account(loan.key).holdings.append(
            Holding(
                grant_id=loan.grant_id,
                payer=loan.payer,
                free=loan.tokens,
                loan_id=loan.loan_id,
            )
        )

    def return_loans(self, key: BudgetKey) -> list[LoanReturn]:
        """Return the unused part of each loan that no reservation is open on."""
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
        """Forget what ``payer`` pays for, because that incarnation was fenced.

        If it's the pool's own, set ``incarnation`` to a new one to go on.
        """
        self._fenced.add(payer)
        for account in self._accounts.values():
            account.holdings = [
                holding for holding in account.holdings if holding.payer != payer
            ]
            if payer == self.incarnation:
                self._drop_pending(account)
        self._open_by_number = {
            number: opened
            for number, opened in self._open_by_number.items()
            if opened.holding.payer != payer
        }
        self._lent_by_id = {
            loan_id: lent
            for loan_id, lent in self._lent_by_id.items()
            if lent.loan.payer != payer
        }

    def free(self, key: BudgetKey) -> int:
        """Return the tokens that can be reserved, in all holdings together."""
        return sum(self.free_by_grant(key).values())

    def free_by_grant(self, key: BudgetKey) -> dict[str, int]:
        """Return the tokens that can be reserved, by the grant that pays."""
        account = self._accounts.get(key)
        free: dict[str, int] = {}
        for holding in account.holdings if account else ():
            free[holding.grant_id] = free.get(holding.grant_id, 0) + holding.free
        return free

    def held_by_grant(self, key: BudgetKey) -> dict[str, int]:
        """Return the tokens of own grants: free, reserved and lent."""
        account = self._accounts.get(key)
        held: dict[str, int] = {}
        for holding in account.own if account else ():
            tokens = holding.free + holding.reserved + holding.lent
            held[holding.grant_id] = held.get(holding.grant_id, 0) + tokens
        return held

    def keys(self) -> list[BudgetKey]:
        """Return the budgets of which something is held, ordered or handed back."""
        return list(self._accounts)

    def _account(self, key: BudgetKey) -> Account:
        account = self._accounts.get(key)
        if account is None:
            account = self._accounts[key] = Account(key=key)
        return account

    def _end(self, reservation: Reservation, *, used: int) -> None:
        opened = self._open_by_number.pop(reservation.number, None)
        if opened is None:
            return
        unused = max(0, reservation.tokens - used)
        holding = opened.holding
        holding.reserved -= reservation.tokens
        holding.free += unused
        opened.account.rate.take_back(unused)
        opened.account.drop_empty()

    def _drop_pending(self, account: Account) -> None:
        # A grant that is opened late belongs to the fenced incarnation.
        if account.order is not None:
            self._remember_end(account.order.operation.grant_id)
        account.order = None
        account.hand_backs.clear()

    def _next_number(self) -> int:
        self._sequence += 1
        return self._sequence

    def _next_id(self) -> str:
        return f"{self.incarnation}-{self._next_number()}"

    def _remember_end(self, name: str) -> None:
        self._ended[name] = None
        if len(self._ended) > ENDED_IDS_KEPT:
            self._ended.popitem(last=False)
