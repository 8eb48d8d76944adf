"""Fault injection for the budget benchmark, on a store and peers in memory."""

import random
from collections import Counter

import trio
from result import Err, Result

from bench.store_calls import InMemoryStore
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
INITIAL_TOKENS, TOP_UP_TOKENS = 700_000, 450_000
ONE_WAY_LATENCY_S = 0.01
BATCH_WINDOW_S = 0.02


class Scenario:
    """The injected fault, and the true totals of reserved and spent tokens."""

    def __init__(self, *, fault: str, randomness: random.Random):
        self.fault = fault
        self.randomness = randomness
        self.spent = 0
        self.reserved = 0
        self.open_by_grant_id: Counter[str] = Counter()

    @property
    def is_fault_active(self) -> bool:
        return FAULT_START_S <= trio.current_time() < FAULT_END_S

    @property
    def limit(self) -> int:
        # A top-up is a configuration change, which the store can't accept while down.
        accepted_s = FAULT_END_S if self.fault == "store_down" else TOP_UP_S
        return INITIAL_TOKENS + (
            TOP_UP_TOKENS if trio.current_time() >= accepted_s else 0
        )

    @property
    def can_cover_request(self) -> bool:
        """Whether the unspent tokens of all holders together cover one more request."""
        return self.limit - self.spent - self.reserved >= WORST_CASE_TOKENS

    def is_partitioned(self, first: int, second: int) -> bool:
        """Whether a partition separates two routers; -1 stands for the store."""
        regions = {
            0 if router_index < ROUTERS // 2 else 1 for router_index in (first, second)
        }
        return self.fault == "region_cut" and self.is_fault_active and len(regions) == 2

    def is_dead(self, router_index: int) -> bool:
        may_die = self.fault == "router_dies" and router_index == DYING_ROUTER
        return may_die and trio.current_time() >= FAULT_START_S

    def configured_limit(self, router_index: int) -> int:
        """Return the budget limit in the configuration that a router currently has."""
        return INITIAL_TOKENS if self.is_partitioned(router_index, -1) else self.limit


class FaultyStore:
    """One router's connection to the shared store, with the scenario's faults."""

    def __init__(self, *, store: InMemoryStore, scenario: Scenario, router_index: int):
        self._store = store
        self._scenario = scenario
        self._router_index = router_index

    async def get(self, key: str) -> Result:
        if self._is_unreachable():
            return await self._return_unavailable(key)
        return await self._store.get(key)

    async def put(
        self, key: str, value: bytes, *, version: int, lease: str | None = None
    ) -> Result[int, StoreError]:
        if self._is_unreachable():
            return await self._return_unavailable(key)
        put_result = await self._store.put(key, value, version=version)
        scenario = self._scenario
        may_lose_answer = scenario.fault == "answers_lost" and scenario.is_fault_active
        if may_lose_answer and scenario.randomness.random() < 0.2:
            return Err(AnswerLostError(key, "lost"))
        return put_result

    def _is_unreachable(self) -> bool:
        scenario = self._scenario
        is_store_down = scenario.fault == "store_down" and scenario.is_fault_active
        return is_store_down or scenario.is_partitioned(self._router_index, -1)

    async def _return_unavailable(self, key: str) -> Result:
        await trio.sleep(ONE_WAY_LATENCY_S)
        return Err(StoreUnavailableError(key, "down"))


class InMemoryPeers:
    """The peers of one router, for its grant manager."""

    def __init__(
        self,
        *,
        router_index: int,
        grant_managers: dict[int, GrantManager],
        scenario: Scenario,
    ):
        self._router_index = router_index
        self._grant_managers = grant_managers
        self._scenario = scenario
        self._lender_by_loan_id: dict[str, int] = {}

    def _reachable_routers(self) -> list[int]:
        scenario, router_index = self._scenario, self._router_index
        routers_per_region = ROUTERS // 2
        return sorted(
            (
                other
                for other in self._grant_managers
                if other != router_index
                and not scenario.is_partitioned(router_index, other)
                and not scenario.is_dead(other)
            ),
            key=lambda other: (
                other // routers_per_region != router_index // routers_per_region
            ),
        )

    async def request_hand_backs(self, key: BudgetKey, holders: list[int]) -> int:
        await trio.sleep(2 * ONE_WAY_LATENCY_S)
        for other in self._reachable_routers():
            if self._grant_managers[other].pool.incarnation in holders:
                self._grant_managers[other].hand_backs.hand_back_for_peer(
                    key, self._tokens_returned
                )
        await trio.sleep(2 * BATCH_WINDOW_S)
        return 0

    def _tokens_returned(self, tokens: int) -> None:
        if tokens:
            self._grant_managers[self._router_index].tokens_returned(KEY)

    async def request_loans(self, key: BudgetKey, tokens: int) -> list[Loan]:
        await trio.sleep(2 * ONE_WAY_LATENCY_S)
        loans = []
        for other in self._reachable_routers():
            if tokens <= 0:
                break
            loan_id = f"{self._router_index}-{other}-{trio.current_time()}"
            request = LoanRequest(loan_id=loan_id, key=key, tokens=tokens)
            loan = self._grant_managers[other].lend(request)
            if loan.tokens:
                self._lender_by_loan_id[loan_id] = other
                loans.append(loan)
                tokens -= loan.tokens
        return loans

    def return_loans(self, returned: list[LoanReturn]) -> None:
        for loan_return in returned:
            self._grant_managers[
                self._lender_by_loan_id[loan_return.loan_id]
            ].accept_loan_return(loan_return)
