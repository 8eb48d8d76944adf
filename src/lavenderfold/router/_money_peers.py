"""What the grants need from other routers."""

from collections.abc import Iterable
from typing import Protocol

from lavenderfold.identifiers import BudgetKey
from lavenderfold.messages import Loan, LoanReturn


class MoneyPeers(Protocol):
    """Other routers as holders and lenders."""

    async def ask_hand_backs(self, key: BudgetKey, holders: Iterable[int]) -> int:
        """Ask holders to hand back; return the tokens that came back."""

    async def ask_loans(self, key: BudgetKey, tokens: int) -> list[Loan]:
        """Ask for loans of ``tokens`` in all; return those that were given."""

    def return_loans(self, returned: list[LoanReturn]) -> None:
        """Return the unused parts of loans to their lenders."""


class NoPeers:
    """Stands in for other routers where there are none."""

    async def ask_hand_backs(self, key: BudgetKey, holders: Iterable[int]) -> int:
        return 0

    async def ask_loans(self, key: BudgetKey, tokens: int) -> list[Loan]:
        return []

    def return_loans(self, returned: list[LoanReturn]) -> None:
        return
