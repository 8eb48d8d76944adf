"""What a router holds of one budget."""

from collections.abc import Callable

from lavenderfold.budgets._sizing import DrawRate
from lavenderfold.config import Budget
from lavenderfold.identifiers import BudgetKey
from lavenderfold.operations import HandBack, OpenGrant

# An operation that got no answer in this time is passed on again; it's safe to
# repeat, and a lost one would hold its tokens until the router is retired.
REPEAT_AFTER_S = 10.0
# How long a scarce budget isn't asked again for tokens that no request waits for.
SCARCE_PAUSE_S = 30.0


class Holding:
    """A grant or a loan: how many of its tokens are free, reserved or lent."""

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
    """An order without an answer yet, and when it was last passed on."""

    __slots__ = ("operation", "issued")

    def __init__(self, *, operation: OpenGrant, issued: float):
        self.operation = operation
        self.issued = issued


class PendingHandBack:
    """A hand-back not confirmed yet, and when it was last passed on."""

    __slots__ = ("operation", "issued")

    def __init__(self, *, operation: HandBack, issued: float):
        self.operation = operation
        self.issued = issued


class Account:
    """The holdings of one budget and the demand measured for it.

    ``unmet`` is the smallest reservation that failed since the last grant;
    ``available`` is what the ledger said was left at ``answered_at``.
    """

    __slots__ = (
        "key",
        "holdings",
        "rate",
        "typical",
        "drawn_at",
        "wanted_at",
        "unmet",
        "available",
        "order",
        "hand_backs",
        "answered_at",
    )

    def __init__(self, *, key: BudgetKey):
        self.key = key
        self.holdings: list[Holding] = []
        self.rate = DrawRate()
        self.typical = 0
        self.drawn_at: float | None = None
        self.wanted_at: float | None = None
        self.unmet: int | None = None
        self.available: int | None = None
        self.order: PendingOrder | None = None
        self.hand_backs: dict[str, PendingHandBack] = {}
        self.answered_at = 0.0

    @property
    def free(self) -> int:
        """Return the free tokens of the router's own grants."""
        return sum(holding.free for holding in self.own)

    @property
    def own(self) -> list[Holding]:
        return [holding for holding in self.holdings if not holding.loan_id]

    def is_idle(self, *, now: float, idle_s: float) -> bool:
        """Return whether nothing is held or under way and nothing was wanted."""
        if self.holdings or self.order is not None or self.hand_backs:
            return False
        return self.wanted_at is None or now - self.wanted_at >= idle_s

    def pick(self, tokens: int) -> Holding | None:
        """Return the holding that should pay: own before borrowed, tightest fit.

        The tightest fit leaves large holdings for large requests.
        """
        fitting = [holding for holding in self.holdings if holding.free >= tokens]
        if not fitting:
            return None
        return min(fitting, key=lambda holding: (holding.loan_id != "", holding.free))

    def drop_empty(self) -> None:
        self.holdings = [holding for holding in self.holdings if not holding.is_empty]

    def end_order(self, grant_id: str, available: int | None) -> None:
        """Note the answer to an order."""
        if self.order is None or self.order.operation.grant_id != grant_id:
            return
        self.answered_at = self.order.issued
        self.available = available
        self.order = None

    def minimum(self, waiting_tokens: int) -> int:
        """Return the least that is worth a grant."""
        if waiting_tokens <= 0:
            return max(1, self.typical)
        return min(waiting_tokens, self.unmet or waiting_tokens)

    def may_refill(self, budget: Budget, now: float) -> bool:
        """Return whether to order although no request waits.

        Near the end of a budget, when one grant's share of the rest is less than
        a request, the rest stays in the ledger for whoever has a request waiting.
        """
        if self.available is None or now - self.answered_at >= SCARCE_PAUSE_S:
            return True
        return self.available * budget.grant_share >= max(1, self.typical)

    def hand_back_due(self, now: float) -> list[HandBack]:
        """Return the hand-backs to pass on again."""
        due = [
            pending
            for pending in self.hand_backs.values()
            if now - pending.issued >= REPEAT_AFTER_S
        ]
        for pending in due:
            pending.issued = now
        return [pending.operation for pending in due]

    def hand_back(
        self, tokens: int, *, now: float, next_id: Callable[[], str]
    ) -> list[HandBack]:
        """Take free tokens out of own grants, smallest first, and close those."""
        operations = []
        for holding in sorted(self.own, key=lambda held: held.free):
            taken = min(tokens, holding.free)
            if taken <= 0:
                continue
            tokens -= taken
            holding.free -= taken
            operation = HandBack(self.key, holding.grant_id, next_id(), taken)
            self.hand_backs[operation.hand_back_id] = PendingHandBack(
                operation=operation, issued=now
            )
            operations.append(operation)
        self.drop_empty()
        return operations
