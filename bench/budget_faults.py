"""The faults of the budget benchmark: a store and peers in memory that break."""

import random
from collections import Counter

import trio
from result import Err, Result

from bench.store_calls import MemoryStore
from lavenderfold.identifiers import BudgetKey
from lavenderfold.messages import Loan, LoanRequest, LoanReturn
from lavenderfold.router._grants import GrantManager
from lavenderfold.store import AnswerLostError, StoreError, StoreUnavailableError

KEY = BudgetKey("organisation", "budget")
ROUTERS = 4
DYING_ROUTER = 1
FAULT_START_S, FAULT_END_S = 300.0, 600.0
TOP_UP_S = 450.0
WORST_CASE_TOKENS = 1200
FIRST_PAYMENT, TOP_UP = 700_000, 450_000
ONE_WAY_S = 0.01
BATCH_WINDOW_S = 0.02


class Scenario:
    """What is broken now, and how much money there really is."""

    def __init__(self, *, fault: str, randomness: random.Random):
        self.fault = fault
        self.randomness = randomness
        self.spent = 0
        self.reserved = 0
        self.open_by_grant_id: Counter[str] = Counter()

    @property
    def is_broken(self) -> bool:
        return FAULT_START_S <= trio.current_time() < FAULT_END_S

    @property
    def limit(self) -> int:
        # A top-up is a configuration change, so the store must be up to take it.
        accepted_s = FAULT_END_S if self.fault == "store_down" else TOP_UP_S
        return FIRST_PAYMENT + (TOP_UP if trio.current_time() >= accepted_s else 0)

    @property
    def has_money(self) -> bool:
        """Whether unspent money covers one more request, wherever it's held."""
        return self.limit - self.spent - self.reserved >= WORST_CASE_TOKENS

    def is_cut(self, first: int, second: int) -> bool:
        """Whether two routers (or -1, the store) can't reach each other."""
        sides = {0 if place < ROUTERS // 2 else 1 for place in (first, second)}
        return self.fault == "region_cut" and self.is_broken and len(sides) == 2

    def is_dead(self, place: int) -> bool:
        dies = self.fault == "router_dies" and place == DYING_ROUTER
        return dies and trio.current_time() >= FAULT_START_S

    def seen_limit(self, place: int) -> int:
        """The limit by the configuration that a router has."""
        return FIRST_PAYMENT if self.is_cut(place, -1) else self.limit


class FaultyStore:
    """One router's view of the shared store."""

    def __init__(self, *, store: MemoryStore, scenario: Scenario, place: int):
        self._store = store
        self._scenario = scenario
        self._place = place

    async def get(self, key: str) -> Result:
        if self._unreachable():
            return await self._fail(key)
        return await self._store.get(key)

    async def put(
        self, key: str, value: bytes, *, version: int, lease: str | None = None
    ) -> Result[int, StoreError]:
        if self._unreachable():
            return await self._fail(key)
        written = await self._store.put(key, value, version=version)
        scenario = self._scenario
        loses = scenario.fault == "answers_lost" and scenario.is_broken
        if loses and scenario.randomness.random() < 0.2:
            return Err(AnswerLostError(key, "lost"))
        return written

    def _unreachable(self) -> bool:
        scenario = self._scenario
        down = scenario.fault == "store_down" and scenario.is_broken
        return down or scenario.is_cut(self._place, -1)

    async def _fail(self, key: str) -> Result:
        await trio.sleep(ONE_WAY_S)
        return Err(StoreUnavailableError(key, "down"))


class MemoryPeers:
    """The other routers as the grant keeper of one sees them."""

    def __init__(
        self, *, place: int, keepers: dict[int, GrantManager], scenario: Scenario
    ):
        self._place = place
        self._keepers = keepers
        self._scenario = scenario
        self._lender_by_loan_id: dict[str, int] = {}

    def _reachable(self) -> list[int]:
        scenario, place = self._scenario, self._place
        half = ROUTERS // 2
        return sorted(
            (
                other
                for other in self._keepers
                if other != place
                and not scenario.is_cut(place, other)
                and not scenario.is_dead(other)
            ),
            key=lambda other: other // half != place // half,
        )

    async def request_hand_backs(self, key: BudgetKey, holders: list[int]) -> int:
        await trio.sleep(2 * ONE_WAY_S)
        for other in self._reachable():
            if self._keepers[other].pool.incarnation in holders:
                self._keepers[other].hand_backs.hand_back_for_peer(
                    key, self._tokens_returned
                )
        await trio.sleep(2 * BATCH_WINDOW_S)
        return 0

    def _tokens_returned(self, tokens: int) -> None:
        if tokens:
            self._keepers[self._place].tokens_returned(KEY)

    async def request_loans(self, key: BudgetKey, tokens: int) -> list[Loan]:
        await trio.sleep(2 * ONE_WAY_S)
        loans = []
        for other in self._reachable():
            if tokens <= 0:
                break
            loan_id = f"{self._place}-{other}-{trio.current_time()}"
            request = LoanRequest(loan_id=loan_id, key=key, tokens=tokens)
            loan = self._keepers[other].lend(request)
            if loan.tokens:
                self._lender_by_loan_id[loan_id] = other
                loans.append(loan)
                tokens -= loan.tokens
        return loans

    def return_loans(self, returned: list[LoanReturn]) -> None:
        for each in returned:
            self._keepers[self._lender_by_loan_id[each.loan_id]].accept_loan_return(
                each
            )
