"""The tokens that a router holds of one budget."""

from collections.abc import Callable

from lavenderfold.budgets._sizing import SpendRate
from lavenderfold.config import Budget
from lavenderfold.identifiers import BudgetKey
from lavenderfold.operations import HandBack, OpenGrant

# An operation without an answer after this time is submitted again. That is safe, and
# the tokens of a lost operation would stay set aside until the router is retired.
OPERATION_RETRY_S = 10.0
# After an answer showed that a budget is scarce, no tokens are ordered in advance for
# this time.
SCARCE_BUDGET_DELAY_S = 30.0


class Holding:
    """A grant or a loan that the router holds, and the state of its tokens.

    ``payer`` is the incarnation that the ledger gave the grant to. ``loan_id`` is
    empty for the router's own grants.
    """

    __slots__ = ("grant_id", "payer", "loan_id", "free", "reserved", "lent")

    def __init__(self, *, grant_id: str, payer: int, free: int, loan_id: str = ""):
        self.grant_id = grant_id
        self.payer = payer
        self.loan_id = loan_id
        self.free = free
        self.reserved = 0
        self.lent = 0

    @property
    def is_empty(self) -> bool:
        return self.free == self.reserved == self.lent == 0


class PendingOrder:
    """An order that has no answer yet, and when it was last submitted."""

    __slots__ = ("operation", "issued_at")

    def __init__(self, *, operation: OpenGrant, issued_at: float):
        self.operation = operation
        self.issued_at = issued_at


class PendingHandBack:
    """A hand-back that isn't confirmed yet, and when it was last submitted."""

    __slots__ = ("operation", "issued_at")

    def __init__(self, *, operation: HandBack, issued_at: float):
        self.operation = operation
        self.issued_at = issued_at


class Account:
    """The holdings of one budget and the demand measured for it.

    ``typical_reservation`` is the size of the last reservation requested, and
    ``smallest_unmet`` the smallest one that failed since the last grant. ``available``
    is what the ledger could still grant, as of the order issued at ``answered_at``.
    """

    __slots__ = (
        "key",
        "holdings",
        "spend_rate",
        "typical_reservation",
        "last_reserved_at",
        "last_requested_at",
        "smallest_unmet",
        "available",
        "order",
        "hand_backs",
        "answered_at",
    )

    def __init__(self, *, key: BudgetKey):
        self.key = key
        self.holdings: list[Holding] = []
        self.spend_rate = SpendRate()
        self.typical_reservation = 0
        self.last_reserved_at: float | None = None
        self.last_requested_at: float | None = None
        self.smallest_unmet: int | None = None
        self.available: int | None = None
        self.order: PendingOrder | None = None
        self.hand_backs: dict[str, PendingHandBack] = {}
        self.answered_at = 0.0

    @property
    def free(self) -> int:
        """Return the free tokens of the router's own grants."""
        return sum(holding.free for holding in self.own_grants)

    @property
    def own_grants(self) -> list[Holding]:
        return [holding for holding in self.holdings if not holding.loan_id]

    def is_idle(self, *, now: float, idle_s: float) -> bool:
        """Return whether nothing is held or pending, nor requested for ``idle_s``."""
        if self.holdings or self.order is not None or self.hand_backs:
            return False
        return self.last_requested_at is None or now - self.last_requested_at >= idle_s

    def find_holding(self, tokens: int) -> Holding | None:
        """Return the holding to reserve tokens from, or None if none has enough free.

        Own grants come before loans, and then the smallest that fits, which leaves
        large holdings for large requests.
        """
        fitting = [holding for holding in self.holdings if holding.free >= tokens]
        if not fitting:
            return None
        return min(fitting, key=lambda holding: (holding.loan_id != "", holding.free))

    def drop_empty(self) -> None:
        self.holdings = [holding for holding in self.holdings if not holding.is_empty]

    def end_order(self, grant_id: str, available: int | None) -> None:
        """Record that an order was answered; ignore the answers to earlier ones."""
        if self.order is None or self.order.operation.grant_id != grant_id:
            return
        self.answered_at = self.order.issued_at
        self.available = available
        self.order = None

    def minimum_grant(self, waiting_tokens: int) -> int:
        """Return the smallest useful size of a grant."""
        if waiting_tokens <= 0:
            return max(1, self.typical_reservation)
        return min(waiting_tokens, self.smallest_unmet or waiting_tokens)

    def may_refill(self, budget: Budget, now: float) -> bool:
        """Return whether to order tokens although no request is waiting.

        Near the end of a budget, when a grant's share of the available tokens is
        smaller than a request, these stay in the ledger for routers with waiting
        requests.
        """
        if self.available is None or now - self.answered_at >= SCARCE_BUDGET_DELAY_S:
            return True
        return self.available * budget.grant_share >= max(1, self.typical_reservation)

    def due_hand_backs(self, now: float) -> list[HandBack]:
        """Return the hand-backs that must be submitted again."""
        due = [
            pending
            for pending in self.hand_backs.values()
            if now - pending.issued_at >= OPERATION_RETRY_S
        ]
        for pending in due:
            pending.issued_at = now
        return [pending.operation for pending in due]

    def hand_back(
        self, tokens: int, *, now: float, next_id: Callable[[], str]
    ) -> list[HandBack]:
        """Remove up to ``tokens`` free tokens from own grants; return the hand-backs.

        The grants with the fewest free tokens come first, and empty ones are dropped.
        """
        operations = []
        for holding in sorted(self.own_grants, key=lambda held: held.free):
            taken = min(tokens, holding.free)
            if taken <= 0:
                continue
            tokens -= taken
            holding.free -= taken
            operation = HandBack(self.key, holding.grant_id, next_id(), taken)
            self.hand_backs[operation.hand_back_id] = PendingHandBack(
                operation=operation, issued_at=now
            )
            operations.append(operation)
        self.drop_empty()
        return operations
