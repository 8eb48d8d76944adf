"""What requests need of one budget, and reservations of unknown outcome."""

import trio

from lavenderfold.budgets import BudgetSpent, Reservation


class BudgetDemand:
    """The requests that wait for tokens of one budget.

    ``spent`` is the ledger's last answer if that was a refusal; ``refusals``
    counts those after which the holders had been asked to hand back.
    """

    def __init__(self):
        self.waiting: dict[object, int] = {}
        self.changed = trio.Event()
        self.arrived = trio.Event()
        self.is_settled = trio.Event()
        self.is_settled.set()
        self.spent: BudgetSpent | None = None
        self.refusals = 0

    @property
    def is_fetching(self) -> bool:
        return not self.is_settled.is_set()

    @property
    def waiting_tokens(self) -> int:
        return sum(self.waiting.values())

    def add(self, tokens: int) -> object:
        """Add a waiting request; returns its key in ``waiting``."""
        ticket = object()
        self.waiting[ticket] = tokens
        self.arrived.set()
        self.arrived = trio.Event()
        return ticket

    def wake(self) -> None:
        self.changed.set()
        self.changed = trio.Event()


class HeldReservation:
    """A reservation that stays charged until one of its runs is accounted for."""

    __slots__ = ("reservation", "run_ids")

    def __init__(self, reservation: Reservation, run_ids: list[str]):
        self.reservation = reservation
        self.run_ids = run_ids
