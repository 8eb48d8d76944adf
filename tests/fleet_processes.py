"""The routers and agents of the fleet model, which run the real decisions."""

from collections.abc import Callable
from typing import Any

from lavenderfold.budgets import (
    AlreadySettled,
    BudgetSpent,
    GrantMissing,
    GrantOpened,
    GrantPool,
    OpenGrant,
    Reservation,
    Settle,
)
from lavenderfold.config import Budget
from lavenderfold.identifiers import BudgetKey
from lavenderfold.members import FenceGate
from lavenderfold.messages import FenceReport, UsageRecord

KEY = BudgetKey("regina", "main")
BUDGET = Budget(prepaid={"first": 100}, grant_share=0.4, ride_out_s=1800.0)


class Attempt:
    """One run of a request and its true state, which no process knows completely."""

    def __init__(self, *, run_id: str, reservation: Reservation, wanted: int):
        self.run_id = run_id
        self.reservation = reservation
        self.wanted = wanted
        self.state = "sent"
        self.tokens = 0
        self.agent: Agent | None = None
        self.informed_routers: list[Router] = []

    @property
    def request_id(self) -> str:
        return self.reservation.request_id

    @property
    def spent(self) -> int:
        """Return the tokens that the run may have used: all while it's open or lost."""
        if self.state in ("open", "lost"):
            return self.wanted
        return self.tokens if self.state == "finished" else 0


class Agent:
    """One agent process; a restart creates a new object."""

    def __init__(self, *, target: str, region: str):
        self.target = target
        self.region = region
        self.alive = True
        self.gate: FenceGate | None = None
        self.open_runs: dict[str, Attempt] = {}
        self.usage: dict[str, UsageRecord] = {}
        self.ended: dict[str, UsageRecord] = {}

    def fence(self, incarnation: int) -> FenceReport:
        self.gate.fence(incarnation)
        held: dict[str, int] = {}
        for attempt in self.open_runs.values():
            reservation = attempt.reservation
            if reservation.payer == incarnation:
                grant = reservation.grant_id
                held[grant] = held.get(grant, 0) + reservation.tokens
        for record in self.usage.values():
            if record.payer == incarnation:
                held[record.grant_id] = held.get(record.grant_id, 0) + record.tokens
        known = self.gate.complete_after(incarnation)
        return FenceReport(self.target, incarnation, held, known)


