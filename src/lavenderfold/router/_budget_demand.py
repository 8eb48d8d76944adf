"""Requests that wait for tokens of a budget, and reservations of unknown usage."""

import trio

from lavenderfold.budgets import BudgetSpent, Reservation


class BudgetDemand:
    """The requests that wait for tokens of one budget.

    ``waiting`` maps the ticket of each waiting request to the tokens it needs.
    ``last_refusal`` is the ledger's latest answer to an order if it was a refusal.
    ``refusal_count`` counts the refusals after which the holders were asked to
    hand back tokens and returned none.
    """

    def __init__(self):
        self.waiting: dict[object, int] = {}
        self.tokens_changed = trio.Event()
        self.request_added = trio.Event()
        self.ordering_ended = trio.Event()
        self.ordering_ended.set()
        self.last_refusal: BudgetSpent | None = None
        self.refusal_count = 0

    @property
    def is_ordering(self) -> bool:
        return not self.ordering_ended.is_set()

    @property
    def waiting_tokens(self) -> int:
        return sum(self.waiting.values())

    def add(self, tokens: int) -> object:
        """Add a waiting request and return its ticket, the key in ``waiting``."""
        ticket = object()
        self.waiting[ticket] = tokens
        self.request_added.set()
        self.request_added = trio.Event()
        return ticket

    def wake(self) -> None:
        self.tokens_changed.set()
        self.tokens_changed = trio.Event()


class HeldReservation:
    """A reservation that stays charged until usage of one of its runs is reported."""

    __slots__ = ("reservation", "run_ids")

    def __init__(self, reservation: Reservation, run_ids: list[str]):
        self.reservation = reservation
        self.run_ids = run_ids