class Router:
    """One router process: its grants, its queue of ledger operations and its runs."""

    def __init__(self, fleet: Any, *, name: str, region: str):
        self.fleet = fleet
        self.name = name
        self.region = region
        self.alive = True
        self.paused = False
        self.pool = GrantPool(incarnation=fleet.register(name))
        self.queue: list[tuple[object, Callable]] = []
        self.unanswered: list[tuple[object, Callable]] = []
        self.waiting: dict[str, int] = {}
        self.available_at_refusal: int | None = None
        self.attempt_by_run: dict[str, Attempt] = {}

    @property
    def active(self) -> bool:
        return self.alive and not self.paused

    def admit(self, request_id: str, tokens: int) -> None:
        reservation = self.pool.reserve(KEY, request_id, tokens, now=self.fleet.now)
        if reservation is None:
            self.waiting[request_id] = tokens
            return
        self.waiting.pop(request_id, None)
        attempt = self.fleet.send(reservation, tokens)
        self.attempt_by_run[attempt.run_id] = attempt

    def admit_waiting(self) -> None:
        for request_id, tokens in list(self.waiting.items()):
            self.admit(request_id, tokens)

    def order_grant(self) -> None:
        waiting = sum(self.waiting.values())
        order = self.pool.order(
            KEY, budget=BUDGET, waiting_tokens=waiting, now=self.fleet.now
        )
        if order is not None:
            self.queue.append((order.operation, self.end_order))

    def end_order(self, operation: OpenGrant, result: object) -> None:
        if isinstance(result, GrantOpened):
            self.pool.add_grant(
                KEY, operation.grant_id, result.amount, available=result.available
            )
            self.admit_waiting()
            return
        available = result.available if isinstance(result, BudgetSpent) else 0
        self.pool.refuse_order(KEY, operation.grant_id, available=available)
        if self.waiting and isinstance(result, BudgetSpent):
            self.available_at_refusal = available

    def request_hand_backs(self) -> None:
        """Have holders hand back tokens; refuse what the next order can't cover.

        Only an order made after the holders have answered proves that tokens are
        lacking.
        """
        asked = [
            router
            for router in self.fleet.routers
            if router.active and self.fleet.connected(self.region, router.region)
        ]
        for router in asked:
            router.commit_all()
        for router in asked:
            router.return_loans()
        for router in asked:
            router.hand_back(all_free=True)
            router.commit_all()
        self.available_at_refusal = None
        self.order_grant()
        self.commit_all()
        if self.available_at_refusal is not None:
            self.refuse_waiting(above=self.available_at_refusal, asked=True)
            self.available_at_refusal = None

    def return_loans(self, *, lost: bool = False, repeated: bool = False) -> None:
        for loan_return in self.pool.return_loans(KEY):
            for lender in self.fleet.routers:
                connected = self.fleet.connected(lender.region, self.region)
                if lender.alive and connected and not lost:
                    for _ in range(2 if repeated else 1):
                        lender.pool.accept_loan_return(loan_return)

    def refuse_waiting(self, *, above: int = 0, asked: bool = False) -> None:
        for request_id, tokens in list(self.waiting.items()):
            if tokens > above:
                del self.waiting[request_id]
                self.fleet.count_refusal(tokens, asked=asked)

    def hand_back(self, *, all_free: bool) -> None:
        for operation in self.pool.issue_hand_backs(
            KEY, budget=BUDGET, now=self.fleet.now, all_free=all_free
        ):
            self.queue.append((operation, self.end_hand_back))

    def end_hand_back(self, operation: object, result: object) -> None:
        self.pool.confirm_hand_back(operation)

    def handle_refusal(self, attempt: Attempt) -> None:
        """Handle the refusal of a run by an agent because its payer was fenced."""
        payer = attempt.reservation.payer
        self.pool.cancel(attempt.reservation)
        self.pool.drop_all(payer)
        if payer == self.pool.incarnation and self.fleet.reaches_store(self.region):
            self.pool.incarnation = self.fleet.register(f"{self.name}+")

    def learn_usage(self, record: UsageRecord, agent: Agent) -> None:
        attempt = self.fleet.attempts[record.run_id]
        if self not in attempt.informed_routers:
            attempt.informed_routers.append(self)
        own = self.attempt_by_run.pop(record.run_id, None)
        if own is not None:
            self.pool.settle(own.reservation, record.tokens)
            agent.ended.pop(record.run_id, None)
            self.admit_waiting()
        request, fenced = record.key.request_id, self.fleet.retired
        operation = Settle(KEY, record.grant_id, request, record.tokens)

        def end(_: object, result: object) -> None:
            agent.usage.pop(record.run_id, None)
            assert not isinstance(result, GrantMissing), "a bill had no grant"
            free = self.pool.free(KEY)
            if own is not None and isinstance(result, AlreadySettled):
                self.pool.refund(own.reservation, record.tokens)
            refunded = self.pool.free(KEY) - free
            if isinstance(result, AlreadySettled) and own is not None:
                payer = own.reservation.payer
                owes = payer == self.pool.incarnation and payer not in fenced
                assert refunded == record.tokens or not owes, (
                    "a duplicate run was not refunded"
                )
            self.fleet.record_bill(record, result, refunded=refunded)

        self.queue.append((operation, end))

    def commit(self, *, fault: str = "") -> None:
        """Write the queue; if tokens are lacking, ask the other holders for them."""
        self.write(fault=fault)
        if self.available_at_refusal is not None:
            self.request_hand_backs()

    def write(self, *, fault: str = "") -> None:
        """Write one batch; ``fault`` is "before" if the request is lost.

        It is "after" if the answer is lost; the batch is then written again.
        """
        if not self.active or not self.fleet.reaches_store(self.region):
            return
        if not self.unanswered:
            self.unanswered, self.queue = self.queue, []
        batch = self.unanswered
        if not batch or fault == "before":
            return
        results = self.fleet.write([operation for operation, _ in batch])
        if fault == "after":
            return
        self.unanswered = []
        for (operation, end), result in zip(batch, results, strict=True):
            end(operation, result)

    def commit_all(self) -> None:
        while self.queue or self.unanswered:
            if not self.active or not self.fleet.reaches_store(self.region):
                return
            self.write()
